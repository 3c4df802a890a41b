// Package search carries the requests of the product's own callers: searches over all shards of
// an index, and reads, corrections and part fetches of one record. Corrections and part fetches
// must not run twice; the others may. Requests of the users' platform take package dispatch.
//
// A [StateMachine] is one request. It takes events (the result of an attempt, a timer, the answer
// of an idempotency key's owners) and returns actions (send, cancel, set a timer, finish); a driver
// carries them out over HTTP (request/httpapi) or in the simulator (lab/sim). Time and randomness
// come in from outside, so that a run can be repeated exactly.
//
// The states are, by their texts in traces (StateSelected is "picked", see [State]),
//
//	read -> classified -> let_in -> picked -> asked -> (re_asked) -> gathered ->
//	answered | shed | given_up
//
// A request is admitted by the limits of its kind (limits.go) and, with an idempotency key, by the
// key's owners (key_admission.go). A backend is selected per shard (selection.go) and sent an
// attempt; failed attempts are retried, slow ones hedged, both at the cost of a retry budget
// (retry_budget.go). The records of all shards are merged (gather.go), and the decisions are kept
// in a trace (trace.go).
//
// The [Dispatcher] owns what the requests of one node share: limiters, retry budgets and traces.
// The routing snapshot and the backends' gauges belong to request/snapshot.
package search
