// Package retrybudget is one node's part of the budget that a pool's retries and hedged requests are
// paid from, for the node's whole fleet.
//
// A [Budget] is a token bucket, in thousandths of attempts. Its user decides what requests earn and
// what comes with time; this package holds what all such budgets have in common: a process that has
// just started can't know how large its fleet is, so that for [StartupPeriod] nothing comes with
// time and little may be saved, and a node of a large fleet may still save a whole attempt.
package retrybudget

import (
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

const (
	// StartupPeriod is how long after its process has started a budget has only what it earns.
	StartupPeriod = 10 * clock.Second
	// StartupCapacity is how much may be saved until then.
	StartupCapacity = 2 * tokenbucket.One
)

// Budget is a node's budget for one pool. It begins empty. It may be used by many goroutines.
type Budget struct {
	tokenbucket.Bucket
	startedAt clock.Micros
}

// Init prepares the budget of a process that started at a moment. What comes with time counts from
// the end of the startup period.
func (b *Budget) Init(startedAt clock.Micros) {
	b.startedAt = startedAt
	b.RefilledAt.Store(startedAt + StartupPeriod)
}

// Limits returns how much may be saved, and the node's fair share of what its fleet may save. Its
// user passes the latter, which on a large fleet is less than an attempt; during the startup period
// both are StartupCapacity.
func (b *Budget) Limits(now clock.Micros, share int64) (capacity, fairShare int64) {
	if now-b.startedAt < StartupPeriod {
		return StartupCapacity, StartupCapacity
	}
	return max(tokenbucket.One, share), share
}
