// The budget of repeated tries: in any ten seconds a pool's nodes together may
// add a fifth of its traffic and about sixty. The fifth splits by itself, each
// node earning from its own first tries; the sixty is divided by the greatest
// fleet seen of late, and is not given to a node that has just started.
package inquiry

import (
	"sync/atomic"

	"wallport/table"
)

// Figures of the budget.
const (
	BudgetFlat  = 60
	BudgetShare = 5
	slots       = 12
	settleFor   = 10_000_000
)

type slot struct {
	second atomic.Int64
	firsts atomic.Int64
	extras atomic.Int64
}

// Budget counts a pool's tries by the second.
type Budget struct{ ring [slots]slot }

func (d *Desk) budgetOf(index string) *Budget {
	if v, ok := d.budgets.Load(index); ok {
		return v.(*Budget)
	}
	v, _ := d.budgets.LoadOrStore(index, new(Budget))
	return v.(*Budget)
}

func (b *Budget) slot(now int64) *slot {
	sec := now / 1_000_000
	s := &b.ring[sec%slots]
	for {
		was := s.second.Load()
		if was == sec {
			return s
		}
		if s.second.CompareAndSwap(was, sec) {
			s.firsts.Store(0)
			s.extras.Store(0)
			return s
		}
	}
}

// first counts a first try.
func (b *Budget) first(now int64) { b.slot(now).firsts.Add(1) }

// take asks for one repeated try. Extras are summed over eleven seconds and
// first tries over nine, for a second's slot may lie on either side of any
// window: so no ten seconds can exceed the allowance.
func (b *Budget) take(now int64, flat int64) bool {
	cur := b.slot(now)
	sec := now / 1_000_000
	var firsts, extras int64
	for i := range b.ring {
		s := &b.ring[i]
		age := sec - s.second.Load()
		if age >= 0 && age < 9 {
			firsts += s.firsts.Load()
		}
		if age >= 0 && age <= 10 {
			extras += s.extras.Load()
		}
	}
	if extras+1 > firsts/BudgetShare+flat {
		return false
	}
	cur.extras.Add(1)
	return true
}

// extra asks the pool's budget for one repeated try of this node.
func (d *Desk) extra(cp *table.Checkpoint, index string, now int64) bool {
	flat := int64(0)
	if now-d.Began > settleFor {
		flat = BudgetFlat / int64(cp.Divisor)
	}
	if d.budgetOf(index).take(now, flat) {
		d.Counts.Add("extra_tries", 1)
		return true
	}
	d.Counts.Add("extra_tries_denied", 1)
	return false
}
