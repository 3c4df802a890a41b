// What this node learnt of one backend from its own asks. It outlives
// snapshots. What a backend says of itself or others say of it comes second.

package dispatch

import (
	"sync/atomic"

	"wallport/request/snapshot"
)

type backend struct {
	// inFlight counts this node's asks under way; moved is when the first of them began, or the backend last gave a
	// sign of life.
	inFlight   atomic.Int64
	progressAt atomic.Int64
	// latencyRatio is what an answer takes relative to its pool, in thousandths, as of sampled.
	latencyRatio, latencyRatioAt atomic.Int64
	// failureRate is the share of failures, in thousandths, as of erred; fails counts them in a row.
	failureRate, failureRateAt, consecutiveFailures atomic.Int64
	// ejectedAt is when it was ejected last, until when that ends, level how many came in a row, good the
	// last answer.
	ejectedAt, ejectedUntil, ejections, succeededAt atomic.Int64
	// replacedUntil is until when it counts as ended, since another backend answered at its address.
	replacedUntil atomic.Int64
	// unresponsive tells that it was silent when it was ejected.
	unresponsive atomic.Bool
	// reportedLoad is what the backend has under way by its own word, in thousandths of requests, as of told;
	// usual is its running mean.
	reportedLoad, reportedAt, meanLoad, slots atomic.Int64
	// rejectedLoad is the load at which it turned requests away, in thousandths of requests; 0 is unknown.
	rejectedLoad atomic.Int64
	// warmingUntil is until when it is cold, seen when a snapshot last named it.
	warmingUntil, listedAt atomic.Int64
	slowStart              slowStart
	// listedWarmup and emptied are of the last view: the listed rest of its cold time, and its zone.
	listedWarmup int64
	drained      bool
}

func (d *Dispatcher) backendOf(id string) *backend {
	if v, ok := d.backends.Load(id); ok {
		return v.(*backend)
	}
	b := new(backend)
	b.latencyRatio.Store(1000)
	v, _ := d.backends.LoadOrStore(id, b)
	return v.(*backend)
}

// forgetBackends drops backends that no snapshot has named for long.
func (d *Dispatcher) forgetBackends(snap *snapshot.Snapshot, there int) {
	n := 0
	d.backends.Range(func(any, any) bool { n++; return true })
	if n <= 2*there+64 {
		return
	}
	d.backends.Range(func(id, v any) bool {
		if b := v.(*backend); b.listedAt.Load() < snap.At-forgetBackendAfter && b.inFlight.Load() == 0 {
			d.backends.Delete(id)
		}
		return true
	})
}

const forgetBackendAfter = 60_000_000

// updateListing takes what a snapshot says of the backend. Views are made one after another.
func (b *backend) updateListing(snap *snapshot.Snapshot, p *snapshot.Pool, s *snapshot.Backend, began int64) {
	first := b.listedAt.Load() == 0
	b.listedAt.Store(max(1, snap.At))
	if s.Slots > 0 && b.slots.Load() == 0 {
		b.slots.Store(int64(s.Slots))
	}
	was := b.listedWarmup
	b.listedWarmup = s.WarmUpRemaining
	switch {
	case s.WarmUpRemaining > 0 && s.WarmUpRemaining != was:
		b.warmingUntil.Store(snap.At + s.WarmUpRemaining)
	case first && snap.At-began > startupPeriod:
		// A backend that was not there before has just started, whatever the list says.
		b.warmingUntil.Store(snap.At + p.SlowStartUs)
	}
	if told := s.Gauge.SlowStartUntil.Load(); told > b.warmingUntil.Load() {
		b.warmingUntil.Store(told)
	}
	out := s.Health == snapshot.ZoneDrained
	if b.drained && !out && p.RampPerS > 0 {
		// Those of a zone that is taken back may have turned cold meanwhile.
		b.warmingUntil.Store(max(b.warmingUntil.Load(), snap.At+p.SlowStartUs))
	}
	b.drained = out
}

