// The budget of extra asks: in any window all nodes together may add Ratio of a
// pool's requests and Allowance. Each node earns a little less than Ratio from
// its own requests as they come. Of the allowance most may be saved up and some
// comes with time, both divided by the greatest fleet seen of late. A node that
// has just started cannot know how large the fleet is and has but what it earns.
package forward

import (
	"wallport/bucket"
	"wallport/runtime/random"
	"wallport/table"
)

// Shares of the budget that are used, the rest being kept for what nodes cannot see.
const (
	earnShare   = 0.9
	savedShare  = 0.7
	trickShare  = 0.15
	savedFirst  = 2 * bucket.One
	settleAfter = 10_000_000
)

type budget struct{ bucket.Bucket }

func (d *Desk) budgetOf(name string) *budget {
	if v, ok := d.budgets.Load(name); ok {
		return v.(*budget)
	}
	b := new(budget)
	b.Filled.Store(d.cfg.Now + settleAfter)
	v, _ := d.budgets.LoadOrStore(name, b)
	return v.(*budget)
}

// bound is how much this node may save, and its fair part where that is less than a whole ask.
func (d *Desk) bound(cp *table.Snapshot, now int64) (most, part int64) {
	part = int64(savedShare * d.cfg.Retry.Allowance * bucket.One / float64(max(1, cp.Divisor)))
	if now-d.cfg.Now < settleAfter {
		return savedFirst, savedFirst
	}
	return max(bucket.One, part), part
}

// earn notes a request for the pool, the first ask of which is not extra. Where the fair part
// is less than a whole ask, a whole one that is not used soon is lost by the chance of what it is
// too much.
func (d *Desk) earn(p *pool, cp *table.Snapshot, now int64, rnd *random.Source) {
	most, part := d.bound(cp, now)
	gain := int64(earnShare * d.cfg.Retry.Ratio * bucket.One)
	if part < bucket.One && p.budget.Saved() >= bucket.One && int64(rnd.N(bucket.One)) >= part {
		p.budget.Take(bucket.One, bucket.One, most)
	}
	p.budget.Add(gain, most+gain)
}

// extra asks for one extra ask of this node.
func (d *Desk) extra(p *pool, cp *table.Snapshot, now int64) bool {
	most, part := d.bound(cp, now)
	each := trickShare * d.cfg.Retry.Allowance * bucket.One * 1e6 / float64(d.cfg.Retry.WindowUs) / float64(max(1, cp.Divisor))
	if part >= bucket.One {
		p.budget.Refill(now, int64(each), most)
	}
	if p.budget.Take(bucket.One, bucket.One, most) {
		d.count.extra.Add(1)
		return true
	}
	d.count.extraDenied.Add(1)
	return false
}
