// Stats are what the answers of one pool to one route take, learnt from the
// answers themselves: the middle and the upper end. Each answer moves them by a
// small part of themselves, so that they cost two words and no lock.

package dispatch

import (
	"sync/atomic"

	"wallport/control/routing"
)

type latencyKey struct{ pool, route string }

type latencyStats struct {
	samples     atomic.Int64
	median, p95 atomic.Int64
	// crossZonePenalty is how much longer an answer of the own zone may take before another zone is asked, in
	// microseconds: bytes between zones are dear, and inside the aim a faster answer is worth no more.
	crossZonePenalty atomic.Int64
}

// crossZoneDivisor is the part of a route's target latency that is spent on staying in the zone.
const crossZoneDivisor = 5

func (d *Dispatcher) latencyOf(pool string, r *routing.Route) *latencyStats {
	key := latencyKey{pool, r.Name}
	far := max(minCrossZonePenalty, r.TargetLatencyUs/crossZoneDivisor)
	if v, ok := d.latencies.Load(key); ok {
		s := v.(*latencyStats)
		s.crossZonePenalty.Store(far)
		return s
	}
	s := new(latencyStats)
	s.crossZonePenalty.Store(far)
	s.median.Store(max(1000, r.TargetLatencyUs/8))
	s.p95.Store(max(3000, r.TargetLatencyUs/3))
	v, _ := d.latencies.LoadOrStore(key, s)
	return v.(*latencyStats)
}

// Steps of the estimates, in thousandths: large while little is known.
const (
	learningSamples = 24
	learningStep    = 300
	medianStep      = 60
	p95Step         = 120
	p95Quantile     = 950
)

// record learns from an answer that took so many microseconds, or net without the wait in a queue:
// the middle is of the work alone, the upper end of what a client sees.
func (s *latencyStats) record(us, net int64) {
	mid, top := int64(medianStep), int64(p95Step)
	if s.samples.Add(1) < learningSamples {
		mid, top = learningStep, learningStep
	}
	adjust(&s.median, net, mid, 500)
	adjust(&s.p95, us, top, p95Quantile)
}

// adjust shifts an estimate towards the value that the given share, in thousandths, lies below.
func adjust(q *atomic.Int64, us, step, share int64) {
	was := q.Load()
	if us > was {
		q.Store(was + max(1, was*step*share/1_000_000))
		return
	}
	q.Store(max(200, was-was*step*(1000-share)/1_000_000))
}

// hedgeDelay is how long an answer may take before another backend is asked too.
func (s *latencyStats) hedgeDelay() int64 {
	return max(minHedgeDelay, min(s.p95.Load()*11/10, s.median.Load()*4))
}

// responseTimeout is how long without an answer is more than any pause.
func (s *latencyStats) responseTimeout() int64 { return max(maxPause, 3*s.p95.Load()) }

const minHedgeDelay = 2_500
