package dispatch

import (
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// ejectAfterFailures is how many failures in a row eject a backend.
	ejectAfterFailures = 3
	// baseEjection is the first ejection's period, which doubles up to a cap: ejectionCap, on fleets of more than
	// ejectionCapNodes in proportion to them, and maxEjection at most.
	baseEjection     = 400 * clock.Millisecond
	ejectionCap      = 700 * clock.Millisecond
	ejectionCapNodes = 8
	maxEjection      = 6 * clock.Second
	maxDoublings     = 5
	// replacedFor is how long a backend counts as ended after another one answered at its address: by then the list
	// no longer names it.
	replacedFor = 6 * clock.Second
	// trialsWithin is how soon the other ejected backends of a pool are tried once one has recovered.
	trialsWithin = 150 * clock.Millisecond
)

// failure is an attempt that failed.
type failure struct {
	startedAt clock.Micros
	// weight is how many failures it counts as.
	weight int64
	// timedOut is set where nothing came at all.
	timedOut bool
}

// recordFailure takes a failure and reports whether it ejects the backend, or ejects it again: after
// ejectAfterFailures in a row, or at once where the backend was silent. An attempt that began before the last
// ejection says nothing new.
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

// markReplaced takes the proof that the backend has ended: another one answered at its address. It reports whether
// that is new.
func (b *backend) markReplaced(now clock.Micros) bool {
	return b.replacedUntil.Swap(now+replacedFor) <= now
}

// ejectionPeriod is how long the nth ejection in a row lasts. It is jittered, so that the trials of a pool whose
// backends fell silent together do not coincide, and grows with the fleet, so that the trials of all nodes
// together do not.
func (b *backend) ejectionPeriod(now clock.Micros, n int64, nodes int) clock.Micros {
	most := min(maxEjection, max(ejectionCap, ejectionCap*int64(nodes)/ejectionCapNodes))
	rnd := random.Source(now ^ b.listedAt.Load()<<20 ^ b.reportedAt.Load()<<10)
	return min(most, baseEjection<<min(n-1, maxDoublings)) * int64(512+rnd.IntN(512)) / 1024
}

// claimTrial claims the one trial that is due and reports whether this request is it. The next trial comes later
// where one costs a whole request.
func (b *backend) claimTrial(now clock.Micros, nodes int, atMostOnce bool) bool {
	due := b.ejectedUntil.Load()
	period := b.ejectionPeriod(now, max(1, b.ejections.Load()), nodes)
	if atMostOnce {
		period *= 2
	}
	return now >= due && b.ejectedUntil.CompareAndSwap(due, now+period)
}

// scheduleTrials makes the trials of the pool's ejected backends due soon: what has ended for one of them may have
// ended for all.
func (p *pool) scheduleTrials(now clock.Micros, rnd *random.Source) {
	for i := range p.endpoints {
		b := p.endpoints[i].backend
		if due := b.ejectedUntil.Load(); b.ejections.Load() > 0 && due > now+trialsWithin {
			b.ejectedUntil.CompareAndSwap(due, now+int64(rnd.IntN(int(trialsWithin))))
		}
	}
}
