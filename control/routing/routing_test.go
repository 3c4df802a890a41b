package routing

import (
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
