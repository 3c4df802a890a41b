// The budget of repeated tries: in any ten seconds a pool's nodes together may
// add a fifth of its traffic and about sixty. Each node earns the fifth from its
// own first tries, as they happen, so that what was earned long ago is not spent
// in a burst: of the sixty, fifty may be saved up and ten come with time, both
// divided by the greatest fleet seen of late. A node that has just started
// cannot know how large the fleet is and has but what it earns.
package inquiry

import (
	"sync/atomic"

	"wallport/table"
)

// Figures of the budget, in thousandths of a try for the whole fleet.
const (
	oneTry     = 1000
	earnedEach = oneTry / 5
	savedMost  = 50 * oneTry
	flatEach   = 1 * oneTry
	savedFirst = 2 * oneTry
	settleFor  = 10_000_000
)

// Budget is what one node may spend on one pool.
type Budget struct {
	saved  atomic.Int64
	filled atomic.Int64
}

func (d *Desk) budgetOf(index string) *Budget {
	if v, ok := d.budgets.Load(index); ok {
		return v.(*Budget)
	}
	b := new(Budget)
	b.filled.Store(d.Began + settleFor)
	v, _ := d.budgets.LoadOrStore(index, b)
	return v.(*Budget)
}

// add saves so much, up to a bound.
func (b *Budget) add(n, most int64) {
	for {
		was := b.saved.Load()
		next := min(most, was+n)
		if next <= was || b.saved.CompareAndSwap(was, next) {
			return
		}
	}
}

// first earns from a first try.
func (b *Budget) first(most int64) { b.add(earnedEach, most) }

// take asks for so many repeated tries, all or none.
func (b *Budget) take(now, nodes, most, n int64) bool {
	for {
		at := b.filled.Load()
		gain := (now - at) * flatEach / nodes / 1_000_000
		if gain < 1 {
			break
		}
		if b.filled.CompareAndSwap(at, now) {
			b.add(gain, most)
			break
		}
	}
	for {
		was := b.saved.Load()
		have := min(was, most)
		// What is dearer than can be saved takes all that can be, and the rest is owed.
		if have < min(n*oneTry, most) {
			return false
		}
		if b.saved.CompareAndSwap(was, have-n*oneTry) {
			return true
		}
	}
}

// bound is how much this node may save.
func (d *Desk) bound(cp *table.Checkpoint, now int64) int64 {
	if now-d.Began < settleFor {
		return savedFirst
	}
	return max(oneTry, savedMost/int64(cp.Divisor))
}

// extra asks the pool's budget for one repeated try of this node.
func (d *Desk) extra(cp *table.Checkpoint, index string, now int64) bool {
	return d.extras(cp, index, now, 1)
}

// extras asks for the tries of a whole repeated inquiry.
func (d *Desk) extras(cp *table.Checkpoint, index string, now, n int64) bool {
	if d.budgetOf(index).take(now, int64(cp.Divisor), d.bound(cp, now), n) {
		d.Counts.Add("extra_tries", n)
		return true
	}
	d.Counts.Add("extra_tries_denied", n)
	return false
}
