package dispatch

import (
	"sync/atomic"

	"wallport/request/retrybudget"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// backend holds this node's measurements of one backend, mostly from its own attempts. It outlives snapshots and is
// safe for concurrent use, but concurrent updates may overwrite each other. Shares and ratios are in thousandths,
// loads in thousandths of requests, times and durations in microseconds of the process's clock.
//
// Its ejections determine where this package sends requests. The ejections of snapshot.Gauge, which attempts also
// update, determine the node's health reports and where package search sends requests.
type backend struct {
	// inFlight counts this node's attempts in flight. progressAt is when the first of them began or when the backend
	// itself last ended an attempt, whichever is later.
	inFlight, progressAt atomic.Int64

	// latencyRatio is the smoothed response time relative to the pool's median, as of latencyRatioAt.
	latencyRatio, latencyRatioAt atomic.Int64
	// failureRate is the smoothed share of failed attempts, as of failureRateAt.
	failureRate, failureRateAt atomic.Int64
	consecutiveFailures        atomic.Int64
	succeededAt                atomic.Int64

	// ejections counts consecutive ejections, 0 if the backend is not ejected. The last ejection began at ejectedAt;
	// a trial request is due at ejectedUntil.
	ejections, ejectedAt, ejectedUntil atomic.Int64
	// unresponsive is set if the backend was ejected because an attempt timed out.
	unresponsive atomic.Bool
	// replacedUntil is the end of the time for which the backend is considered gone because another backend responded
	// at its address.
	replacedUntil atomic.Int64

	// reportedLoad is the number of running and queued requests that the backend last reported, as of reportedAt;
	// meanLoad is the running mean of its reports.
	reportedLoad, reportedAt, meanLoad atomic.Int64
	// slots is the number of requests that the backend can run concurrently, 0 if unknown.
	slots atomic.Int64
	// rejectedLoad is the load at which the backend last rejected a request, 0 if unknown.
	rejectedLoad atomic.Int64

	// warmingUntil is when the backend's slow start ends.
	warmingUntil atomic.Int64
	slowStart    slowStart

	// listedAt is when a snapshot last listed the backend.
	listedAt atomic.Int64
	// listedWarmUp and zoneDrained hold the values from the last snapshot. Only the goroutine that builds a view
	// accesses them.
	listedWarmUp clock.Micros
	zoneDrained  bool
}

const (
	// unit is 1 in thousandths: a share of 1, a ratio of 1, a load of one request.
	unit = 1000

	latencyRatioHalfLife = 3 * clock.Second
	failureRateHalfLife  = 3 * clock.Second
	minLatencyRatio      = 250
	maxLatencyRatio      = 40_000
	// warmingUpRatio is the minimum latency ratio that is assumed for a backend in slow start.
	warmingUpRatio = 1600

	// defaultConcurrency is assumed if the number of slots is unknown.
	defaultConcurrency = 4
	meanLoadHalfLife   = 500 * clock.Millisecond
	// reportedLoadHalfLives is the half-life of a load report, in multiples of the time that one request takes.
	reportedLoadHalfLives = 2

	// A backend can only be considered stalled if its attempts have made no progress for longer than minStall. After
	// maxStall without progress it is no longer considered stalled.
	minStall = 25 * clock.Millisecond
	maxStall = 20 * clock.Second

	// forgetBackendAfter is how long the measurements of a backend are kept after a snapshot last listed it.
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

// forgetBackends drops idle backends that no snapshot has listed for forgetBackendAfter. It does nothing while at
// most 2*listed+64 backends are known.
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

// update updates the measurements from the backend's entry s in a snapshot. startedAt is when this process started.
// update must not be called concurrently.
func (b *backend) update(snap *snapshot.Snapshot, p *snapshot.Pool, s *snapshot.Backend, startedAt clock.Micros) {
	firstListed := b.listedAt.Load() == 0
	b.listedAt.Store(max(1, snap.At))
	if s.Slots > 0 && b.slots.Load() == 0 {
		b.slots.Store(boundedConcurrency(s.Slots))
	}
	lastWarmUp := b.listedWarmUp
	b.listedWarmUp = s.WarmUpRemaining
	switch {
	case s.WarmUpRemaining > 0 && s.WarmUpRemaining != lastWarmUp:
		b.warmingUntil.Store(snap.At + s.WarmUpRemaining)
	case firstListed && snap.At-startedAt > retrybudget.StartupPeriod:
		// A backend that first appears after this process's startup period is assumed to have just started, even if
		// the list reports no slow start.
		b.warmingUntil.Store(snap.At + p.SlowStartUs)
	}
	if reported := s.Gauge.SlowStartUntil.Load(); reported > b.warmingUntil.Load() {
		b.warmingUntil.Store(reported)
	}
	drained := s.Health == snapshot.ZoneDrained
	if b.zoneDrained && !drained && p.RampPerS > 0 {
		// The caches of backends in a drained zone may be cold once the zone is restored.
		b.warmingUntil.Store(max(b.warmingUntil.Load(), snap.At+p.SlowStartUs))
	}
	b.zoneDrained = drained
}

// attemptStarted records the start of an attempt.
func (b *backend) attemptStarted(now clock.Micros) {
	if b.inFlight.Add(1) == 1 {
		b.progressAt.Store(now)
	}
}

// attemptEnded records the end of an attempt. alive says that the backend itself ended the attempt, which counts as
// progress.
func (b *backend) attemptEnded(now clock.Micros, alive bool) {
	b.inFlight.Add(-1)
	if alive {
		b.progressAt.Store(now)
	}
}

// recordSuccess records a successful response, given the time it took and the backend's load when the attempt
// began. It ends an ejection and reports whether the backend had been ejected.
func (b *backend) recordSuccess(now, took clock.Micros, load int64, latency *latencyStats) (wasEjected bool) {
	net := took * unit / (unit + queueTime(load, b.concurrency(), unit))
	failureRate := b.currentFailureRate(now)
	if wasEjected = b.ejections.Load() > 0; wasEjected {
		b.ejections.Store(0)
		if b.unresponsive.Swap(false) {
			// Failures from a period without responses say little about the backend once it responds again.
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

// recordLoadReport records the load that the backend reported.
func (b *backend) recordLoadReport(now clock.Micros, report LoadReport) {
	if !report.Known {
		return
	}
	load := report.total()
	b.meanLoad.Store(b.meanLoad.Load() + (load-b.meanLoad.Load())/8)
	b.reportedLoad.Store(load)
	b.reportedAt.Store(now)
	if slots := report.slots(); slots > 0 {
		b.slots.Store(slots)
	}
}

// recordRejection records that the backend rejected an attempt. rejectedLoad is set only if the report confirms that
// all slots are in use.
func (b *backend) recordRejection(now clock.Micros, report LoadReport) {
	load := 2 * unit * max(1, b.slots.Load())
	if report.Known {
		load = report.total()
		if load >= unit*report.slots() {
			b.rejectedLoad.Store(load)
		}
	}
	b.reportedLoad.Store(max(load, b.reportedLoad.Load()))
	b.reportedAt.Store(now)
}

// expectedRatio returns the expected latency ratio of the next response. Without samples it decays to 1.
func (b *backend) expectedRatio(now clock.Micros) int64 {
	ratio := decay(b.latencyRatio.Load(), unit, max(0, now-b.latencyRatioAt.Load()), latencyRatioHalfLife)
	if now < b.warmingUntil.Load() {
		ratio = max(ratio, warmingUpRatio)
	}
	return ratio
}

// currentFailureRate returns the share of failed attempts, in thousandths. Without samples it decays to 0.
func (b *backend) currentFailureRate(now clock.Micros) int64 {
	return decay(b.failureRate.Load(), 0, max(0, now-b.failureRateAt.Load()), failureRateHalfLife)
}

// concurrency returns the number of requests that the backend can run concurrently.
func (b *backend) concurrency() int64 {
	if n := b.slots.Load(); n > 0 {
		return n
	}
	return defaultConcurrency
}

// stalled reports whether attempts are in flight without progress: the last progress was longer ago than both usual
// and minStall, but less than maxStall ago.
func (b *backend) stalled(now, usual clock.Micros) bool {
	age := now - b.progressAt.Load()
	return age > max(minStall, usual) && age < maxStall && b.inFlight.Load() > 0
}

// estimatedLoad returns the estimated number of requests that the backend is handling, in thousandths. With the age of
// the last report, the estimate decays from the reported load to the mean of the reports, and that mean decays to 0.
// The estimate is never below the number of this node's own attempts in flight. work is the time that one request
// takes.
func (b *backend) estimatedLoad(now, work clock.Micros) int64 {
	age := max(0, now-b.reportedAt.Load())
	mean := decay(b.meanLoad.Load(), 0, age, meanLoadHalfLife)
	load := decay(b.reportedLoad.Load(), mean, age, max(1, work*reportedLoadHalfLives))
	return max(load, b.inFlight.Load()*unit)
}

// wouldQueue reports whether another request would have to wait in the backend's queue.
func (b *backend) wouldQueue(now clock.Micros) bool {
	slots := b.slots.Load()
	return slots > 0 && b.estimatedLoad(now, 0) >= slots*unit
}
