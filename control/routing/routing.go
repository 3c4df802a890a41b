// Package routing holds the routing table that operators set: which requests
// go to which pools. A table is compiled once for each revision and then only
// read; a request is matched by its host and the longest prefix of its path.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"wallport/api/routingpb"
)

// Table is one revision, compiled. It is never changed.
type Table struct {
	Revision int64
	Source   *routingpb.RoutingTable
	Limits   *routingpb.Limits
	Pools    map[string]*routingpb.Pool
	hosts    map[string][]*Route
}

// Route is one route with what is derived from it.
type Route struct {
	*routingpb.Route
	// Pools are the pools that one request is sent to: several where answers are gathered.
	weights []float64
	total   float64
}

// FansOut tells that a request goes to one backend of each of the route's pools.
func (r *Route) FansOut() bool { return len(r.FanoutPools) > 0 }

// PoolAt is the pool of a route that is not gathered; at lies in [0, 1) and decides by weight.
func (r *Route) PoolAt(at float64) string {
	if len(r.PoolWeights) == 0 {
		return r.Pool
	}
	at *= r.total
	for i, w := range r.weights {
		if at < w {
			return r.PoolWeights[i].Pool
		}
		at -= w
	}
	return r.PoolWeights[len(r.PoolWeights)-1].Pool
}

// Compile makes the table of a checked revision; nil gives nil.
func Compile(src *routingpb.RoutingTable) *Table {
	if src == nil {
		return nil
	}
	t := &Table{
		Revision: src.Revision, Source: src, Limits: src.Limits,
		Pools: map[string]*routingpb.Pool{}, hosts: map[string][]*Route{},
	}
	if t.Limits == nil {
		t.Limits = &routingpb.Limits{}
	}
	for _, p := range src.Pools {
		t.Pools[p.Name] = p
	}
	for _, r := range src.Routes {
		c := &Route{Route: r}
		for _, w := range r.PoolWeights {
			c.weights = append(c.weights, w.Weight)
			c.total += w.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], c)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match finds the route of a host (a port after it is ignored) and a path; nil when there is none.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
