package dispatch

import (
	"wallport/request/retrybudget"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// The fractions of RetryConfig that the nodes use. The remainder is a margin, since nodes do not see each other's
// retries.
const (
	// Each request to the pool adds earnedFraction of Ratio to the budget.
	earnedFraction = 0.9
	// The budgets of all nodes together hold at most burstFraction of Allowance and are refilled with refillFraction of
	// Allowance in each Window.
	burstFraction  = 0.7
	refillFraction = 0.15
)

// retryBudget is a node's part of the budget for retries and hedged requests to one pool. Each request that the node
// receives for the pool adds slightly less than Ratio. Most of the Allowance may be saved, and a small part of it is
// refilled over time; both are divided by the largest recent size of the fleet. It is safe for concurrent use.
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

// limits returns the most that this node may save, and its fair share of what the fleet may save. In a large fleet
// the fair share is less than one attempt.
func (b *retryBudget) limits(now clock.Micros, nodes int) (burst, fairShare int64) {
	return b.Limits(now, tokenbucket.Amount(burstFraction*b.config.Allowance/float64(max(1, nodes))))
}

// replenish credits the budget for one request to the pool. If the fair share is less than one attempt and a whole
// attempt is saved, the attempt is removed with a probability of 1 minus the fair share. Without this, the attempts
// that the nodes of a very large fleet have saved would together exceed the allowance.
func (b *retryBudget) replenish(now clock.Micros, nodes int, rnd *random.Source) {
	burst, fairShare := b.limits(now, nodes)
	earned := tokenbucket.Amount(earnedFraction * b.config.Ratio)
	if fairShare < tokenbucket.One && b.Balance() >= tokenbucket.One && int64(rnd.IntN(tokenbucket.One)) >= fairShare {
		b.Take(tokenbucket.One, tokenbucket.One, burst)
	}
	b.Add(earned, burst+earned)
}

// withdraw takes one retry or hedged request from the budget and reports whether the budget sufficed.
func (b *retryBudget) withdraw(now clock.Micros, nodes int) bool {
	burst, fairShare := b.limits(now, nodes)
	if fairShare >= tokenbucket.One {
		perSecond := refillFraction * b.config.Allowance * float64(clock.Second) / float64(b.config.Window) / float64(max(1, nodes))
		b.Refill(now, tokenbucket.Amount(perSecond), burst)
	}
	return b.Take(tokenbucket.One, tokenbucket.One, burst)
}

// withdrawRetry takes one retry or hedged request from the pool's budget, counts it as allowed or denied, and reports
// whether it is allowed.
func (d *Dispatcher) withdrawRetry(p *pool, now clock.Micros, nodes int) bool {
	if p.retryBudget.withdraw(now, nodes) {
		d.count.retries.Add(1)
		return true
	}
	d.count.retriesDenied.Add(1)
	return false
}
