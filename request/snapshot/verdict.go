// The merged verdict on each server: a function of the fresh opinions of live
// observers, of the platform's word that it leaves, and of the sheet's emptied
// zones. One observer alone condemns a server for itself, never for the fleet.

package snapshot

import (
	"slices"

	"wallport/api/configpb"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type votes struct {
	all, lost, garbage, slow int
	own                      string
	incarnation              int64
	up                       int64
}

// votes counts the opinions of live observers on one server; nil where there is none.
func (b *Table) votes(server string, now int64) *votes {
	var v *votes
	for _, o := range b.opinions[server] {
		if !b.mesh.Live(o.origin, now) {
			continue
		}
		if v == nil {
			v = &votes{}
		}
		v.count(o, o.origin == b.mesh.Self())
	}
	return v
}

func (v *votes) count(o opinion, own bool) {
	if o.Incarnation > v.incarnation {
		// Opinions of an earlier incarnation say nothing of this one.
		*v = votes{incarnation: o.Incarnation, up: o.Up}
	} else if o.Incarnation < v.incarnation && o.Incarnation != 0 {
		return
	}
	v.all++
	switch o.State {
	case "lost":
		v.lost++
	case "garbage":
		v.garbage++
	case "slow":
		v.slow++
	}
	if own {
		v.own = o.State
	}
}

func (b *Table) judge(ctx *kernel.Context, c *Snapshot) []*Server {
	out := make([]*Server, 0, len(b.listing.Servers))
	for _, row := range b.listing.Servers {
		s := &Server{Server: row, Gauge: b.Gauges.Of(row.ID)}
		if v := b.votes(row.ID, ctx.Now); v != nil {
			s.Incarnation = max(s.Incarnation, v.incarnation)
			s.Verdict = v.verdict()
			b.bear(ctx, s, v.up)
		} else {
			b.bear(ctx, s, 0)
		}
		if left, ok := b.left[row.ID]; ok && (row.State == "leaving" || row.Incarnation <= left) {
			s.Verdict = Leaving
		} else if slices.Contains(c.Config.DrainedZones, row.Zone) {
			s.Verdict = Drained
		}
		out = append(out, s)
	}
	return out
}

// bear fixes when an incarnation began, on this process's clock.
func (b *Table) bear(ctx *kernel.Context, s *Server, up int64) {
	was, ok := b.births[s.ID]
	if !ok || was.incarnation < s.Incarnation {
		was = birth{s.Incarnation, ctx.Now - up}
		b.births[s.ID] = was
	}
	s.Born = was.born
}

func (v *votes) verdict() uint8 {
	most := func(n int) bool { return n >= 2 && 2*n >= v.all }
	switch {
	case most(v.garbage):
		return Garbage
	case most(v.lost + v.garbage):
		return Lost
	case v.own == "lost" || v.own == "garbage":
		return Doubt
	case most(v.slow):
		return Slow
	}
	return OK
}

func (b *Table) index(c *Snapshot, s *configpb.Service) *Index {
	x := &Index{Name: s.Index, Service: s, Limits: map[string]Limit{}, Capacity: float64(s.Capacity)}
	if v, ok := b.mesh.Partition(state.PartitionOf(s.Index)); ok {
		if body, err := state.ReadIndex(v.Body); err == nil {
			x.Cut = body.Cuts[s.Index]
		}
	}
	x.Cut = b.servable(c.Servers, s.Index, x.Cut)
	x.Shards = shards(c.Servers, s.Index, x.Cut.Name, x.Cut.Shards)
	x.NextShards = shards(c.Servers, s.Index, x.Cut.Next, x.Cut.NextShards)
	booked := 0.0
	for _, k := range c.Sheet.Bookings {
		if k.Index != s.Index || !slices.Contains(c.Config.Running, k.Id) {
			continue
		}
		l := x.Limits[k.Kind]
		l.Booked += x.Capacity * float64(k.Slice) / 100
		x.Limits[k.Kind] = l
		booked += x.Capacity * float64(k.Slice) / 100
	}
	for _, r := range c.Sheet.Rows {
		if r.Index == s.Index {
			l := x.Limits[r.Kind]
			l.Share = (x.Capacity - booked) * float64(r.Share) / 100
			l.Ceiling = float64(r.Ceiling)
			x.Limits[r.Kind] = l
		}
	}
	return x
}

// servable is the live cut, or the one before it for as long as this node knows of no
// server for some shard of the live one: the cut may come before the platform's list.
func (b *Table) servable(all []*Server, index string, live wire.LiveCut) wire.LiveCut {
	was := b.cuts[index]
	if was.Name == live.Name || was.Name == "" || whole(all, index, live) || !whole(all, index, was) {
		b.cuts[index] = live
		return live
	}
	return wire.LiveCut{Name: was.Name, Shards: was.Shards, Next: live.Name, NextShards: live.Shards}
}

// whole tells that each shard of a cut has a server that may be asked.
func whole(all []*Server, index string, cut wire.LiveCut) bool {
	for _, s := range shards(all, index, cut.Name, cut.Shards) {
		if !slices.ContainsFunc(s, func(v *Server) bool { return v.Verdict < Leaving }) {
			return false
		}
	}
	return cut.Shards > 0
}

func shards(all []*Server, index, cut string, n int) [][]*Server {
	out := make([][]*Server, n)
	for _, s := range all {
		if s.Index == index && s.Cut == cut && s.Shard >= 0 && s.Shard < n {
			out[s.Shard] = append(out[s.Shard], s)
		}
	}
	return out
}
