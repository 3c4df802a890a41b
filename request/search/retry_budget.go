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
	oneAttempt         = tokenbucket.One
	earnedPerAttempt   = oneAttempt / 5
	fleetSavedMax      = 50 * oneAttempt
	fleetPerSecond     = 1 * oneAttempt
	savedWhileSettling = 2 * oneAttempt
	settlingPeriod     = 10_000_000
)

// budgetOf is what this node may spend on one pool.
func (d *Dispatcher) budgetOf(index string) *tokenbucket.Bucket {
	if v, ok := d.budgets.Load(index); ok {
		return v.(*tokenbucket.Bucket)
	}
	b := new(tokenbucket.Bucket)
	b.RefilledAt.Store(d.StartedAt + settlingPeriod)
	v, _ := d.budgets.LoadOrStore(index, b)
	return v.(*tokenbucket.Bucket)
}

// maxSaved is how much this node may save.
func (d *Dispatcher) maxSaved(snap *snapshot.Snapshot, now int64) int64 {
	if now-d.StartedAt < settlingPeriod {
		return savedWhileSettling
	}
	return max(oneAttempt, fleetSavedMax/int64(snap.Divisor))
}

// takeRetry asks the pool's budget for one repeated try of this node.
func (d *Dispatcher) takeRetry(snap *snapshot.Snapshot, index string, now int64) bool {
	return d.takeRetries(snap, index, now, 1)
}

// takeRetries asks for the tries of a whole repeated inquiry.
func (d *Dispatcher) takeRetries(snap *snapshot.Snapshot, index string, now, n int64) bool {
	b, most := d.budgetOf(index), d.maxSaved(snap, now)
	b.Refill(now, fleetPerSecond/int64(snap.Divisor), most)
	// What is dearer than can be saved takes all that can be, and the rest is owed.
	if b.Take(n*oneAttempt, min(n*oneAttempt, most), most) {
		d.Counts.Add("extra_tries", n)
		return true
	}
	d.Counts.Add("extra_tries_denied", n)
	return false
}
