package snapshot

import (
	"sync"
	"sync/atomic"

	"wallport/runtime/clock"
)

// Gauge holds this node's own observations of one backend, from the request path and from health checks.
// It outlives snapshots. Times are in microseconds of this process's clock.
//
// Both request paths update it. Package search selects backends by it, and package healthcheck derives its
// reports from it. Package dispatch has its own measurements and ejections and reads only SlowStartUntil.
type Gauge struct {
	// Outstanding counts the requests in flight from this node.
	Outstanding atomic.Int64
	// Usage is the number of requests that the backend is processing, as reported in its responses to
	// package search and to health checks.
	Usage atomic.Int64
	// Latency is the smoothed latency of successful responses; 0 before the first.
	Latency atomic.Int64
	// Failures counts the consecutive failures, CorruptResponses the invalid responses since the last
	// valid one.
	Failures         atomic.Int64
	CorruptResponses atomic.Int64
	// EjectedUntil is the time until which package search avoids the backend; 0 if it is not ejected. The
	// node checks the health of the backends that it has ejected.
	EjectedUntil atomic.Int64
	// Incarnation is the newest incarnation that the backend reported, 0 before its first report.
	Incarnation atomic.Int64
	// SlowStartUntil is when the backend's slow start ends, as reported in a health check; 0 if it never
	// reported one.
	SlowStartUntil atomic.Int64
}

// Threshold and durations of ejections, and the smoothing of the latency.
const (
	// EjectThreshold is the number of consecutive failures that eject a backend.
	EjectThreshold = 3
	// An ejection lasts EjectTime times the number of consecutive failures, of which at most
	// maxEjectFactor count. A corrupt response ejects the backend for corruptEjectFactor times EjectTime.
	EjectTime          = 500 * clock.Millisecond
	maxEjectFactor     = 10
	corruptEjectFactor = 4
	// latencySmoothing is the reciprocal of the weight of a new sample in the smoothed latency.
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

// Failed records a failure. From the third consecutive failure on it ejects the backend, for a time that
// grows with the number of failures.
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

// Gauges holds the gauges by backend id. It is safe for concurrent use.
type Gauges struct{ m sync.Map }

// Of returns the gauge of a backend, created at first use.
func (g *Gauges) Of(id string) *Gauge {
	if v, ok := g.m.Load(id); ok {
		return v.(*Gauge)
	}
	v, _ := g.m.LoadOrStore(id, new(Gauge))
	return v.(*Gauge)
}
