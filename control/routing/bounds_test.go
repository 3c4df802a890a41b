package routing

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// tableOf returns a table in which every number has the given value of its type.
func tableOf(n int64, m int32, x float64) *routingpb.RoutingTable {
	return &routingpb.RoutingTable{
		Routes: []*routingpb.Route{{
			Name: "r", Host: "h", Prefix: "/", Pool: "p", Repeatable: true, TimeoutUs: n, TargetLatencyUs: n, Priority: m, MaxBackends: proto.Int32(m),
			ResultLimit: m, MinCoverage: x, Source: []byte("r"),
		}},
		Pools:  []*routingpb.Pool{{Name: "p", MaxConnections: n, SlowStartUs: n, RampPerS: x}},
		Limits: &routingpb.Limits{MaxHeaderBytes: n, MaxBodyBytes: n, HeaderTimeoutUs: n, IdleTimeoutUs: n},
	}
}

// TestCompiledNumbersAreBounded guards against an overflow in the request path: a stored table, or one from another
// release, may hold any number, and Check has not seen it in this process.
func TestCompiledNumbersAreBounded(t *testing.T) {
	for _, source := range []*routingpb.RoutingTable{
		tableOf(math.MaxInt64, math.MaxInt32, math.Inf(1)), tableOf(math.MinInt64, math.MinInt32, math.Inf(-1)),
		tableOf(math.MaxInt64/2, -1, math.NaN()), tableOf(-1, 0, -1),
	} {
		kept := proto.CloneOf(source)
		table := Compile(source)
		route, pool, limits := table.Match("h", "/x"), table.Pools["p"], table.Limits
		for _, n := range []int64{route.TimeoutUs, route.TargetLatencyUs, limits.HeaderTimeoutUs, limits.IdleTimeoutUs} {
			must.Between(t, 0, n, maxTime)
		}
		for _, n := range []int64{int64(route.Priority), int64(*route.MaxBackends), int64(route.ResultLimit), pool.MaxConnections, limits.MaxHeaderBytes, limits.MaxBodyBytes} {
			must.Between(t, 0, n, maxCount)
		}
		must.Between(t, 0, pool.SlowStartUs, maxSlowStart)
		must.Between(t, 0, route.MinCoverage, math.MaxFloat64)
		must.Between(t, 0, pool.RampPerS, math.MaxFloat64)
		must.True(t, proto.Equal(kept, source), must.Sprint("the table that operators read back must not change"))
	}
}

// TestUsualNumbersAreCompiledUnchanged guards against a bound inside the range that operators use.
func TestUsualNumbersAreCompiledUnchanged(t *testing.T) {
	source := tableOf(maxCount, 3, 0.75)
	table := Compile(source)
	must.True(t, proto.Equal(source.Routes[0], table.Match("h", "/x").Route))
	must.True(t, proto.Equal(source.Pools[0], table.Pools["p"]))
	must.True(t, proto.Equal(source.Limits, table.Limits))
	must.NotNil(t, Compile(&routingpb.RoutingTable{}).Limits)
}
