// Package retrybudget provides one node's part of the fleet's budget for retries and hedged requests to a
// pool.
//
// A [Budget] is a token bucket that counts in thousandths of attempts. The caller determines how much each
// request and the passage of time add. This package implements the common rules: a process that has just
// started does not know the size of its fleet, so for [StartupPeriod] its budget is not refilled over time and
// at most [StartupCapacity] can be saved; and even a node of a large fleet may save one whole attempt.
package retrybudget

import (
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

const (
	// StartupPeriod is the time after the start of the process in which only requests add to a budget.
	StartupPeriod = 10 * clock.Second
	// StartupCapacity is the most that can be saved during the startup period.
	StartupCapacity = 2 * tokenbucket.One
)

// Budget is a node's budget for one pool. It is initially empty. It is safe for concurrent use.
type Budget struct {
	tokenbucket.Bucket
	startedAt clock.Micros
}

// Init initializes the budget, given when the process started. The refill over time begins at the end of the
// startup period.
func (b *Budget) Init(startedAt clock.Micros) {
	b.startedAt = startedAt
	b.RefilledAt.Store(startedAt + StartupPeriod)
}

// Limits returns the most that may be saved, and the node's fair share of what its fleet may save. share is
// the fair share after the startup period, which in a large fleet is less than one attempt; the capacity is
// then at least one attempt. During the startup period both results are StartupCapacity.
func (b *Budget) Limits(now clock.Micros, share int64) (capacity, fairShare int64) {
	if now-b.startedAt < StartupPeriod {
		return StartupCapacity, StartupCapacity
	}
	return max(tokenbucket.One, share), share
}
