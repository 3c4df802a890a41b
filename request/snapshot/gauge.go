package snapshot

import (
	"sync"
	"sync/atomic"

	"wallport/runtime/clock"
)

// Gauge is what this node itself observes of one backend, on the request path and by health checks. It
// outlives snapshots. Times are in microseconds, moments on this process's clock.
//
// Both request paths update it. Package search selects by it and package healthcheck reports by it;
// package dispatch has measurements and ejections of its own and reads only SlowStartUntil.
type Gauge struct {
	// Outstanding counts the requests in flight from this node.
	Outstanding atomic.Int64
	// Usage is the number of requests that the backend is working on by its own account, from its
	// responses to package search and to health checks.
	Usage atomic.Int64
	// Latency is the smoothed latency of successful responses; 0 if there was none.
	Latency atomic.Int64
	// Failures counts the failures in a row, CorruptResponses the invalid responses since the last
	// valid one.
	Failures         atomic.Int64
	CorruptResponses atomic.Int64
	// EjectedUntil is until when package search avoids the backend; 0 if it is not ejected. The node
	// checks the health of the backends that it has ejected.
	EjectedUntil atomic.Int64
	// Incarnation is the newest one that the backend named, 0 before it did.
	Incarnation atomic.Int64
	// SlowStartUntil is until when the backend is warming up by its own account in a health check; 0 if
	// it never said so.
	SlowStartUntil atomic.Int64
}

// Constants of ejection.
const (
	// EjectThreshold is how many failures in a row eject a backend.
	EjectThreshold = 3
	// EjectTime is the ejection for each of the failures in a row, maxEjectFactor bounds their
	// number. A corrupt response ejects for corruptEjectFactor times EjectTime.
	EjectTime          = 500 * clock.Millisecond
	maxEjectFactor     = 10
	corruptEjectFactor = 4
	// latencySmoothing is the reciprocal weight of a new latency in the smoothed one.
	latencySmoothing = 8
)

// Succeeded records a valid response and its latency. It ends an ejection.
func (g *Gauge) Succeeded(latency clock.Micros) {
	g.Failures.Store(0)
	g.CorruptResponses.Store(0)
	g.EjectedUntil.Store(0)
	old := g.Latency.Load()
	if old == 0 {
		g.Latency.Store(latency)
		return
	}
	g.Latency.Store(old + (latency-old)/latencySmoothing)
}

// Failed records a failure. From the third in a row on, the backend is ejected for a time that
// grows with their number.
func (g *Gauge) Failed(now clock.Micros) {
	if n := g.Failures.Add(1); n >= EjectThreshold {
		g.EjectedUntil.Store(now + min(n, maxEjectFactor)*EjectTime)
	}
}

// Corrupted records an invalid response and ejects the backend.
func (g *Gauge) Corrupted(now clock.Micros) {
	g.CorruptResponses.Add(1)
	g.EjectedUntil.Store(now + corruptEjectFactor*EjectTime)
}

// Gauges holds the gauges by backend id. Any goroutine may use it.
type Gauges struct{ m sync.Map }

// Of returns the gauge of a backend, created at first use.
func (g *Gauges) Of(id string) *Gauge {
	if v, ok := g.m.Load(id); ok {
		return v.(*Gauge)
	}
	v, _ := g.m.LoadOrStore(id, new(Gauge))
	return v.(*Gauge)
}
