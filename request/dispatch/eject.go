// Ejection: failures and silence take a backend out for a while that grows, and
// trials bring it back.

package dispatch

import "wallport/runtime/random"

// failure is what an ask came to that began at a moment; silent tells that nothing came at all.
type failure struct {
	at, weight int64
	silent     bool
}

// failed notes a failure and tells whether it ejects the backend, or ejects it longer: what began
// before the last ejection says nothing new. Silence takes it out at once.
func (b *backend) failed(now int64, f failure, nodes int) bool {
	w := b.wrong(now)
	for range f.weight {
		w += (1000 - w) / 4
	}
	b.errs.Store(w)
	b.erred.Store(now)
	n := b.fails.Add(f.weight)
	switch level := b.level.Load(); {
	case level == 0 && !f.silent && n < ejectAfter, level > 0 && f.at < b.out.Load():
		return false
	}
	if f.silent {
		b.mute.Store(true)
	}
	b.level.Add(1)
	b.out.Store(now)
	b.until.Store(now + b.pause(now, b.level.Load(), nodes))
	return true
}

// markReplaced notes that another backend answers at the address: this one has ended, and is asked no
// more while a list may still name it. It tells whether that is news.
func (b *backend) markReplaced(now int64) bool {
	return b.replaced.Swap(now+replacedFor) <= now
}

// pause is how long an ejection lasts that is the nth in a row, spread so that the trials of a pool
// whose backends fell silent together do not fall together. The trials of all nodes together are
// not to grow with the fleet.
func (b *backend) pause(now, n int64, nodes int) int64 {
	most := min(ejectMost, max(ejectHigh, ejectHigh*int64(nodes)/ejectNodes))
	rnd := random.Source(now ^ b.seen.Load()<<20 ^ b.told.Load()<<10)
	return min(most, int64(ejectFor)<<min(n-1, 5)) * int64(512+rnd.N(512)) / 1024
}

// tries takes the one trial that is due; the next is later where a trial costs a whole request.
func (b *backend) tries(now int64, nodes int, once bool) bool {
	at := b.until.Load()
	pause := b.pause(now, max(1, b.level.Load()), nodes)
	if once {
		pause *= 2
	}
	return now >= at && b.until.CompareAndSwap(at, now+pause)
}
