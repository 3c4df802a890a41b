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

type reportCounts struct {
	total, unreachable, corrupt, slow int
	local                             string
	incarnation                       int64
	uptime                            int64
}

// countReports counts the opinions of live observers on one server; nil where there is none.
func (table *Table) countReports(server string, now int64) *reportCounts {
	var v *reportCounts
	for _, o := range table.healthReports[server] {
		if !table.mesh.Live(o.origin, now) {
			continue
		}
		if v == nil {
			v = &reportCounts{}
		}
		v.add(o, o.origin == table.mesh.Self())
	}
	return v
}

func (v *reportCounts) add(o healthReport, own bool) {
	if o.Incarnation > v.incarnation {
		// Opinions of an earlier incarnation say nothing of this one.
		*v = reportCounts{incarnation: o.Incarnation, uptime: o.Uptime}
	} else if o.Incarnation < v.incarnation && o.Incarnation != 0 {
		return
	}
	v.total++
	switch o.State {
	case "lost":
		v.unreachable++
	case "garbage":
		v.corrupt++
	case "slow":
		v.slow++
	}
	if own {
		v.local = o.State
	}
}

func (table *Table) evaluateBackends(ctx *kernel.Context, snap *Snapshot) []*Backend {
	out := make([]*Backend, 0, len(table.listing.Backends))
	for _, row := range table.listing.Backends {
		s := &Backend{Backend: row, Gauge: table.Gauges.Of(row.ID)}
		if v := table.countReports(row.ID, ctx.Now); v != nil {
			s.Incarnation = max(s.Incarnation, v.incarnation)
			s.Health = v.healthState()
			table.setBorn(ctx, s, v.uptime)
		} else {
			table.setBorn(ctx, s, 0)
		}
		if left, ok := table.drainingIncarnation[row.ID]; ok && (row.State == "leaving" || row.Incarnation <= left) {
			s.Health = Draining
		} else if slices.Contains(snap.Config.DrainedZones, row.Zone) {
			s.Health = ZoneDrained
		}
		out = append(out, s)
	}
	return out
}

// setBorn fixes when an incarnation began, on this process's clock.
func (table *Table) setBorn(ctx *kernel.Context, s *Backend, up int64) {
	was, ok := table.births[s.ID]
	if !ok || was.incarnation < s.Incarnation {
		was = birth{s.Incarnation, ctx.Now - up}
		table.births[s.ID] = was
	}
	s.Born = was.born
}

func (v *reportCounts) healthState() uint8 {
	most := func(n int) bool { return n >= 2 && 2*n >= v.total }
	switch {
	case most(v.corrupt):
		return Corrupt
	case most(v.unreachable + v.corrupt):
		return Unreachable
	case v.local == "lost" || v.local == "garbage":
		return Suspect
	case most(v.slow):
		return Slow
	}
	return Healthy
}

func (table *Table) buildIndex(snap *Snapshot, s *configpb.Service) *Index {
	x := &Index{Name: s.Index, Service: s, Limits: map[string]Limit{}, Capacity: float64(s.Capacity)}
	if v, ok := table.mesh.Partition(state.PartitionOf(s.Index)); ok {
		if body, err := state.ReadIndex(v.Body); err == nil {
			x.ShardMap = body.ShardMaps[s.Index]
		}
	}
	x.ShardMap = table.servable(snap.Backends, s.Index, x.ShardMap)
	x.Shards = shards(snap.Backends, s.Index, x.ShardMap.Name, x.ShardMap.Shards)
	x.NextShards = shards(snap.Backends, s.Index, x.ShardMap.Next, x.ShardMap.NextShards)
	booked := 0.0
	for _, k := range snap.Configuration.Bookings {
		if k.Index != s.Index || !slices.Contains(snap.Config.ActiveBookings, k.Id) {
			continue
		}
		l := x.Limits[k.Kind]
		l.Reserved += x.Capacity * float64(k.Slice) / 100
		x.Limits[k.Kind] = l
		booked += x.Capacity * float64(k.Slice) / 100
	}
	for _, r := range snap.Configuration.Rows {
		if r.Index == s.Index {
			l := x.Limits[r.Kind]
			l.Share = (x.Capacity - booked) * float64(r.Share) / 100
			l.RateLimit = float64(r.Ceiling)
			x.Limits[r.Kind] = l
		}
	}
	return x
}

// servable is the live cut, or the one before it for as long as this node knows of no
// server for some shard of the live one: the cut may come before the platform's list.
func (table *Table) servable(all []*Backend, index string, live wire.ShardMap) wire.ShardMap {
	was := table.servedShardMaps[index]
	if was.Name == live.Name || was.Name == "" || complete(all, index, live) || !complete(all, index, was) {
		table.servedShardMaps[index] = live
		return live
	}
	return wire.ShardMap{Name: was.Name, Shards: was.Shards, Next: live.Name, NextShards: live.Shards}
}

// complete tells that each shard of a cut has a server that may be asked.
func complete(all []*Backend, index string, cut wire.ShardMap) bool {
	for _, s := range shards(all, index, cut.Name, cut.Shards) {
		if !slices.ContainsFunc(s, func(v *Backend) bool { return v.Health < Draining }) {
			return false
		}
	}
	return cut.Shards > 0
}

func shards(all []*Backend, index, cut string, n int) [][]*Backend {
	out := make([][]*Backend, n)
	for _, s := range all {
		if s.Index == index && s.ShardMap == cut && s.Shard >= 0 && s.Shard < n {
			out[s.Shard] = append(out[s.Shard], s)
		}
	}
	return out
}
