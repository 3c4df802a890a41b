package routing

import (
	"fmt"
	"math"
	"strings"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

// checker collects the findings of one table.
type checker struct {
	found []wire.Finding
	// pools are the names of the table's pools.
	pools map[string]bool
}

// Check returns a finding, with its path, for every error in a routing table. A table without findings may be put
// in force. Unset fields are reported only if they are required.
func Check(table *routingpb.RoutingTable) []wire.Finding {
	c := &checker{pools: map[string]bool{}}
	for i, pool := range table.Pools {
		c.checkPool(itemPath("pools", i, pool.Name), pool)
	}
	c.checkRoutes(table.Routes)
	if l := table.Limits; l != nil {
		c.failIf("limits", min(l.MaxHeaderBytes, l.MaxBodyBytes, l.HeaderTimeoutUs, l.IdleTimeoutUs) < 0, "a limit is negative")
	}
	return c.found
}

func itemPath(list string, i int, name string) string { return fmt.Sprintf("%s[%d] %s", list, i, name) }

// failIf adds a finding if the condition is true.
func (c *checker) failIf(path string, condition bool, text string) {
	if condition {
		c.found = append(c.found, wire.Finding{Path: path, Text: text})
	}
}

func (c *checker) checkPool(path string, pool *routingpb.Pool) {
	c.failIf(path, pool.Name == "", "has no name")
	c.failIf(path, c.pools[pool.Name] && pool.Name != "", "another pool has the same name")
	c.pools[pool.Name] = true
	c.failIf(path, pool.MaxConnections < 0, "max_connections is negative")
	c.failIf(path, pool.SlowStartUs < 0, "slow start is negative")
	c.failIf(path, !isMeasure(pool.RampPerS), "ramp_per_s is not a number of 0 or more")
}

func (c *checker) checkRoutes(routes []*routingpb.Route) {
	names := map[string]bool{}
	// pathOf maps a host and prefix to the path of their route.
	pathOf := map[string]string{}
	for i, route := range routes {
		path := itemPath("routes", i, route.Name)
		c.failIf(path, names[route.Name] && route.Name != "", "another route has the same name")
		names[route.Name] = true
		key := strings.ToLower(route.Host) + route.Prefix
		c.failIf(path, pathOf[key] != "", "has the host and prefix of "+pathOf[key])
		pathOf[key] = path
		c.checkRoute(path, route)
	}
}

func (c *checker) checkRoute(path string, route *routingpb.Route) {
	c.failIf(path, route.Name == "", "has no name")
	c.failIf(path, route.Host == "", "has no host")
	c.failIf(path, !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"), "the prefix must begin and end with a slash")
	c.failIf(path, route.TimeoutUs <= 0, "the timeout must be greater than 0")
	c.failIf(path, route.TargetLatencyUs < 0, "the target latency is negative")
	c.failIf(path, route.GetMaxBackends() < 0, "the number of backends is negative")
	c.failIf(path, route.ResultLimit < 0, "the result limit is negative")
	c.failIf(path, route.Priority < 0, "the priority is negative")
	c.failIf(path, !isMeasure(route.MinCoverage), "min_coverage is not a number of 0 or more")
	c.checkTargets(path, route)
}

// checkTargets checks the pools of a route: one pool, weighted pools, or pools to fan out to.
func (c *checker) checkTargets(path string, route *routingpb.Route) {
	targets := 0
	for _, set := range []bool{route.Pool != "", len(route.PoolWeights) > 0, len(route.FanoutPools) > 0 || route.NoShards} {
		if set {
			targets++
		}
	}
	c.failIf(path, targets == 0, "names no pool")
	c.failIf(path, targets > 1, "must have only one of pool, pool_weights and fanout_pools")
	c.failIf(path, len(route.FanoutPools) > 0 && !route.Repeatable, "a route with fanout_pools must be repeatable")
	if route.Pool != "" {
		c.requirePool(path, route.Pool)
	}
	for _, pool := range route.FanoutPools {
		c.requirePool(path, pool)
	}
	total, invalid := 0.0, false
	for _, weighted := range route.PoolWeights {
		c.requirePool(path, weighted.Pool)
		total += weighted.Weight
		invalid = invalid || !isMeasure(weighted.Weight)
	}
	c.failIf(path, invalid, "a weight is not a number of 0 or more")
	c.failIf(path, len(route.PoolWeights) > 0 && !invalid && total <= 0, "the weights add up to 0")
}

func (c *checker) requirePool(path, pool string) {
	c.failIf(path, !c.pools[pool], "no such pool: "+pool)
}

// isMeasure reports whether a number can be a weight, a rate or a share: whether it is finite and not negative.
func isMeasure(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
