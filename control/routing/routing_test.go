package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
)

// TestShardsAreTheSetOfNamedPools guards against the failure of review/5 for every way in which a table reaches a node,
// stored and older ones included: a pool that fanout_pools names twice is one shard.
func TestShardsAreTheSetOfNamedPools(t *testing.T) {
	for _, c := range []struct{ named, shards []string }{
		{nil, nil},
		{[]string{"a"}, []string{"a"}},
		{[]string{"a", "a"}, []string{"a"}},
		{[]string{"c", "a", "b", "a", "c", "d"}, []string{"c", "a", "b", "d"}},
	} {
		source := &routingpb.RoutingTable{Routes: []*routingpb.Route{{Name: "r", Host: "h", Prefix: "/", Repeatable: true, TimeoutUs: 1, FanoutPools: c.named}}}
		route := Compile(source).Match("h", "/x")
		must.Eq(t, c.shards, route.Shards)
		must.Eq(t, len(c.named) > 0, route.FansOut())
		must.Eq(t, c.named, route.FanoutPools, must.Sprint("the list must be read back as it was sent"))
	}
}

func weighted(weights ...*routingpb.PoolWeight) *Route {
	source := &routingpb.RoutingTable{Routes: []*routingpb.Route{{Name: "r", Host: "h", Prefix: "/", TimeoutUs: 1, PoolWeights: weights}}}
	return Compile(source).Match("h", "/x")
}

func weight(pool string, weight float64) *routingpb.PoolWeight {
	return &routingpb.PoolWeight{Pool: pool, Weight: weight}
}

// TestSharesFollowWeightsOfAnySize guards against requests that all go to one pool: the sum of large weights is beyond
// the numbers that are computed with, and the last pool got every request.
func TestSharesFollowWeightsOfAnySize(t *testing.T) {
	const points = 10_000
	for _, c := range []struct {
		name    string
		weights []*routingpb.PoolWeight
		// shares are the expected shares of the requests, by pool.
		shares map[string]float64
	}{
		{"usual", []*routingpb.PoolWeight{weight("a", 3), weight("b", 1)}, map[string]float64{"a": 0.75, "b": 0.25}},
		{"one pool", []*routingpb.PoolWeight{weight("a", 0.1)}, map[string]float64{"a": 1}},
		{"greatest", []*routingpb.PoolWeight{weight("a", math.MaxFloat64), weight("b", math.MaxFloat64), weight("c", math.MaxFloat64/2)}, map[string]float64{"a": 0.4, "b": 0.4, "c": 0.2}},
		{"least", []*routingpb.PoolWeight{weight("a", math.SmallestNonzeroFloat64), weight("b", math.SmallestNonzeroFloat64)}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"greatest and least", []*routingpb.PoolWeight{weight("a", 1e-300), weight("b", 1e300)}, map[string]float64{"b": 1}},
		{"above 1e9", []*routingpb.PoolWeight{weight("a", 3e9), weight("b", 1e9)}, map[string]float64{"a": 0.75, "b": 0.25}},
		{"zeros", []*routingpb.PoolWeight{weight("a", 0), weight("b", 1), weight("c", 0)}, map[string]float64{"b": 1}},
		{"a pool twice", []*routingpb.PoolWeight{weight("a", 1), weight("b", 2), weight("a", 1)}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"a pool twice, once with 0", []*routingpb.PoolWeight{weight("a", 0), weight("b", 1), weight("a", 1)}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"older data", []*routingpb.PoolWeight{weight("a", math.NaN()), weight("c", -1), weight("d", math.Inf(1))}, map[string]float64{"d": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			route, drawn := weighted(c.weights...), map[string]float64{}
			for i := range points {
				drawn[route.PoolAt(float64(i)/points)]++
			}
			must.Eq(t, len(c.shares), len(drawn))
			for pool, share := range c.shares {
				must.InDelta(t, share, drawn[pool]/points, 0.001, must.Sprint(pool))
			}
		})
	}
}

// TestPoolOfWeightZeroIsNeverDrawn guards against a request to a pool that its configuration gives no requests: where
// rounding left the greatest random number above the sum of the weights, the last pool was taken, whatever its weight.
func TestPoolOfWeightZeroIsNeverDrawn(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		weights := []*routingpb.PoolWeight{weight("a", rnd.Float64()), weight("b", rnd.Float64()), weight("c", rnd.Float64()), weight("none", 0)}
		must.NotEq(t, "none", weighted(weights...).PoolAt(math.Nextafter(1, 0)), must.Sprint(weights))
	}
}