// Figures of the gauges.
const (
	latencyRatioHalfLife  = 3_000_000
	failureRateHalfLife   = 3_000_000
	ejectAfterFailures    = 3
	ejectionCap           = 700_000
	ejectionCapNodes      = 8
	baseEjection          = 400_000
	maxEjection           = 6_000_000
	replacedFor           = 6_000_000
	minStall              = 25_000
	downFailureRate       = 700
	maxStall              = 20_000_000
	successTrustedFor     = 2_000_000
	warmingUpRatio        = 1600
	minLatencyRatio       = 250
	maxLatencyRatio       = 40_000
	defaultConcurrency    = 4
	reportedLoadHalfLives = 2
	meanLoadHalfLife      = 500_000
)

// decay lets a value go halfway to its rest in each half-life.
func decay(v, rest, age, half int64) int64 {
	for ; age >= half && v != rest; age -= half {
		v = rest + (v-rest)/2
	}
	return v - (v-rest)*min(age, half)/half/2
}

// expectedRatio is the ratio that is to be expected now: without samples it is forgotten.
func (b *backend) expectedRatio(now int64) int64 {
	r := decay(b.latencyRatio.Load(), 1000, max(0, now-b.latencyRatioAt.Load()), latencyRatioHalfLife)
	if now < b.warmingUntil.Load() {
		r = max(r, warmingUpRatio)
	}
	return r
}

func (b *backend) currentFailureRate(now int64) int64 {
	return decay(b.failureRate.Load(), 0, max(0, now-b.failureRateAt.Load()), failureRateHalfLife)
}

// attemptStarted notes an ask.
func (b *backend) attemptStarted(now int64) {
	if b.inFlight.Add(1) == 1 {
		b.progressAt.Store(now)
	}
}

// attemptEnded notes the end of an ask; told is whether the backend itself gave a sign of life.
func (b *backend) attemptEnded(now int64, told bool) {
	b.inFlight.Add(-1)
	if told {
		b.progressAt.Store(now)
	}
}

// concurrency is how many requests the backend works on at once.
func (b *backend) concurrency() int64 {
	if n := b.slots.Load(); n > 0 {
		return n
	}
	return defaultConcurrency
}

// stalled tells that asks are under way and none has ended for suspiciously long.
func (b *backend) stalled(now int64, usual int64) bool {
	age := now - b.progressAt.Load()
	return age > max(minStall, usual) && age < maxStall && b.inFlight.Load() > 0
}

// recordSuccess notes a good answer and how long it took, also net of the wait behind what the backend had
// under way, in thousandths of requests.
// It reports whether the backend was ejected.
func (b *backend) recordSuccess(now, us, busy int64, latency *latencyStats) (out bool) {
	net := us * 1000 / (1000 + queueTime(busy, b.concurrency(), 1000))
	w := b.currentFailureRate(now)
	if out = b.ejections.Load() > 0; out {
		b.ejections.Store(0)
		if b.unresponsive.Swap(false) {
			// Silence that is over says little of what it answers now.
			w /= 4
		}
	}
	b.consecutiveFailures.Store(0)
	b.ejectedUntil.Store(0)
	b.succeededAt.Store(now)
	b.failureRate.Store(w - w/4)
	b.failureRateAt.Store(now)
	latency.record(us, net)
	r := min(maxLatencyRatio, max(minLatencyRatio, net*1000/max(1, latency.median.Load())))
	was := decay(b.latencyRatio.Load(), 1000, max(0, now-b.latencyRatioAt.Load()), latencyRatioHalfLife)
	b.latencyRatio.Store(was + (r-was)/5)
	b.latencyRatioAt.Store(now)
	return out
}

// recordLoadReport takes the backend's own word of its load.
func (b *backend) recordLoadReport(now int64, l LoadReport) {
	if !l.Known {
		return
	}
	n := int64(l.Running+l.Queued) * 1000
	b.meanLoad.Store(b.meanLoad.Load() + (n-b.meanLoad.Load())/8)
	b.reportedLoad.Store(n)
	b.reportedAt.Store(now)
	if l.Slots > 0 {
		b.slots.Store(int64(l.Slots))
	}
}

// estimatedLoad is what the backend has under way, as far as is known, in thousandths of requests.
func (b *backend) estimatedLoad(now, work int64) int64 {
	age := max(0, now-b.reportedAt.Load())
	usual := decay(b.meanLoad.Load(), 0, age, meanLoadHalfLife)
	n := decay(b.reportedLoad.Load(), usual, age, max(1, work*reportedLoadHalfLives))
	return max(n, b.inFlight.Load()*1000)
}
