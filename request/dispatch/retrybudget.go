// The budget of extra asks: in any window all nodes together may add Ratio of a
// pool's requests and Allowance. Each node earns a little less than Ratio from
// its own requests as they come. Of the allowance most may be saved up and some
// comes with time, both divided by the greatest fleet seen of late. A node that
// has just started cannot know how large the fleet is and has but what it earns.

package dispatch

import (
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/random"
)

// Shares of the budget that are used, the rest being kept for what nodes cannot see.
const (
	earnedFraction = 0.9
	burstFraction  = 0.7
	refillFraction = 0.15
	startupBurst   = 2 * tokenbucket.One
	startupPeriod  = 10_000_000
)

type retryBudget struct{ tokenbucket.Bucket }

func (d *Dispatcher) retryBudgetOf(name string) *retryBudget {
	if v, ok := d.retryBudgets.Load(name); ok {
		return v.(*retryBudget)
	}
	b := new(retryBudget)
	b.RefilledAt.Store(d.cfg.StartedAt + startupPeriod)
	v, _ := d.retryBudgets.LoadOrStore(name, b)
	return v.(*retryBudget)
}

// retryBurst is how much this node may save, and its fair part where that is less than a whole ask.
func (d *Dispatcher) retryBurst(snap *snapshot.Snapshot, now int64) (most, part int64) {
	part = int64(burstFraction * d.cfg.Retry.Allowance * tokenbucket.One / float64(max(1, snap.Divisor)))
	if now-d.cfg.StartedAt < startupPeriod {
		return startupBurst, startupBurst
	}
	return max(tokenbucket.One, part), part
}

// replenishRetryBudget notes a request for the pool, the first ask of which is not extra. Where the fair part
// is less than a whole ask, a whole one that is not used soon is lost by the chance of what it is
// too much.
func (d *Dispatcher) replenishRetryBudget(p *pool, snap *snapshot.Snapshot, now int64, rnd *random.Source) {
	most, part := d.retryBurst(snap, now)
	gain := int64(earnedFraction * d.cfg.Retry.Ratio * tokenbucket.One)
	if part < tokenbucket.One && p.retryBudget.Balance() >= tokenbucket.One && int64(rnd.IntN(tokenbucket.One)) >= part {
		p.retryBudget.Take(tokenbucket.One, tokenbucket.One, most)
	}
	p.retryBudget.Add(gain, most+gain)
}

// takeRetry asks for one extra ask of this node.
func (d *Dispatcher) takeRetry(p *pool, snap *snapshot.Snapshot, now int64) bool {
	most, part := d.retryBurst(snap, now)
	each := refillFraction * d.cfg.Retry.Allowance * tokenbucket.One * 1e6 / float64(d.cfg.Retry.Window) / float64(max(1, snap.Divisor))
	if part >= tokenbucket.One {
		p.retryBudget.Refill(now, int64(each), most)
	}
	if p.retryBudget.Take(tokenbucket.One, tokenbucket.One, most) {
		d.count.retries.Add(1)
		return true
	}
	d.count.retriesDenied.Add(1)
	return false
}
