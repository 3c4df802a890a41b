// Package dispatch takes one client request of the routing table to backends and back, as a state machine
// without I/O.
//
// A [StateMachine] is one request. A driver steps it with events ([Begin], [AttemptDone], [TimerFired],
// [ClientGone]) and the present time, and carries out the actions that Step returns ([Send], [Cancel], [Abandon],
// [SetTimer], [Finish]) in their order. request/gateway drives it over HTTP, lab/sim on simulated time. Its states,
// by their texts in traces (StateSent is "asked", see [State]), are
//
//	read -> matched -> admitted -> asked -> (re_asked) -> (gathered) -> answered | refused | given_up
//
// A request goes to one pool, or fans out to one backend of each of the route's pools (shards) and gathers
// their records into one response. Either way each pool is a shardRequest with its attempts.
//
// A [Dispatcher] owns what the requests of a node share: the view of the newest routing snapshot, what this node
// measured of each backend and of each pool's latency, the retry budgets, the scheduling lag and the ring of traces.
// It may be used from many goroutines; a StateMachine from one at a time.
//
// What holds for every request:
//
//   - A request that is not idempotent runs at most once: it is sent again only where no byte of it was written,
//     or where the backend said that it has not run it and never will.
//   - A rejection (503, 429, 408, 421) says that the request has not run: none is given while an attempt is in
//     flight or may have run, and a backend's own is replaced by 502 unless the backend vouched for it.
//   - A success is one backend's complete sealed response, or one sealed response of each gathered shard.
//   - A draining backend, a drained zone and a pool that the route has left get nothing more.
//   - All nodes together stay within the pools' retry budgets and within the rate of backends in slow start.
//
// The techniques are known ones: a retry budget instead of retry counts (Google SRE book, "Handling Overload"),
// hedged requests after the 95th percentile (Dean and Barroso, "The Tail at Scale", 2013), outlier ejection and
// slow start as Envoy has them, and quantile estimates that keep one number (Ma, Muthukrishnan and Sandler, "Frugal
// Streaming for Estimating Quantiles", 2013). docs/forwarding.md has the rules with their numbers.
package dispatch
