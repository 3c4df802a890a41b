// What the hollow processes of one host did, summed.

package scale

import (
	"runtime"
	"sync"
	"time"
)

// Sample is what hollow processes of one host did so far, summed, at a moment.
type Sample struct {
	Processes, Ready int
	// Stuck are those whose loop took no input in time.
	Stuck  int
	Counts map[string]int64
	// LagUs is the longest that a loop took to come to a new input.
	LagUs                   int64
	HeapBytes, HeapMost     int64
	Goroutines, Collections int
}

// stuckTimeout is how long a loop may take to come to an input before it counts as stuck.
const stuckTimeout = 3 * time.Second

func (h *Hollow) sample() Sample {
	s := Sample{Counts: map[string]int64{}, Goroutines: runtime.NumGoroutine()}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, n := range h.nodes {
		if n.ended.Load() {
			continue
		}
		s.Processes++
		if n.table == nil || n.table.Current().Ready() {
			s.Ready++
		}
		n.p.Kernel.Counts.Each(func(name string, v int64) { s.Counts[name] += v })
		wg.Go(func() {
			at := time.Now()
			done := make(chan struct{})
			go func() { n.p.Do(func(int64) {}); close(done) }()
			stuck := 0
			select {
			case <-done:
			case <-time.After(stuckTimeout):
				stuck = 1
			}
			mu.Lock()
			s.LagUs = max(s.LagUs, time.Since(at).Microseconds())
			s.Stuck += stuck
			mu.Unlock()
		})
	}
	wg.Wait()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.HeapBytes, s.HeapMost, s.Collections = int64(m.HeapAlloc), int64(m.HeapSys), int(m.NumGC)
	return s
}
