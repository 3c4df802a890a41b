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
	earnShare   = 0.9
	savedShare  = 0.7
	trickShare  = 0.15
	savedFirst  = 2 * tokenbucket.One
	settleAfter = 10_000_000
)

type budget struct{ tokenbucket.Bucket }

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
func (d *Desk) bound(cp *snapshot.Snapshot, now int64) (most, part int64) {
	part = int64(savedShare * d.cfg.Retry.Allowance * tokenbucket.One / float64(max(1, cp.Divisor)))
	if now-d.cfg.Now < settleAfter {
		return savedFirst, savedFirst
	}
	return max(tokenbucket.One, part), part
}

// earn notes a request for the pool, the first ask of which is not extra. Where the fair part
// is less than a whole ask, a whole one that is not used soon is lost by the chance of what it is
// too much.
func (d *Desk) earn(p *pool, cp *snapshot.Snapshot, now int64, rnd *random.Source) {
	most, part := d.bound(cp, now)
	gain := int64(earnShare * d.cfg.Retry.Ratio * tokenbucket.One)
	if part < tokenbucket.One && p.budget.Saved() >= tokenbucket.One && int64(rnd.N(tokenbucket.One)) >= part {
		p.budget.Take(tokenbucket.One, tokenbucket.One, most)
	}
	p.budget.Add(gain, most+gain)
}

// extra asks for one extra ask of this node.
func (d *Desk) extra(p *pool, cp *snapshot.Snapshot, now int64) bool {
	most, part := d.bound(cp, now)
	each := trickShare * d.cfg.Retry.Allowance * tokenbucket.One * 1e6 / float64(d.cfg.Retry.WindowUs) / float64(max(1, cp.Divisor))
	if part >= tokenbucket.One {
		p.budget.Refill(now, int64(each), most)
	}
	if p.budget.Take(tokenbucket.One, tokenbucket.One, most) {
		d.count.extra.Add(1)
		return true
	}
	d.count.extraDenied.Add(1)
	return false
}
