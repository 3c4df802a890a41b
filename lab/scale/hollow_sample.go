// Samples of the counters of the hollow processes of one host.

package scale

import (
	"runtime"
	"sync"
	"time"
)

// Sample holds the sums of the counters of one host's hollow processes at one time.
type Sample struct {
	Processes, Ready int
	// Stuck is the number of processes whose event loop did not process an input within stuckTimeout.
	Stuck  int
	Counts map[string]int64
	// LagUs is the longest time that an event loop took to process a new input, in microseconds.
	LagUs                   int64
	HeapBytes, HeapMost     int64
	Goroutines, Collections int
}

// stuckTimeout is the time after which an event loop that has not processed an input counts as stuck.
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
		if n.builder == nil || n.builder.Current().Ready() {
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
