// Package asynclog writes log lines in the background, so that a process does not block when nobody
// reads what it logs, as with a full pipe.
//
// A [Writer] takes lines from any goroutine and owns a bounded buffer and one goroutine that writes
// it. Lines beyond the bound are dropped and counted; the count is logged when writing goes on.
package asynclog

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the lines that are not written yet, in bytes.
	maxPending = 256 << 10
	// syncTimeout is how long Sync waits for the lines before it, syncPoll how often it looks.
	syncTimeout = 300 * time.Millisecond
	syncPoll    = time.Millisecond
)

// Writer writes lines in the background. It is a zapcore.WriteSyncer.
type Writer struct {
	to io.Writer
	// formatDropped returns the log line for a number of dropped lines.
	formatDropped func(n int) []byte

	mu      sync.Mutex
	pending []byte
	// recycled is the buffer of a batch that was written, for the next one.
	recycled []byte
	dropped  int
	// writing is set while a batch is being written.
	writing bool
	wake    chan struct{}
}

// New returns a writer to the given one and starts its goroutine, which runs as long as the process.
func New(to io.Writer, formatDropped func(n int) []byte) *Writer {
	w := &Writer{to: to, formatDropped: formatDropped, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line or, if the buffer is full, drops it. It never blocks and never fails.
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

// Sync waits until the lines queued so far are written, but not longer than syncTimeout.
func (w *Writer) Sync() error {
	for deadline := time.Now().Add(syncTimeout); !w.idle() && time.Now().Before(deadline); {
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
		for batch := w.takeBatch(); len(batch) > 0; batch = w.takeBatch() {
			// An error is ignored: there is no place left to report it.
			w.to.Write(batch)
			w.recycle(batch)
		}
	}
}

// takeBatch returns the pending lines, followed by the line for those that were dropped since.
func (w *Writer) takeBatch() []byte {
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

// recycle keeps the buffer of a batch that was written.
func (w *Writer) recycle(batch []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.recycled = false, batch[:0]
}
