package search

import (
	"wallport/request/retrybudget"
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

// The retry budget: in any ten seconds all nodes together may add a fifth of a pool's traffic and
// about sixty attempts. Each node earns the fifth from its own initial attempts as they happen, so
// that what was earned long ago is not spent in a burst. Of the sixty, fifty may be saved and ten
// come with time, both divided by the largest fleet seen lately.
//
// The constants are in thousandths of attempts.
const (
	oneAttempt       = tokenbucket.One
	earnedPerAttempt = oneAttempt / 5
	fleetSavedMax    = 50 * oneAttempt
	fleetPerSecond   = 1 * oneAttempt
)

// retryBudgetOf returns what this node may spend on the pool of an index.
func (d *Dispatcher) retryBudgetOf(index string) *retrybudget.Budget {
	if v, ok := d.retryBudgets.Load(index); ok {
		return v.(*retrybudget.Budget)
	}
	budget := new(retrybudget.Budget)
	budget.Init(d.StartedAt)
	v, _ := d.retryBudgets.LoadOrStore(index, budget)
	return v.(*retrybudget.Budget)
}

// retryBudget returns the budget of an index's pool and how much of it this node may save.
func (d *Dispatcher) retryBudget(snap *snapshot.Snapshot, index string, now clock.Micros) (budget *retrybudget.Budget, capacity int64) {
	budget = d.retryBudgetOf(index)
	capacity, _ = budget.Limits(now, fleetSavedMax/int64(snap.Divisor))
	return budget, capacity
}

// replenishRetryBudget adds what an initial attempt earns.
func (d *Dispatcher) replenishRetryBudget(snap *snapshot.Snapshot, index string, now clock.Micros) {
	budget, capacity := d.retryBudget(snap, index, now)
	budget.Add(earnedPerAttempt, capacity)
}

// takeRetries takes n attempts from the budget of an index's pool and reports whether they may be
// made. A caller's repeat takes all its attempts at once; where they cost more than can be saved,
// it takes all that can be, and the rest is owed.
func (d *Dispatcher) takeRetries(snap *snapshot.Snapshot, index string, now clock.Micros, n int64) bool {
	budget, capacity := d.retryBudget(snap, index, now)
	budget.Refill(now, fleetPerSecond/int64(snap.Divisor), capacity)
	if budget.Take(n*oneAttempt, min(n*oneAttempt, capacity), capacity) {
		d.Counts.Add("extra_tries", n)
		return true
	}
	d.Counts.Add("extra_tries_denied", n)
	return false
}
