package dispatch

import (
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject a backend.
	ejectAfterFailures = 3
	// baseEjection is the period of the first ejection. The period doubles with each further consecutive ejection, at
	// most maxDoublings times and up to a cap. The cap is ejectionCap for up to ejectionCapNodes nodes, grows in
	// proportion to the fleet beyond that, and is never above maxEjection.
	baseEjection     = 400 * clock.Millisecond
	ejectionCap      = 700 * clock.Millisecond
	ejectionCapNodes = 8
	maxEjection      = 6 * clock.Second
	maxDoublings     = 5
	// replacedFor is how long a backend is considered gone after another backend responded at its address. By the end
	// of that time the platform's list no longer contains the backend that is gone.
	replacedFor = 6 * clock.Second
	// trialsWithin bounds the time until the other ejected backends of a pool are tried after one of the pool's
	// backends has recovered.
	trialsWithin = 150 * clock.Millisecond
)

// failure describes a failed attempt.
type failure struct {
	startedAt clock.Micros
	// weight is the number of failures that the attempt counts as.
	weight int64
	// timedOut is set if the backend did not respond within the pool's response timeout.
	timedOut bool
}

// recordFailure records a failure and reports whether it ejects the backend or extends its ejection. A backend is
// ejected after ejectAfterFailures consecutive failures, or immediately if the attempt timed out. While it is
// ejected, a failure ejects it again only if the attempt began after the start of the last ejection.
func (b *backend) recordFailure(now clock.Micros, f failure, nodes int) (ejected bool) {
	rate := b.currentFailureRate(now)
	for range f.weight {
		rate += (unit - rate) / 4
	}
	b.failureRate.Store(rate)
	b.failureRateAt.Store(now)
	inARow := b.consecutiveFailures.Add(f.weight)
	ejections := b.ejections.Load()
	if ejections == 0 && !f.timedOut && inARow < ejectAfterFailures {
		return false
	}
	if ejections > 0 && f.startedAt < b.ejectedAt.Load() {
		return false
	}
	if f.timedOut {
		b.unresponsive.Store(true)
	}
	b.ejections.Add(1)
	b.ejectedAt.Store(now)
	b.ejectedUntil.Store(now + b.ejectionPeriod(now, b.ejections.Load(), nodes))
	return true
}

// markReplaced records that the backend is gone because another backend responded at its address. It returns false if
// the backend was already marked as replaced.
func (b *backend) markReplaced(now clock.Micros) bool {
	return b.replacedUntil.Swap(now+replacedFor) <= now
}

// ejectionPeriod returns the duration of the nth consecutive ejection. It is jittered, so that the trials of a
// pool's backends do not coincide if these became unresponsive together. Its cap grows with the fleet, so that the
// trials of all nodes do not coincide either.
func (b *backend) ejectionPeriod(now clock.Micros, n int64, nodes int) clock.Micros {
	most := min(maxEjection, max(ejectionCap, ejectionCap*int64(nodes)/ejectionCapNodes))
	rnd := random.Source(now ^ b.listedAt.Load()<<20 ^ b.reportedAt.Load()<<10)
	return min(most, baseEjection<<min(n-1, maxDoublings)) * int64(512+rnd.IntN(512)) / 1024
}

// claimTrial claims the backend's trial for this request and reports whether it succeeded; it fails if no trial is due
// or another request has claimed it. If the request may be sent only once, the time until the next trial is doubled,
// since a failed trial then loses the whole request.
func (b *backend) claimTrial(now clock.Micros, nodes int, atMostOnce bool) bool {
	due := b.ejectedUntil.Load()
	period := b.ejectionPeriod(now, max(1, b.ejections.Load()), nodes)
	if atMostOnce {
		period *= 2
	}
	return now >= due && b.ejectedUntil.CompareAndSwap(due, now+period)
}

// scheduleTrials makes the trials of the pool's ejected backends due within trialsWithin. It is called when one of
// the pool's backends has recovered, since the others may have recovered from the same fault.
func (p *pool) scheduleTrials(now clock.Micros, rnd *random.Source) {
	for i := range p.endpoints {
		b := p.endpoints[i].backend
		if due := b.ejectedUntil.Load(); b.ejections.Load() > 0 && due > now+trialsWithin {
			b.ejectedUntil.CompareAndSwap(due, now+int64(rnd.IntN(int(trialsWithin))))
		}
	}
}
