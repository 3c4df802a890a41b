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

// burstSeconds is how much, in seconds of its rate, a gate may save.
const burstSeconds = 2

// full, as the moment of the last filling, lets a gate begin with all that it may save.
const filledAtStart = -60_000_000

// limiter is one limit's part of this node.
type limiter struct{ tokenbucket.Bucket }

// allow takes one place of a limit of which this node has a part, in a fleet of so
// many nodes; force takes it anyway and lets the gate owe as much as it may save.
func (g *limiter) allow(now int64, limit float64, m *loadreport.Meter, nodes int, force bool) bool {
	part := m.LocalLimit(limit, nodes)
	most := max(tokenbucket.One, int64(burstSeconds*tokenbucket.One*max(part, limit/float64(max(1, nodes)))))
	g.Refill(now, int64(tokenbucket.One*part), most)
	if force {
		return g.Take(tokenbucket.One, tokenbucket.One-most, most)
	}
	return limit > 0 && g.Take(tokenbucket.One, tokenbucket.One, most)
}

type indexLimiters struct {
	unreserved limiter
	kinds      map[string]*kindLimiters
}

type kindLimiters struct{ reserved, quota, rate limiter }

func (d *Dispatcher) limitersOf(index string) *indexLimiters {
	if v, ok := d.limiters.Load(index); ok {
		return v.(*indexLimiters)
	}
	g := &indexLimiters{kinds: map[string]*kindLimiters{}}
	for _, k := range []string{KindSearch, KindRead, KindCorrect, KindPart} {
		g.kinds[k] = &kindLimiters{}
		for _, one := range []*limiter{&g.kinds[k].reserved, &g.kinds[k].quota, &g.kinds[k].rate} {
			one.RefilledAt.Store(filledAtStart)
		}
	}
	g.unreserved.RefilledAt.Store(filledAtStart)
	v, _ := d.limiters.LoadOrStore(index, g)
	return v.(*indexLimiters)
}

// withinLimits decides whether an inquiry is inside the limits, and says why.
func (d *Dispatcher) withinLimits(snap *snapshot.Snapshot, x *snapshot.Index, kind string, now int64) (bool, string) {
	m, all := d.LoadReport.Meter(x.Name, kind), d.LoadReport.Meter(x.Name, "")
	m.Inc()
	all.Inc()
	l := x.Limits[kind]
	g := d.limitersOf(x.Name)
	k := g.kinds[kind]
	m.SetLimits(l.RateLimit, l.Share+l.Reserved)
	all.SetLimits(x.Capacity, 0)
	if l.RateLimit > 0 && !k.rate.allow(now, l.RateLimit, m, snap.Peers, false) {
		return false, "ceiling"
	}
	if l.Reserved > 0 && k.reserved.allow(now, l.Reserved, m, snap.Peers, false) {
		return true, "booked slice"
	}
	// What is booked is kept for its kind, used or not; the rest is shared out.
	free := x.Capacity
	for _, o := range x.Limits {
		free -= o.Reserved
	}
	if k.quota.allow(now, l.Share, m, snap.Peers, false) {
		g.unreserved.allow(now, free, all, snap.Peers, true)
		return true, "share"
	}
	if g.unreserved.allow(now, free, all, snap.Peers, false) {
		return true, "left by others"
	}
	return false, "pool"
}
