package dispatch

import (
	"sync/atomic"

	"wallport/control/routing"
	"wallport/runtime/clock"
)

// crossZoneDivisor gives the part of a route's target latency that may be spent on staying in the zone.
const (
	crossZoneDivisor                 = 5
	minCrossZonePenalty clock.Micros = 800
)

// Bounds of what is expected of a pool.
const (
	// minHedgeDelay is the least time before a hedged request.
	minHedgeDelay clock.Micros = 2_500
	// maxPause is the longest pause that a healthy backend takes.
	maxPause = 250 * clock.Millisecond
	// minMedian is the least median that is estimated.
	minMedian clock.Micros = 200
)

// Steps of the estimates, in thousandths of their value: large while little is known.
const (
	learningSamples = 24
	learningStep    = 300
	medianStep      = 60
	p95Step         = 120
)

// Quantiles of the estimates, in thousandths.
const (
	medianQuantile = 500
	p95Quantile    = 950
)

// latencyKey is a pool as one route uses it: the work differs by route.
type latencyKey struct{ pool, route string }

// latencyStats estimates how long the responses of one pool to one route take, from the responses themselves. Each
// moves the estimates by a part of their value, so that they cost a few words and no lock.
type latencyStats struct {
	samples atomic.Int64
	// median is of the work alone, p95 of what a client sees, queueing included.
	median, p95 atomic.Int64
	// crossZonePenalty is how much longer a response from the own zone may take before another zone is used:
	// bytes between zones are expensive, and inside the latency target a faster response is worth no more.
	crossZonePenalty atomic.Int64
}

func (d *Dispatcher) latencyOf(pool string, r *routing.Route) *latencyStats {
	key := latencyKey{pool, r.Name}
	penalty := max(minCrossZonePenalty, r.TargetLatencyUs/crossZoneDivisor)
	if v, ok := d.latencies.Load(key); ok {
		s := v.(*latencyStats)
		s.crossZonePenalty.Store(penalty)
		return s
	}
	s := new(latencyStats)
	s.crossZonePenalty.Store(penalty)
	s.median.Store(max(1*clock.Millisecond, r.TargetLatencyUs/8))
	s.p95.Store(max(3*clock.Millisecond, r.TargetLatencyUs/3))
	v, _ := d.latencies.LoadOrStore(key, s)
	return v.(*latencyStats)
}

// record takes a response's total time and its time net of the wait in the backend's queue.
func (s *latencyStats) record(total, net clock.Micros) {
	medianStep, p95Step := int64(medianStep), int64(p95Step)
	if s.samples.Add(1) < learningSamples {
		medianStep, p95Step = learningStep, learningStep
	}
	adjust(&s.median, net, medianStep, medianQuantile)
	adjust(&s.p95, total, p95Step, p95Quantile)
}

// adjust moves an estimate towards a quantile, given one sample. step and quantile are in thousandths.
func adjust(estimate *atomic.Int64, sample clock.Micros, step, quantile int64) {
	was := estimate.Load()
	if sample > was {
		estimate.Store(was + max(1, was*step*quantile/1_000_000))
		return
	}
	estimate.Store(max(minMedian, was-was*step*(1000-quantile)/1_000_000))
}

// hedgeDelay is how long a response may take before a hedged request is sent.
func (s *latencyStats) hedgeDelay() clock.Micros {
	return max(minHedgeDelay, min(s.p95.Load()*11/10, s.median.Load()*4))
}

// responseTimeout is how long a backend may be silent before it counts as unresponsive: longer than any pause.
func (s *latencyStats) responseTimeout() clock.Micros { return max(maxPause, 3*s.p95.Load()) }
