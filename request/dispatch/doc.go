// Package dispatch forwards one client request to the backends that the routing table selects and returns the
// outcome. It is a state machine without I/O.
//
// A [StateMachine] handles one request. A driver passes events ([Begin], [AttemptDone], [TimerFired],
// [ClientGone]) and the current time to Step and carries out the returned actions ([Send], [Cancel], [Abandon],
// [SetTimer], [Finish]) in order. The driver in request/gateway uses HTTP, the one in lab/sim simulated time. The
// states, under the names that traces use (StateSent is "asked", see [State]), are
//
//	read -> matched -> admitted -> asked -> (re_asked) -> (gathered) -> answered | refused | given_up
//
// A request is sent to one pool, or it fans out to one backend of each of the route's pools (shards) and the records
// that these backends return are merged into one response. In both cases each pool has a shardRequest with its
// attempts.
//
// A [Dispatcher] owns the state that all requests of a node share: the view of the newest routing snapshot, this
// node's measurements of each backend and of each pool's latency, the retry budgets, the scheduling lag and the
// ring of traces. It is safe for concurrent use; a StateMachine is not.
//
// The following holds for every request:
//
//   - A request that is not idempotent runs at most once: it is sent again only if no byte of it was written, or if
//     the backend stated that it has not run the request and never will.
//   - A rejection (503, 429, 408, 421) states that the request has not run: it is never returned while an attempt is
//     in flight or may have run. A backend's response with such a status is replaced by 502 unless the backend
//     stated that the request has not run.
//   - A success is one backend's complete sealed response, or one sealed response from each gathered shard.
//   - No new attempt is sent to a draining backend, to a drained zone or to a pool that the route no longer uses.
//   - All nodes together stay within the pools' retry budgets and within the request rate of backends in slow start.
//
// The techniques are established ones: a retry budget instead of retry counts (Google SRE book, "Handling
// Overload"), hedged requests after the 95th percentile (Dean and Barroso, "The Tail at Scale", 2013), outlier
// ejection and slow start as in Envoy, and quantile estimates that store one number (Ma, Muthukrishnan and Sandler,
// "Frugal Streaming for Estimating Quantiles", 2013). docs/forwarding.md lists the rules with their numbers.
package dispatch
