// The changes that operators make: idle routes, pools and weights of routes, pools that a list names twice, numbers at
// their greatest and least value, time-outs, the set of shards of an index, and changes that must be rejected.

package sim

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// draft returns a random change of the newest acknowledged version; how selects its kind.
func (c *commands) draft(how string) draft {
	d, table := c.day, c.base.Table
	rnd := d.sim.rng
	switch how {
	case "route", "weights":
		return draft{routes: []*routingpb.Route{c.reroute(table, how == "weights")}}
	case "timeout":
		r := c.edited(table, table.Routes[rnd.IntN(len(table.Routes))])
		r.TimeoutUs = r.TimeoutUs*9/10 + rnd.Int64N(r.TimeoutUs/5+1)
		return draft{routes: []*routingpb.Route{r}}
	case "twice":
		return draft{routes: []*routingpb.Route{c.nameTwice(table)}}
	case "extreme":
		return draft{routes: []*routingpb.Route{c.extremeRoute(table)}, pools: []*routingpb.Pool{c.extremePool(table)}}
	case "invalid":
		r := c.edited(table, table.Routes[rnd.IntN(len(table.Routes))])
		switch rnd.IntN(3) {
		case 0:
			r.Pool, r.PoolWeights, r.FanoutPools = "nowhere", nil, nil
		case 1:
			r.TimeoutUs = 0
		default:
			r.Name = "twin"
		}
		return draft{routes: []*routingpb.Route{r}, invalid: true}
	}
	return c.idleDraft(table)
}

func (c *commands) edited(base *routingpb.RoutingTable, r *routingpb.Route) *routingpb.Route {
	changed := proto.Clone(r).(*routingpb.Route)
	changed.Source = fmt.Appendf(nil, "%s after %d, %d", r.Name, base.Revision, c.day.sim.rng.Int64N(1000))
	return changed
}

// reroute moves a random unsharded route to another pool, or splits it by weights over all unsharded pools.
func (c *commands) reroute(base *routingpb.RoutingTable, split bool) *routingpb.Route {
	var candidates []*routingpb.Route
	for _, r := range base.Routes {
		if len(r.FanoutPools) == 0 {
			candidates = append(candidates, r)
		}
	}
	rnd, pools := c.day.sim.rng, c.day.unshardedPools()
	r := c.edited(base, candidates[rnd.IntN(len(candidates))])
	if split {
		r.Pool, r.PoolWeights = "", nil
		for _, p := range pools {
			r.PoolWeights = append(r.PoolWeights, &routingpb.PoolWeight{Pool: p, Weight: float64(1 + rnd.IntN(4))})
		}
		return r
	}
	previous := r.Pool
	r.PoolWeights, r.Pool = nil, pools[rnd.IntN(len(pools))]
	for len(pools) > 1 && r.Pool == previous {
		r.Pool = pools[rnd.IntN(len(pools))]
	}
	return r
}

