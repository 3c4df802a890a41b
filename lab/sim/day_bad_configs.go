// Invalid configurations, each with one defect. They must be rejected.

package sim

import (
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/lab/rules"
)

// configDefects lists the platform's names of the defects that an invalid configuration can have.
var configDefects = []string{
	"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key",
}

// sendInvalid sends step.count invalid configurations, each with the defect that the step names or with a random
// one.
func (c *commands) sendInvalid(step *dayStep) {
	for i := range max(1, step.count) {
		c.day.sim.after(int64(i)*step.gapUs, func() {
			defect := configDefects[c.day.sim.rng.IntN(len(configDefects))]
			for _, candidate := range configDefects {
				if step.has(candidate) {
					defect = candidate
				}
			}
			c.enqueue(func() { c.putInvalid(defect) })
		})
	}
}

func (c *commands) putInvalid(defect string) {
	d, base := c.day, c.base
	df := draft{routes: []*routingpb.Route{c.invalidRoute(defect)}, invalid: true}
	switch defect {
	case "cut_short":
		df.truncated = true
	case "old_version":
		df.number = max(1, base.Revision-1)
	case "same_version":
		df.number = base.Revision
	case "shared_key":
		// Two routes have the same name.
		df.complete = true
		duplicate := proto.Clone(df.routes[0]).(*routingpb.Route)
		duplicate.Prefix = prefixOf("twin")
		base = &rules.Version{Revision: base.Revision, Table: proto.Clone(base.Table).(*routingpb.RoutingTable)}
		base.Table.Routes = append(base.Table.Routes, duplicate)
	case "stale_match":
		// The change itself is valid, but it is based on an older version than the one in force, or on a version that
		// does not exist.
		df.invalid = false
		if len(c.accepted) > 1 {
			base = c.accepted[len(c.accepted)-2].version
		} else {
			base = &rules.Version{Revision: base.Revision - 1, Table: base.Table}
		}
	}
	d.sim.Checker.Count("way.bad_config."+defect, 1)
	c.put(base, df, false, c.runNext)
}

// invalidRoute returns a changed route with the named defect.
func (c *commands) invalidRoute(defect string) *routingpb.Route {
	table := c.base.Table
	r := c.edited(table, table.Routes[c.day.sim.rng.IntN(len(table.Routes))])
	switch defect {
	case "unknown_service":
		r.Pool, r.PoolWeights, r.FanoutPools = "nowhere", nil, nil
	case "same_place":
		r.Name = "same-place"
	case "no_weight":
		r.Pool, r.FanoutPools, r.PoolWeights = "", nil, nil
		for _, p := range c.day.unshardedPools() {
			r.PoolWeights = append(r.PoolWeights, &routingpb.PoolWeight{Pool: p})
		}
	case "no_timeout":
		r.TimeoutUs = 0
	default:
		r.TimeoutUs = r.TimeoutUs*9/10 + 1
	}
	return r
}
