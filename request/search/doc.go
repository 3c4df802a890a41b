// Package search handles the requests of the caller API: searches over all shards of an index, and
// reads, corrections and part fetches of one record. Corrections and part fetches run at most once;
// searches and reads may run more than once. Package dispatch handles the requests of a platform's
// clients.
//
// A [StateMachine] processes one request. It takes events (the result of an attempt, a timer, the
// reply of an idempotency key's owners) and returns actions (send, cancel, set a timer, finish). A
// driver executes the actions over HTTP (request/httpapi) or in the simulator (lab/sim). The driver
// also supplies the time and the random seed, which makes runs reproducible.
//
// A request passes through the following states. The list shows their texts in traces, for example
// "picked" for StateSelected (see [State]):
//
//	read -> classified -> let_in -> picked -> asked -> (re_asked) -> gathered ->
//	answered | shed | given_up
//
// A request must be admitted by the limits of its kind (limits.go) and, if it has an idempotency
// key, by the key's owners (key_admission.go). For each shard one backend is selected (selection.go),
// and an attempt is sent to it. Failed attempts are retried and slow attempts are hedged, within the
// limits of a retry budget (retry_budget.go). The records of all shards are merged (gather.go), and
// the decisions are recorded in a trace (trace.go).
//
// The [Dispatcher] owns the state that all requests of a node share: limiters, retry budgets and
// traces. The routing snapshot and the backends' gauges belong to request/snapshot.
package search
