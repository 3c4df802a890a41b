// Limits: each index has a gate per kind and one for what of the pool is not booked. A kind
// inside its share or its booked slice is let in whatever the others do; above
// it, what the others leave unused may be taken, up to the kind's ceiling.
// A limit is the fleet's: this node's part of it is its part of what the fleet is
// asked. Sums of parts are one, so that a fleet asked for more than the limit lets
// in the limit. What a node has saved, up to its equal part, is for callers who move
// to it before the others know.

package search

import (
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
)

// burst is how much, in seconds of its rate, a gate may save.
const burst = 2

// full, as the moment of the last filling, lets a gate begin with all that it may save.
const full = -60_000_000

// gate is one limit's part of this node.
type gate struct{ tokenbucket.Bucket }

// pass takes one place of a limit of which this node has a part, in a fleet of so
// many nodes; force takes it anyway and lets the gate owe as much as it may save.
func (g *gate) pass(now int64, limit float64, m *loadreport.Meter, nodes int, force bool) bool {
	part := m.LocalLimit(limit, nodes)
	most := max(tokenbucket.One, int64(burst*tokenbucket.One*max(part, limit/float64(max(1, nodes)))))
	g.Refill(now, int64(tokenbucket.One*part), most)
	if force {
		return g.Take(tokenbucket.One, tokenbucket.One-most, most)
	}
	return limit > 0 && g.Take(tokenbucket.One, tokenbucket.One, most)
}

type gates struct {
	free  gate
	kinds map[string]*kindGates
}

type kindGates struct{ booked, share, ceiling gate }

func (d *Desk) gatesOf(index string) *gates {
	if v, ok := d.gates.Load(index); ok {
		return v.(*gates)
	}
	g := &gates{kinds: map[string]*kindGates{}}
	for _, k := range []string{Search, Read, Correct, Part} {
		g.kinds[k] = &kindGates{}
		for _, one := range []*gate{&g.kinds[k].booked, &g.kinds[k].share, &g.kinds[k].ceiling} {
			one.Filled.Store(full)
		}
	}
	g.free.Filled.Store(full)
	v, _ := d.gates.LoadOrStore(index, g)
	return v.(*gates)
}

// letIn decides whether an inquiry is inside the limits, and says why.
func (d *Desk) letIn(cp *snapshot.Snapshot, x *snapshot.Index, kind string, now int64) (bool, string) {
	m, all := d.Usage.Meter(x.Name, kind), d.Usage.Meter(x.Name, "")
	m.Inc()
	all.Inc()
	l := x.Limits[kind]
	g := d.gatesOf(x.Name)
	k := g.kinds[kind]
	m.SetLimits(l.RateLimit, l.Share+l.Reserved)
	all.SetLimits(x.Capacity, 0)
	if l.RateLimit > 0 && !k.ceiling.pass(now, l.RateLimit, m, cp.Peers, false) {
		return false, "ceiling"
	}
	if l.Reserved > 0 && k.booked.pass(now, l.Reserved, m, cp.Peers, false) {
		return true, "booked slice"
	}
	// What is booked is kept for its kind, used or not; the rest is shared out.
	free := x.Capacity
	for _, o := range x.Limits {
		free -= o.Reserved
	}
	if k.share.pass(now, l.Share, m, cp.Peers, false) {
		g.free.pass(now, free, all, cp.Peers, true)
		return true, "share"
	}
	if g.free.pass(now, free, all, cp.Peers, false) {
		return true, "left by others"
	}
	return false, "pool"
}
