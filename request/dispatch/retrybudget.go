package dispatch

import (
	"wallport/request/retrybudget"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// What a node uses of the fleet's budget; the rest covers what nodes cannot see of one another.
const (
	// earnedFraction of Ratio is earned with each request of the pool.
	earnedFraction = 0.9
	// burstFraction of Allowance may be saved, refillFraction of it comes with time in each Window.
	burstFraction  = 0.7
	refillFraction = 0.15
)

// retryBudget is a node's part of the budget for retries and hedged requests at one pool. Each node earns a
// little less than Ratio from its own requests; of the Allowance most may be saved and some comes with time, both
// divided by the largest fleet seen lately. It may be used from many goroutines.
type retryBudget struct {
	retrybudget.Budget
	config RetryConfig
}

func newRetryBudget(config RetryConfig, startedAt clock.Micros) *retryBudget {
	b := &retryBudget{config: config}
	b.Init(startedAt)
	return b
}

func (d *Dispatcher) retryBudgetOf(pool string) *retryBudget {
	if v, ok := d.retryBudgets.Load(pool); ok {
		return v.(*retryBudget)
	}
	v, _ := d.retryBudgets.LoadOrStore(pool, newRetryBudget(d.cfg.Retry, d.cfg.StartedAt))
	return v.(*retryBudget)
}

// limits returns how much this node may save, and its fair share of what the fleet may save, which on a large
// fleet is less than one attempt.
func (b *retryBudget) limits(now clock.Micros, nodes int) (burst, fairShare int64) {
	return b.Limits(now, int64(burstFraction*b.config.Allowance*tokenbucket.One/float64(max(1, nodes))))
}

// replenish earns for one request of the pool. Where the fair share is less than one attempt, a whole attempt
// that lies unused is lost with the probability of what it exceeds the fair share by, so that what a very large
// fleet has saved does not add up.
func (b *retryBudget) replenish(now clock.Micros, nodes int, rnd *random.Source) {
	burst, fairShare := b.limits(now, nodes)
	earned := int64(earnedFraction * b.config.Ratio * tokenbucket.One)
	if fairShare < tokenbucket.One && b.Balance() >= tokenbucket.One && int64(rnd.IntN(tokenbucket.One)) >= fairShare {
		b.Take(tokenbucket.One, tokenbucket.One, burst)
	}
	b.Add(earned, burst+earned)
}

// withdraw takes one retry or hedged request from the budget and reports whether it was there.
func (b *retryBudget) withdraw(now clock.Micros, nodes int) bool {
	burst, fairShare := b.limits(now, nodes)
	if fairShare >= tokenbucket.One {
		perSecond := refillFraction * b.config.Allowance * tokenbucket.One * float64(clock.Second) / float64(b.config.Window) / float64(max(1, nodes))
		b.Refill(now, int64(perSecond), burst)
	}
	return b.Take(tokenbucket.One, tokenbucket.One, burst)
}

// withdrawRetry takes one retry or hedged request from the pool's budget and counts it.
func (d *Dispatcher) withdrawRetry(p *pool, now clock.Micros, nodes int) bool {
	if p.retryBudget.withdraw(now, nodes) {
		d.count.retries.Add(1)
		return true
	}
	d.count.retriesDenied.Add(1)
	return false
}
