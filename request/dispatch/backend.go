package dispatch

import (
	"sync/atomic"

	"wallport/request/retrybudget"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// backend is what this node measured of one backend, mostly from its own attempts. It outlives snapshots and may
// be used from many goroutines; updates that meet may lose one another. Shares and ratios are in thousandths,
// loads in thousandths of requests, moments and durations in microseconds of the process's clock.
//
// Its ejections decide what this package sends. Those of snapshot.Gauge, which attempts update as well, decide the
// node's health reports and what package search sends.
type backend struct {
	// inFlight counts this node's attempts under way. progressAt is when the first of them began or when the
	// backend last showed a sign of life, whichever is later.
	inFlight, progressAt atomic.Int64

	// latencyRatio is what a response takes relative to its pool's median, as of latencyRatioAt.
	latencyRatio, latencyRatioAt atomic.Int64
	// failureRate is the share of failures, as of failureRateAt.
	failureRate, failureRateAt atomic.Int64
	consecutiveFailures        atomic.Int64
	succeededAt                atomic.Int64

	// ejections counts the ejections in a row, 0 where the backend is not ejected. The last one began at
	// ejectedAt; a trial is due at ejectedUntil.
	ejections, ejectedAt, ejectedUntil atomic.Int64
	// unresponsive is set where the backend was ejected because it was silent.
	unresponsive atomic.Bool
	// replacedUntil is until when the backend counts as ended, since another one answered at its address.
	replacedUntil atomic.Int64

	// reportedLoad is what the backend had under way by its own report, as of reportedAt; meanLoad is the running
	// mean of its reports.
	reportedLoad, reportedAt, meanLoad atomic.Int64
	// slots is how many requests the backend can run at once, 0 where it is unknown.
	slots atomic.Int64
	// rejectedLoad is the load at which the backend rejected a request, 0 where it is unknown.
	rejectedLoad atomic.Int64

	// warmingUntil is when the backend will have warmed up.
	warmingUntil atomic.Int64
	slowStart    slowStart

	// listedAt is when a snapshot last named the backend.
	listedAt atomic.Int64
	// listedWarmUp and zoneDrained are those of the last snapshot. Only the goroutine that builds a view uses
	// them.
	listedWarmUp clock.Micros
	zoneDrained  bool
}

const (
	// unit is one whole in thousandths: a share of 1, a ratio of 1, a load of one request.
	unit = 1000

	latencyRatioHalfLife = 3 * clock.Second
	failureRateHalfLife  = 3 * clock.Second
	minLatencyRatio      = 250
	maxLatencyRatio      = 40_000
	// warmingUpRatio is the least ratio that a backend which is warming up counts with.
	warmingUpRatio = 1600

	// defaultConcurrency stands in for unknown slots.
	defaultConcurrency = 4
	meanLoadHalfLife   = 500 * clock.Millisecond
	// reportedLoadHalfLives is the half-life of a load report in times the work of one request.
	reportedLoadHalfLives = 2

	// A backend stalls where its attempts made no progress for longer than minStall; after maxStall that says
	// nothing any more.
	minStall = 25 * clock.Millisecond
	maxStall = 20 * clock.Second

	// forgetBackendAfter is how long a backend that no snapshot names is remembered.
	forgetBackendAfter = 60 * clock.Second
)

func (d *Dispatcher) backendOf(id string) *backend {
	if v, ok := d.backends.Load(id); ok {
		return v.(*backend)
	}
	b := new(backend)
	b.latencyRatio.Store(unit)
	v, _ := d.backends.LoadOrStore(id, b)
	return v.(*backend)
}

// forgetBackends drops backends that no snapshot has named for long, once they are more than those listed.
func (d *Dispatcher) forgetBackends(snap *snapshot.Snapshot, listed int) {
	known := 0
	d.backends.Range(func(any, any) bool { known++; return true })
	if known <= 2*listed+64 {
		return
	}
	d.backends.Range(func(id, v any) bool {
		if b := v.(*backend); b.listedAt.Load() < snap.At-forgetBackendAfter && b.inFlight.Load() == 0 {
			d.backends.Delete(id)
		}
		return true
	})
}

// update takes what a snapshot says of the backend. startedAt is when this process started. It is called
// by one goroutine at a time.
func (b *backend) update(snap *snapshot.Snapshot, p *snapshot.Pool, s *snapshot.Backend, startedAt clock.Micros) {
	firstListed := b.listedAt.Load() == 0
	b.listedAt.Store(max(1, snap.At))
	if s.Slots > 0 && b.slots.Load() == 0 {
		b.slots.Store(int64(s.Slots))
	}
	lastWarmUp := b.listedWarmUp
	b.listedWarmUp = s.WarmUpRemaining
	switch {
	case s.WarmUpRemaining > 0 && s.WarmUpRemaining != lastWarmUp:
		b.warmingUntil.Store(snap.At + s.WarmUpRemaining)
	case firstListed && snap.At-startedAt > retrybudget.StartupPeriod:
		// A backend that was not there before has just started, whatever the list says.
		b.warmingUntil.Store(snap.At + p.SlowStartUs)
	}
	if reported := s.Gauge.SlowStartUntil.Load(); reported > b.warmingUntil.Load() {
		b.warmingUntil.Store(reported)
	}
	drained := s.Health == snapshot.ZoneDrained
	if b.zoneDrained && !drained && p.RampPerS > 0 {
		// The caches of backends in a zone that is restored may have cooled meanwhile.
		b.warmingUntil.Store(max(b.warmingUntil.Load(), snap.At+p.SlowStartUs))
	}
	b.zoneDrained = drained
}

// attemptStarted counts an attempt.
func (b *backend) attemptStarted(now clock.Micros) {
	if b.inFlight.Add(1) == 1 {
		b.progressAt.Store(now)
	}
}

// attemptEnded counts the end of an attempt. alive says whether the backend itself showed a sign of life.
func (b *backend) attemptEnded(now clock.Micros, alive bool) {
	b.inFlight.Add(-1)
	if alive {
		b.progressAt.Store(now)
	}
}

// recordSuccess takes a good response, how long it took, and the load that the backend had when the attempt
// began. It reports whether the backend had been ejected.
func (b *backend) recordSuccess(now, took clock.Micros, load int64, latency *latencyStats) (wasEjected bool) {
	net := took * unit / (unit + queueTime(load, b.concurrency(), unit))
	failureRate := b.currentFailureRate(now)
	if wasEjected = b.ejections.Load() > 0; wasEjected {
		b.ejections.Store(0)
		if b.unresponsive.Swap(false) {
			// Silence that is over says little about its next responses.
			failureRate /= 4
		}
	}
	b.consecutiveFailures.Store(0)
	b.ejectedUntil.Store(0)
	b.succeededAt.Store(now)
	b.failureRate.Store(failureRate - failureRate/4)
	b.failureRateAt.Store(now)
	latency.record(took, net)
	b.recordLatencyRatio(now, net*unit/max(1, latency.median.Load()))
	return wasEjected
}

func (b *backend) recordLatencyRatio(now clock.Micros, ratio int64) {
	ratio = min(maxLatencyRatio, max(minLatencyRatio, ratio))
	was := decay(b.latencyRatio.Load(), unit, max(0, now-b.latencyRatioAt.Load()), latencyRatioHalfLife)
	b.latencyRatio.Store(was + (ratio-was)/5)
	b.latencyRatioAt.Store(now)
}

// recordLoadReport takes the backend's own report of its load.
func (b *backend) recordLoadReport(now clock.Micros, report LoadReport) {
	if !report.Known {
		return
	}
	load := int64(report.Running+report.Queued) * unit
	b.meanLoad.Store(b.meanLoad.Load() + (load-b.meanLoad.Load())/8)
	b.reportedLoad.Store(load)
	b.reportedAt.Store(now)
	if report.Slots > 0 {
		b.slots.Store(int64(report.Slots))
	}
}

// recordRejection takes the backend's rejection of an attempt: by its own report it is full.
func (b *backend) recordRejection(now clock.Micros, report LoadReport) {
	load := 2 * unit * max(1, b.slots.Load())
	if report.Known {
		load = unit * int64(report.Running+report.Queued)
		if report.Running+report.Queued >= report.Slots {
			b.rejectedLoad.Store(load)
		}
	}
	b.reportedLoad.Store(max(load, b.reportedLoad.Load()))
	b.reportedAt.Store(now)
}

// expectedRatio is the latency ratio to expect of the next response: without samples it returns to 1.
func (b *backend) expectedRatio(now clock.Micros) int64 {
	ratio := decay(b.latencyRatio.Load(), unit, max(0, now-b.latencyRatioAt.Load()), latencyRatioHalfLife)
	if now < b.warmingUntil.Load() {
		ratio = max(ratio, warmingUpRatio)
	}
	return ratio
}

// currentFailureRate is the share of failures, which without samples returns to 0.
func (b *backend) currentFailureRate(now clock.Micros) int64 {
	return decay(b.failureRate.Load(), 0, max(0, now-b.failureRateAt.Load()), failureRateHalfLife)
}

// concurrency is how many requests the backend runs at once.
func (b *backend) concurrency() int64 {
	if n := b.slots.Load(); n > 0 {
		return n
	}
	return defaultConcurrency
}

// stalled reports whether attempts are in flight and none has made progress for longer than usual.
func (b *backend) stalled(now, usual clock.Micros) bool {
	age := now - b.progressAt.Load()
	return age > max(minStall, usual) && age < maxStall && b.inFlight.Load() > 0
}

// estimatedLoad is what the backend has under way, as far as this node knows: its last report, which fades to the
// mean of its reports and that to nothing, and no less than this node's own attempts. work is the time that one
// request takes.
func (b *backend) estimatedLoad(now, work clock.Micros) int64 {
	age := max(0, now-b.reportedAt.Load())
	mean := decay(b.meanLoad.Load(), 0, age, meanLoadHalfLife)
	load := decay(b.reportedLoad.Load(), mean, age, max(1, work*reportedLoadHalfLives))
	return max(load, b.inFlight.Load()*unit)
}

// wouldQueue reports whether another request would only wait in the backend's queue.
func (b *backend) wouldQueue(now clock.Micros) bool {
	slots := b.slots.Load()
	return slots > 0 && b.estimatedLoad(now, 0) >= slots*unit
}
