// Configurations that must be refused, each for one reason.

package sim

import (
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/lab/rules"
)

// badWays are the ways in which a configuration is no good, as the platform names them.
var badWays = []string{
	"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key",
}

// bad sends configurations that are no good, each way in turn or the one that is asked for.
func (o *orders) bad(e *entry) {
	for i := range max(1, e.count) {
		o.d.w.after(int64(i)*e.gapUs, func() {
			way := badWays[o.d.w.rnd.IntN(len(badWays))]
			for _, w := range badWays {
				if e.is(w) {
					way = w
				}
			}
			o.enqueue(func() { o.putBad(way) })
		})
	}
}

func (o *orders) putBad(way string) {
	d, base := o.d, o.base
	df := draft{routes: []*routingpb.Route{o.badRoute(way)}, invalid: true}
	switch way {
	case "cut_short":
		df.cutShort = true
	case "old_version":
		df.number = max(1, base.Revision-1)
	case "same_version":
		df.number = base.Revision
	case "shared_key":
		// Two items of one list bear one name.
		df.whole = true
		twin := proto.Clone(df.routes[0]).(*routingpb.Route)
		twin.Prefix = prefixOf("twin")
		base = &rules.Version{Revision: base.Revision, Table: proto.Clone(base.Table).(*routingpb.RoutingTable)}
		base.Table.Routes = append(base.Table.Routes, twin)
	case "stale_match":
		// It would be valid, but for the version that it builds on.
		df.invalid = false
		if len(o.taken) > 1 {
			base = o.taken[len(o.taken)-2].v
		} else {
			base = &rules.Version{Revision: base.Revision - 1, Table: base.Table}
		}
	}
	d.w.Judge.Count("way.bad_config."+way, 1)
	o.put(base, df, false, o.turn)
}

// badRoute is a changed route with the fault in it that a way names.
func (o *orders) badRoute(way string) *routingpb.Route {
	now := o.base.Table
	r := o.edited(now, now.Routes[o.d.w.rnd.IntN(len(now.Routes))])
	switch way {
	case "unknown_service":
		r.Pool, r.PoolWeights, r.FanoutPools = "nowhere", nil, nil
	case "same_place":
		r.Name = "same-place"
	case "no_weight":
		r.Pool, r.FanoutPools, r.PoolWeights = "", nil, nil
		for _, p := range o.d.singles() {
			r.PoolWeights = append(r.PoolWeights, &routingpb.PoolWeight{Pool: p})
		}
	case "no_timeout":
		r.TimeoutUs = 0
	default:
		r.TimeoutUs = r.TimeoutUs*9/10 + 1
	}
	return r
}
