package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a case logs the requests sent, their responses, and the requests that backends ran.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// event writes one line, which begins with the seconds since the start.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// waitUntil sleeps until the given number of seconds after the start.
func (r *record) waitUntil(seconds float64) {
	time.Sleep(time.Until(r.start.Add(time.Duration(seconds * float64(time.Second)))))
}

// elapsed returns the seconds since the start.
func (r *record) elapsed() float64 { return time.Since(r.start).Seconds() }
