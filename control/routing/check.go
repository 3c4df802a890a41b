// Checking a routing table as a whole: every finding at once, each with its
// place. What the table leaves out is not held against it.

package routing

import (
	"fmt"
	"math"
	"strings"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

type checker struct {
	found []wire.Finding
	pools map[string]bool
}

// Check lists what makes a routing table invalid; none means that it may come into force.
func Check(t *routingpb.RoutingTable) []wire.Finding {
	c := &checker{pools: map[string]bool{}}
	for i, p := range t.Pools {
		c.pool(location("pools", i, p.Name), p)
	}
	names, at := map[string]bool{}, map[string]string{}
	for i, r := range t.Routes {
		where := location("routes", i, r.Name)
		c.failIf(where, names[r.Name] && r.Name != "", "a route of that name is there already")
		names[r.Name] = true
		key := strings.ToLower(r.Host) + r.Prefix
		c.failIf(where, at[key] != "", "has the host and prefix of "+at[key])
		at[key] = where
		c.route(where, r)
	}
	if l := t.Limits; l != nil {
		c.failIf("limits", min(l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeoutUs, l.IdleTimeoutUs) < 0, "a limit is negative")
	}
	return c.found
}

func location(list string, i int, name string) string { return fmt.Sprintf("%s[%d] %s", list, i, name) }

func (c *checker) failIf(where string, bad bool, text string) {
	if bad {
		c.found = append(c.found, wire.Finding{Path: where, Text: text})
	}
}

func (c *checker) pool(where string, p *routingpb.Pool) {
	c.failIf(where, p.Name == "", "has no name")
	c.failIf(where, c.pools[p.Name] && p.Name != "", "a pool of that name is there already")
	c.pools[p.Name] = true
	c.failIf(where, p.MaxConnections < 0, "max_connections is negative")
	c.failIf(where, p.SlowStartUs < 0, "slow start is negative")
	c.failIf(where, !(p.RampPerS >= 0) || math.IsInf(p.RampPerS, 1), "ramp_per_s is not a number of 0 or more")
}

func (c *checker) route(where string, r *routingpb.Route) {
	c.failIf(where, r.Name == "", "has no name")
	c.failIf(where, r.Host == "", "has no host")
	c.failIf(where, !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"), "the prefix must begin and end with a slash")
	c.failIf(where, r.TimeoutUs <= 0, "the timeout must be above 0")
	c.failIf(where, r.TargetLatencyUs < 0, "the target latency is negative")
	c.failIf(where, r.MaxBackends < 0, "the number of backends is negative")
	c.failIf(where, r.ResultLimit < 0, "the result limit is negative")
	c.failIf(where, r.Priority < 0, "the priority is negative")
	c.failIf(where, !(r.MinCoverage >= 0 && r.MinCoverage <= 1), "min_coverage must lie in 0 to 1")
	ways := 0
	for _, set := range []bool{r.Pool != "", len(r.PoolWeights) > 0, len(r.FanoutPools) > 0} {
		if set {
			ways++
		}
	}
	c.failIf(where, ways == 0, "names no pool")
	c.failIf(where, ways > 1, "must have only one of pool, pool_weights and fanout_pools")
	c.failIf(where, len(r.FanoutPools) > 0 && !r.Repeatable, "gathered requests must be repeatable")
	if r.Pool != "" {
		c.requirePool(where, r.Pool)
	}
	for _, p := range r.FanoutPools {
		c.requirePool(where, p)
	}
	total, negative := 0.0, false
	for _, w := range r.PoolWeights {
		c.requirePool(where, w.Pool)
		total += w.Weight
		negative = negative || !(w.Weight >= 0) || math.IsInf(w.Weight, 1)
	}
	c.failIf(where, negative, "a weight is not a number of 0 or more")
	c.failIf(where, len(r.PoolWeights) > 0 && !negative && total <= 0, "the weights add up to 0")
}

func (c *checker) requirePool(where, pool string) {
	c.failIf(where, !c.pools[pool], "no such pool: "+pool)
}
