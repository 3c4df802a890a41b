// Ejection: failures and silence take a backend out for a while that grows, and
// trials bring it back.

package dispatch

import "wallport/runtime/random"

// failure is what an ask came to that began at a moment; silent tells that nothing came at all.
type failure struct {
	startedAt, weight int64
	timedOut          bool
}

// recordFailure notes a failure and tells whether it ejects the backend, or ejects it longer: what began
// before the last ejection says nothing new. Silence takes it out at once.
func (b *backend) recordFailure(now int64, f failure, nodes int) bool {
	w := b.currentFailureRate(now)
	for range f.weight {
		w += (1000 - w) / 4
	}
	b.failureRate.Store(w)
	b.failureRateAt.Store(now)
	n := b.consecutiveFailures.Add(f.weight)
	switch level := b.ejections.Load(); {
	case level == 0 && !f.timedOut && n < ejectAfterFailures, level > 0 && f.startedAt < b.ejectedAt.Load():
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

// markReplaced notes that another backend answers at the address: this one has ended, and is asked no
// more while a list may still name it. It tells whether that is news.
func (b *backend) markReplaced(now int64) bool {
	return b.replacedUntil.Swap(now+replacedFor) <= now
}

// ejectionPeriod is how long an ejection lasts that is the nth in a row, spread so that the trials of a pool
// whose backends fell silent together do not fall together. The trials of all nodes together are
// not to grow with the fleet.
func (b *backend) ejectionPeriod(now, n int64, nodes int) int64 {
	most := min(maxEjection, max(ejectionCap, ejectionCap*int64(nodes)/ejectionCapNodes))
	rnd := random.Source(now ^ b.listedAt.Load()<<20 ^ b.reportedAt.Load()<<10)
	return min(most, int64(baseEjection)<<min(n-1, 5)) * int64(512+rnd.IntN(512)) / 1024
}

// claimTrial takes the one trial that is due; the next is later where a trial costs a whole request.
func (b *backend) claimTrial(now int64, nodes int, once bool) bool {
	at := b.ejectedUntil.Load()
	pause := b.ejectionPeriod(now, max(1, b.ejections.Load()), nodes)
	if once {
		pause *= 2
	}
	return now >= at && b.ejectedUntil.CompareAndSwap(at, now+pause)
}
