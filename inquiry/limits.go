// Limits: each index has a gate per kind and one for the whole pool. A kind
// inside its share or its booked slice is let in whatever the others do; above
// it, what the others leave unused may be taken, up to the kind's ceiling.
package inquiry

import (
	"sync/atomic"

	"wallport/table"
)

// burst is how far, in microseconds of its rate, a gate may run ahead.
const burst = 2_000_000

// gate is a rate limit in one atomic word: the time up to which it is used.
type gate struct{ used atomic.Int64 }

// pass takes one place at a rate a second, if the gate has one; force takes it anyway.
func (g *gate) pass(now int64, rate float64, force bool) bool {
	if rate <= 0 {
		return force
	}
	step := int64(1e6 / rate)
	for {
		used := g.used.Load()
		next := max(used, now) + step
		if next-now > burst+step && !force {
			return false
		}
		if force && next-now > 2*burst {
			// What is let in above the rate must not shut the gate for long.
			return true
		}
		if g.used.CompareAndSwap(used, next) {
			return true
		}
	}
}

type gates struct {
	pool  gate
	kinds map[string]*kindGates
}

type kindGates struct{ share, ceiling gate }

func (d *Desk) gatesOf(index string) *gates {
	if v, ok := d.gates.Load(index); ok {
		return v.(*gates)
	}
	g := &gates{kinds: map[string]*kindGates{}}
	for _, k := range []string{Search, Read, Correct, Part} {
		g.kinds[k] = &kindGates{}
	}
	v, _ := d.gates.LoadOrStore(index, g)
	return v.(*gates)
}

// letIn decides whether an inquiry is inside the limits, and says why.
func (d *Desk) letIn(cp *table.Checkpoint, x *table.Index, kind string, now int64) (bool, string) {
	m := d.Usage.Of(x.Name, kind)
	m.Came()
	f := m.Fraction(cp.Peers)
	l := x.Limits[kind]
	g := d.gatesOf(x.Name)
	k := g.kinds[kind]
	if l.Ceiling > 0 && !k.ceiling.pass(now, l.Ceiling*f, false) {
		return false, "ceiling"
	}
	if k.share.pass(now, (l.Share+l.Booked)*f, false) {
		g.pool.pass(now, x.Capacity*f, true)
		return true, "share"
	}
	free := x.Capacity
	for other, o := range x.Limits {
		if other != kind {
			free -= o.Booked
		}
	}
	if g.pool.pass(now, free*f, false) {
		return true, "left by others"
	}
	return false, "pool"
}
