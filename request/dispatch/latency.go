package dispatch

import (
	"sync/atomic"

	"wallport/control/routing"
	"wallport/runtime/clock"
)

// The cross-zone penalty is the route's target latency divided by crossZoneDivisor, and at least
// minCrossZonePenalty; see latencyStats.crossZonePenalty.
const (
	crossZoneDivisor                 = 5
	minCrossZonePenalty clock.Micros = 800
)

// Bounds for the estimated latency and for the hedge delays and timeouts that are derived from it.
const (
	// minHedgeDelay is the minimum delay before a hedged request.
	minHedgeDelay clock.Micros = 2_500
	// maxPause is the longest time for which a healthy backend may pause.
	maxPause = 250 * clock.Millisecond
	// minMedian is the lower bound of the estimates of both the median and the 95th percentile.
	minMedian clock.Micros = 200
)

// Steps of the estimates, in thousandths of their value. The first learningSamples samples move the estimates by the
// larger learningStep.
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

// latencyKey identifies a pool as used by one route. Latency is estimated for each route separately, since routes
// differ in how long their requests take.
type latencyKey struct{ pool, route string }

// latencyStats estimates the latency of one pool's responses to the requests of one route. Each response moves the
// estimates by a fraction of their value, so that an estimate needs only a few words of memory and no lock.
type latencyStats struct {
	samples atomic.Int64
	// median estimates the median without the time in the backend's queue, p95 the 95th percentile of the total time,
	// including the time in the queue.
	median, p95 atomic.Int64
	// crossZonePenalty is the time by which a backend in this node's zone may be slower than a backend in another zone
	// before the backend in the other zone is preferred: traffic between zones is expensive, and a response that meets
	// the latency target gains no value by being faster.
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

// record records a response's total time and its time without the wait in the backend's queue.
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

// hedgeDelay returns how long a response may take before a hedged request is sent.
func (s *latencyStats) hedgeDelay() clock.Micros {
	return max(minHedgeDelay, min(s.p95.Load()*11/10, s.median.Load()*4))
}

// responseTimeout returns how long a backend may take to respond before it is considered unresponsive: at least
// maxPause, so that a pause is not mistaken for a failure.
func (s *latencyStats) responseTimeout() clock.Micros { return max(maxPause, 3*s.p95.Load()) }