// nameTwice returns a random route of those with a list of pools, with one of its pools named again at a random place
// of the list. What the route means does not change, or only the share of the pool.
func (c *commands) nameTwice(base *routingpb.RoutingTable) *routingpb.Route {
	var candidates []*routingpb.Route
	for _, r := range base.Routes {
		if len(r.FanoutPools)+len(r.PoolWeights) > 0 {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return c.reroute(base, true)
	}
	rnd := c.day.sim.rng
	r := c.edited(base, candidates[rnd.IntN(len(candidates))])
	if n := len(r.FanoutPools); n > 0 {
		r.FanoutPools = slices.Insert(r.FanoutPools, rnd.IntN(n+1), r.FanoutPools[rnd.IntN(n)])
		return r
	}
	again := proto.Clone(r.PoolWeights[rnd.IntN(len(r.PoolWeights))]).(*routingpb.PoolWeight)
	r.PoolWeights = slices.Insert(r.PoolWeights, rnd.IntN(len(r.PoolWeights)+1), again)
	return r
}

// extremeRoute returns a random served route with one of its numbers at its greatest or least value. Requests of the route can
// still be served.
func (c *commands) extremeRoute(base *routingpb.RoutingTable) *routingpb.Route {
	rnd := c.day.sim.rng
	r := c.edited(base, base.Routes[rnd.IntN(len(c.day.site.kinds))])
	greatest := rnd.IntN(2) == 0
	switch rnd.IntN(6) {
	case 0:
		r.TargetLatencyUs = pick(greatest, extremeTime, 1)
	case 1:
		r.TimeoutUs = extremeTime
	case 2:
		r.Priority = pick(greatest, int32(extremeCount), 0)
	case 3:
		r.MaxBackends = pick(greatest, proto.Int32(extremeCount), nil)
	case 4:
		r.ResultLimit = pick(greatest, int32(extremeCount), 0)
	default:
		r.MinCoverage = pick(greatest, 1.0, 0)
	}
	return r
}

// extremePool returns a random pool with one of its numbers at its greatest or least value. A rate that limits requests
// is left as it is, since the site's rate is the one that the rules check.
func (c *commands) extremePool(base *routingpb.RoutingTable) *routingpb.Pool {
	rnd := c.day.sim.rng
	p := proto.Clone(base.Pools[rnd.IntN(len(base.Pools))]).(*routingpb.Pool)
	p.Source = fmt.Appendf(nil, "%s after %d, %d", p.Name, base.Revision, rnd.Int64N(1000))
	greatest := rnd.IntN(2) == 0
	switch rnd.IntN(3) {
	case 0:
		p.MaxConnections = pick(greatest, int64(extremeCount), 0)
	case 1:
		p.SlowStartUs = pick(greatest, extremeTime, 0)
	default:
		if p.RampPerS == 0 {
			p.RampPerS = pick(greatest, math.MaxFloat64, 6e6)
		}
	}
	return p
}

// The greatest time and the greatest count of a configuration.
const (
	extremeTime  = 1_000_000_000 * clock.Millisecond
	extremeCount = 1_000_000_000
)

func pick[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// idleDraft returns a change that adds or removes an idle route, or moves one to another pool.
func (c *commands) idleDraft(base *routingpb.RoutingTable) draft {
	var idle []*routingpb.Route
	for _, r := range base.Routes {
		if strings.HasPrefix(r.Name, "idle-") {
			idle = append(idle, r)
		}
	}
	rnd := c.day.sim.rng
	switch pick := rnd.IntN(3); {
	case len(idle) == 0 || len(idle) < maxIdleRoutes && pick == 0:
		return draft{routes: []*routingpb.Route{c.newIdleRoute()}}
	case pick == 1:
		return draft{withdraw: []string{idle[rnd.IntN(len(idle))].Name}}
	default:
		r := c.edited(base, idle[rnd.IntN(len(idle))])
		pools := c.day.unshardedPools()
		for r.Pool, r.PoolWeights = "", nil; r.Pool == "" || len(pools) > 1 && r.Pool == routeNamed(base, r.Name).Pool; {
			r.Pool = pools[rnd.IntN(len(pools))]
		}
		return draft{routes: []*routingpb.Route{r}}
	}
}

func routeNamed(t *routingpb.RoutingTable, name string) *routingpb.Route {
	for _, r := range t.Routes {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// reshard starts the backends of the next set of shards and, after a delay, sends a configuration that routes to
// them. The old backends drain once this configuration must be in force on all nodes.
func (d *day) reshard(after int64) {
	c := &d.commands
	for i := range d.site.pools {
		p := &d.site.pools[i]
		if p.shards > 0 && !p.afterReshard {
			next := &d.site.pools[i+1]
			d.backends.startPool(next)
			d.backends.publish()
			d.sim.after(after, func() { c.enqueue(func() { c.reshardDraft(p, next) }) })
		}
	}
}

func (c *commands) reshardDraft(old, next *poolShape) {
	d := c.day
	var df draft
	for _, r := range c.base.Table.Routes {
		if len(r.FanoutPools) > 0 && strings.HasPrefix(r.FanoutPools[0], old.name+"-") {
			changed := c.edited(c.base.Table, r)
			changed.FanoutPools = next.poolNames()
			df.routes = append(df.routes, changed)
		}
	}
	c.put(c.base, df, true, func() {
		d.sim.after(d.journal.Bounds.ApplyUs, func() {
			for _, inc := range d.backends.of(old.name) {
				inc.drain()
			}
		})
		c.runNext()
	})
}
