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
	// pendingMost bounds the lines that wait to be written, in bytes.
	pendingMost = 256 << 10
	// syncWithin is how long Sync waits for the lines before it.
	syncWithin = 300 * time.Millisecond
	syncLook   = time.Millisecond
)

// Writer is a zapcore.WriteSyncer.
type Writer struct {
	to io.Writer
	// lostLine makes the line that tells of dropped ones.
	lostLine func(n int) []byte

	mu      sync.Mutex
	pending []byte
	spare   []byte
	lost    int
	// writing tells that lines are being written now.
	writing bool
	wake    chan struct{}
}

// New makes a writer, and a goroutine that writes for as long as the process lives.
func New(to io.Writer, lostLine func(n int) []byte) *Writer {
	w := &Writer{to: to, lostLine: lostLine, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > pendingMost {
		w.lost++
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
	for end := time.Now().Add(syncWithin); !w.idle() && time.Now().Before(end); {
		time.Sleep(syncLook)
	}
	return nil
}

func (w *Writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0 && !w.writing && w.lost == 0
}

func (w *Writer) run() {
	for range w.wake {
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			// What cannot be written is lost: there is nobody to tell.
			w.to.Write(batch)
			w.done(batch)
		}
	}
}

// take gives the lines that wait, and the count of those that were dropped before them.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	if w.lost > 0 {
		batch = append(batch, w.lostLine(w.lost)...)
		w.lost = 0
	}
	w.pending, w.spare = w.spare[:0], nil
	w.writing = len(batch) > 0
	return batch
}

// done takes a written batch's memory back.
func (w *Writer) done(batch []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.spare = false, batch[:0]
}
