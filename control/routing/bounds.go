package routing

import (
	"math"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// Bounds of the values of a compiled table. The request path multiplies and adds them without a check of its own, and a
// stored table, or one from another release, may hold any value of its types.
const (
	// maxCount bounds counts and sizes in bytes.
	maxCount = 1_000_000_000
	// maxTime bounds the times of a route and the time-outs of clients, maxSlowStart the time of a slow start.
	maxTime      = 1_000_000_000 * clock.Millisecond
	maxSlowStart = 1_000_000_000 * clock.Second
)

// bounded returns the number nearest to v from 0 to most.
func bounded[T int32 | int64](v, most T) T { return min(max(0, v), most) }

// boundedRoute returns a copy of a route with all numbers in the bounds.
func boundedRoute(route *routingpb.Route) *routingpb.Route {
	out := proto.CloneOf(route)
	out.Source = route.Source // shared, since it is most of a route's size
	out.TimeoutUs = bounded(route.TimeoutUs, maxTime)
	out.TargetLatencyUs = bounded(route.TargetLatencyUs, maxTime)
	out.Priority = bounded(route.Priority, maxCount)
	out.ResultLimit = bounded(route.ResultLimit, maxCount)
	out.MinCoverage = finiteNumber(route.MinCoverage)
	if route.MaxBackends != nil {
		out.MaxBackends = proto.Int32(bounded(*route.MaxBackends, maxCount))
	}
	return out
}

// boundedPool returns a copy of a pool with all numbers in the bounds.
func boundedPool(pool *routingpb.Pool) *routingpb.Pool {
	out := proto.CloneOf(pool)
	out.Source = pool.Source
	out.MaxConnections = bounded(pool.MaxConnections, maxCount)
	out.SlowStartUs = bounded(pool.SlowStartUs, maxSlowStart)
	out.RampPerS = finiteNumber(pool.RampPerS)
	return out
}

// boundedLimits returns a copy of the limits with all numbers in the bounds. Limits that are not set are 0.
func boundedLimits(limits *routingpb.Limits) *routingpb.Limits {
	out := proto.CloneOf(limits)
	if out == nil {
		return &routingpb.Limits{}
	}
	out.MaxHeaderBytes = bounded(limits.MaxHeaderBytes, maxCount)
	out.MaxBodyBytes = bounded(limits.MaxBodyBytes, maxCount)
	out.HeaderTimeoutUs = bounded(limits.HeaderTimeoutUs, maxTime)
	out.IdleTimeoutUs = bounded(limits.IdleTimeoutUs, maxTime)
	return out
}

// finiteNumber returns the finite number of 0 or more that is nearest to v, and 0 if v is not a number.
func finiteNumber(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(0, v), math.MaxFloat64)
}
