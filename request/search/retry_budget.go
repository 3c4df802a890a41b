package search

import (
	"wallport/request/retrybudget"
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

// The retry budget limits retries and hedged requests. In any ten seconds all nodes together may make
// one of them for every five initial attempts to a pool, plus about sixty. Each initial attempt of a
// node credits the node's budget with a fifth of an attempt. The balance is capped, so that credit
// earned long ago is not spent in a burst. Fifty of the sixty attempts may be saved up, and ten accrue
// over the ten seconds. A node's part of the sixty is that number divided by the size of the largest
// fleet seen recently.
//
// The constants are in thousandths of an attempt.
const (
	oneAttempt       = tokenbucket.One
	earnedPerAttempt = oneAttempt / 5
	fleetSavedMax    = 50 * oneAttempt
	fleetPerSecond   = 1 * oneAttempt
)

// retryBudgetOf returns this node's retry budget for the pool of an index and creates it if necessary.
func (d *Dispatcher) retryBudgetOf(index string) *retrybudget.Budget {
	if v, ok := d.retryBudgets.Load(index); ok {
		return v.(*retrybudget.Budget)
	}
	budget := new(retrybudget.Budget)
	budget.Init(d.StartedAt)
	v, _ := d.retryBudgets.LoadOrStore(index, budget)
	return v.(*retrybudget.Budget)
}

// retryBudget returns this node's retry budget for the pool of an index, and the budget's capacity.
func (d *Dispatcher) retryBudget(snap *snapshot.Snapshot, index string, now clock.Micros) (budget *retrybudget.Budget, capacity int64) {
	budget = d.retryBudgetOf(index)
	capacity, _ = budget.Limits(now, fleetSavedMax/int64(snap.Divisor))
	return budget, capacity
}

// replenishRetryBudget credits the retry budget with earnedPerAttempt, for one initial attempt.
func (d *Dispatcher) replenishRetryBudget(snap *snapshot.Snapshot, index string, now clock.Micros) {
	budget, capacity := d.retryBudget(snap, index, now)
	budget.Add(earnedPerAttempt, capacity)
}

// takeRetries charges n attempts to the retry budget of an index's pool and reports whether they may
// be made. The first attempts of a request that the caller has repeated are charged in one call. If n
// exceeds the capacity, a full budget is enough, and the balance becomes negative.
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
