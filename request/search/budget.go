// The budget of repeated tries: in any ten seconds a pool's nodes together may
// add a fifth of its traffic and about sixty. Each node earns the fifth from its
// own first tries, as they happen, so that what was earned long ago is not spent
// in a burst: of the sixty, fifty may be saved up and ten come with time, both
// divided by the greatest fleet seen of late. A node that has just started
// cannot know how large the fleet is and has but what it earns.

package search

import (
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
)

// Figures of the budget, in thousandths of a try for the whole fleet.
const (
	oneTry     = tokenbucket.One
	earnedEach = oneTry / 5
	savedMost  = 50 * oneTry
	flatEach   = 1 * oneTry
	savedFirst = 2 * oneTry
	settleFor  = 10_000_000
)

// budgetOf is what this node may spend on one pool.
func (d *Desk) budgetOf(index string) *tokenbucket.Bucket {
	if v, ok := d.budgets.Load(index); ok {
		return v.(*tokenbucket.Bucket)
	}
	b := new(tokenbucket.Bucket)
	b.Filled.Store(d.Began + settleFor)
	v, _ := d.budgets.LoadOrStore(index, b)
	return v.(*tokenbucket.Bucket)
}

// bound is how much this node may save.
func (d *Desk) bound(cp *snapshot.Snapshot, now int64) int64 {
	if now-d.Began < settleFor {
		return savedFirst
	}
	return max(oneTry, savedMost/int64(cp.Divisor))
}

// extra asks the pool's budget for one repeated try of this node.
func (d *Desk) extra(cp *snapshot.Snapshot, index string, now int64) bool {
	return d.extras(cp, index, now, 1)
}

// extras asks for the tries of a whole repeated inquiry.
func (d *Desk) extras(cp *snapshot.Snapshot, index string, now, n int64) bool {
	b, most := d.budgetOf(index), d.bound(cp, now)
	b.Refill(now, flatEach/int64(cp.Divisor), most)
	// What is dearer than can be saved takes all that can be, and the rest is owed.
	if b.Take(n*oneTry, min(n*oneTry, most), most) {
		d.Counts.Add("extra_tries", n)
		return true
	}
	d.Counts.Add("extra_tries_denied", n)
	return false
}
