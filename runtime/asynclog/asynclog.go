// Package asynclog writes log lines in the background, so that a process does not block when its log
// output is not read, for example when a pipe is full.
//
// A [Writer] accepts lines from any goroutine. It owns a bounded buffer and one goroutine that writes
// the buffer. Lines beyond the bound are dropped and counted; the count is logged when writing resumes.
package asynclog

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes of the lines that are not written yet.
	maxPending = 256 << 10
	// syncTimeout is how long Sync waits for the pending lines, syncPoll the interval at which it checks.
	syncTimeout = 300 * time.Millisecond
	syncPoll    = time.Millisecond
)

// Writer writes lines in the background. It is a zapcore.WriteSyncer.
type Writer struct {
	to io.Writer
	// formatDropped returns the log line that reports a number of dropped lines.
	formatDropped func(n int) []byte

	mu      sync.Mutex
	pending []byte
	// recycled is the buffer of a written batch, kept for reuse.
	recycled []byte
	dropped  int
	// writing is set while a batch is being written.
	writing bool
	wake    chan struct{}
}

// New returns a writer whose lines go to the given writer. It starts the writer's goroutine, which runs
// until the process ends.
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
			// The error is ignored, since the log itself cannot be written.
			w.to.Write(batch)
			w.recycle(batch)
		}
	}
}

// takeBatch returns the pending lines, followed by a line that reports the dropped ones if there are any.
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

// recycle keeps the buffer of a written batch for reuse.
func (w *Writer) recycle(batch []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.recycled = false, batch[:0]
}
