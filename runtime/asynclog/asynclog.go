// Package asynclog writes log lines without ever making their writer wait: a
// process must not stand still because nobody reads what it logs. Lines beyond a
// bound are dropped and counted, and the count is logged once somebody reads again.
package asynclog

import (
	"io"
	"sync"
	"time"
)

// Figures of a writer.
const (
	// maxPending bounds the lines that wait to be written, in bytes.
	maxPending = 256 << 10
	// syncTimeout is how long Sync waits for the lines before it.
	syncTimeout = 300 * time.Millisecond
	syncPoll    = time.Millisecond
)

// Writer is a zapcore.WriteSyncer.
type Writer struct {
	to io.Writer
	// formatDropped makes the line that tells of dropped ones.
	formatDropped func(n int) []byte

	mu       sync.Mutex
	pending  []byte
	recycled []byte
	dropped  int
	// writing tells that lines are being written now.
	writing bool
	wake    chan struct{}
}

// New makes a writer, and a goroutine that writes for as long as the process lives.
func New(to io.Writer, formatDropped func(n int) []byte) *Writer {
	w := &Writer{to: to, formatDropped: formatDropped, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until the lines taken so far are written, for a little while.
func (w *Writer) Sync() error {
	for end := time.Now().Add(syncTimeout); !w.idle() && time.Now().Before(end); {
		time.Sleep(syncPoll)
	}
	return nil
}

func (w *Writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0 && !w.writing && w.dropped == 0
}

func (w *Writer) run() {
	for range w.wake {
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			// What cannot be written is lost: there is nobody to tell.
			w.to.Write(batch)
			w.recycle(batch)
		}
	}
}

// take gives the lines that wait, and the count of those that were dropped before them.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	if w.dropped > 0 {
		batch = append(batch, w.formatDropped(w.dropped)...)
		w.dropped = 0
	}
	w.pending, w.recycled = w.recycled[:0], nil
	w.writing = len(batch) > 0
	return batch
}

// recycle takes a written batch's memory back.
func (w *Writer) recycle(batch []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.recycled = false, batch[:0]
}
