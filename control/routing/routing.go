// Package routing implements the operators' routing table, which maps requests to backend pools.
//
// Operators send edits ([routingpb.RoutingEdit]) of the table. [Apply] computes the table that results from an
// edit, [Check] decides whether it may be put in force, and [Digest] identifies an edit that is sent again.
// [Compile] compiles each revision once into an immutable [Table], which the request path reads concurrently.
// A request is matched by its host and the longest prefix of its path.
//
// Compile accepts every table that may be in force, including those that earlier releases have stored: what a route
// means is derived here and not where the table is checked.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"wallport/api/routingpb"
)

// Table is one compiled revision of the routing table. It is immutable.
type Table struct {
	Revision int64
	// Source is the protobuf message that the table was compiled from.
	Source *routingpb.RoutingTable
	// Limits is never nil.
	Limits *routingpb.Limits
	Pools  map[string]*routingpb.Pool
	// hosts maps a host in lower case to its routes, sorted by descending length of the prefix.
	hosts map[string][]*Route
}

// Route is a compiled route: the route from the table with its numbers in bounds, and values derived from it.
type Route struct {
	*routingpb.Route
	// Shards are the pools of FanoutPools, each once, in the order in which they are first named. A request that fans
	// out is sent to one backend of each of them.
	Shards []string
	// Shares are the pools of PoolWeights that get requests.
	Shares []Share
}

// Share is a pool and the fraction of a route's requests that it gets, above 0 and at most 1.
type Share struct {
	Pool     string
	Fraction float64
}

// FansOut reports whether a request is sent to one backend of each shard and their responses are merged.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 || r.NoShards }

// PoolAt returns the pool for a request of a route that does not fan out. point is a random number in
// [0, 1); it selects among weighted pools.
func (r *Route) PoolAt(point float64) string {
	if len(r.Shares) == 0 {
		return r.Pool
	}
	for _, share := range r.Shares {
		if point < share.Fraction {
			return share.Pool
		}
		point -= share.Fraction
	}
	// Rounding can leave the sum of the shares below point.
	return r.Shares[len(r.Shares)-1].Pool
}

// Compile compiles a revision, and keeps all numbers within bounds. It returns nil if source is nil.
func Compile(source *routingpb.RoutingTable) *Table {
	if source == nil {
		return nil
	}
	table := &Table{
		Revision: source.Revision, Source: source, Limits: boundedLimits(source.Limits),
		Pools: map[string]*routingpb.Pool{}, hosts: map[string][]*Route{},
	}
	for _, pool := range source.Pools {
		table.Pools[pool.Name] = boundedPool(pool)
	}
	for _, route := range source.Routes {
		compiled := &Route{Route: boundedRoute(route), Shards: distinct(route.FanoutPools), Shares: shares(route.PoolWeights)}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], compiled)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table
}

// distinct returns the names without repetitions, in the order in which they first occur.
func distinct(names []string) []string {
	var out []string
	for _, name := range names {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// shares returns the shares of the pools with a weight above 0, each pool once, in the order in which they are first
// named.
func shares(weights []*routingpb.PoolWeight) []Share {
	largest := 0.0
	for _, weighted := range weights {
		largest = max(largest, finiteNumber(weighted.Weight))
	}
	var out []Share
	total := 0.0
	for _, weighted := range weights {
		// In relation to the largest weight, the sum of the weights can be represented.
		part := finiteNumber(weighted.Weight) / largest
		if !(part > 0) {
			continue
		}
		total += part
		if i := slices.IndexFunc(out, func(s Share) bool { return s.Pool == weighted.Pool }); i >= 0 {
			out[i].Fraction += part
			continue
		}
		out = append(out, Share{weighted.Pool, part})
	}
	for i := range out {
		out[i].Fraction /= total
	}
	return out
}

// Match returns the route for a host and a path, or nil if there is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
