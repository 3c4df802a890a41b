package search

import (
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

// The retry budget: in any ten seconds all nodes together may add a fifth of a pool's traffic and
// about sixty attempts. Each node earns the fifth from its own initial attempts as they happen, so
// that what was earned long ago is not spent in a burst. Of the sixty, fifty may be saved and ten
// come with time, both divided by the largest fleet seen lately. A node that has just started can't
// know how large the fleet is and has almost only what it earns.
//
// The constants are in thousandths of attempts.
const (
	oneAttempt       = tokenbucket.One
	earnedPerAttempt = oneAttempt / 5
	fleetSavedMax    = 50 * oneAttempt
	fleetPerSecond   = 1 * oneAttempt
	// startupSavedMax is what a node may save during startupPeriod.
	startupSavedMax = 2 * oneAttempt
	startupPeriod   = 10 * clock.Second
)

// retryBudgetOf returns what this node may spend on the pool of an index.
func (d *Dispatcher) retryBudgetOf(index string) *tokenbucket.Bucket {
	if v, ok := d.retryBudgets.Load(index); ok {
		return v.(*tokenbucket.Bucket)
	}
	budget := new(tokenbucket.Bucket)
	budget.RefilledAt.Store(d.StartedAt + startupPeriod)
	v, _ := d.retryBudgets.LoadOrStore(index, budget)
	return v.(*tokenbucket.Bucket)
}

// maxSavedRetries is how much this node may save.
func (d *Dispatcher) maxSavedRetries(snap *snapshot.Snapshot, now clock.Micros) int64 {
	if now-d.StartedAt < startupPeriod {
		return startupSavedMax
	}
	return max(oneAttempt, fleetSavedMax/int64(snap.Divisor))
}

// replenishRetryBudget adds what an initial attempt earns.
func (d *Dispatcher) replenishRetryBudget(snap *snapshot.Snapshot, index string, now clock.Micros) {
	d.retryBudgetOf(index).Add(earnedPerAttempt, d.maxSavedRetries(snap, now))
}

// takeRetries takes n attempts from the budget of an index's pool and reports whether they may be
// made. A caller's repeat takes all its attempts at once; where they cost more than can be saved,
// it takes all that can be, and the rest is owed.
func (d *Dispatcher) takeRetries(snap *snapshot.Snapshot, index string, now clock.Micros, n int64) bool {
	budget, capacity := d.retryBudgetOf(index), d.maxSavedRetries(snap, now)
	budget.Refill(now, fleetPerSecond/int64(snap.Divisor), capacity)
	if budget.Take(n*oneAttempt, min(n*oneAttempt, capacity), capacity) {
		d.Counts.Add("extra_tries", n)
		return true
	}
	d.Counts.Add("extra_tries_denied", n)
	return false
}
