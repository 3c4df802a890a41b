// Package operations sends operators' commands to the processes that execute them.
//
// Its plug-in, [Service], runs on every node and core, so that operators can call any process. It receives
// calls from the process's APIs and answers each call exactly once:
//
//   - [Submit] sends an edit to the leader of its partition. The edit is retried until a reply arrives, follows
//     redirects to a newer leader and, on request, is answered only when the live nodes have it in force. The
//     edit id, or the edit's base and digest, makes retries idempotent.
//   - [ReadRouting] and [ReadHistory] read from the leader of the configuration partition, confirmed by a majority.
//   - [Rebuild] recreates a partition's group after the loss of a majority of its disks.
//   - [ReadStatus] collects the state of every core's replicas.
//
// A call always ends within its time-out. The code of the answer is [wire.CodeUnknown] if the outcome of an edit
// cannot be determined, and [wire.CodeOverloaded] only if it is certain that no leader has accepted the edit.
//
// The package keeps no state other than the calls in flight.
package operations
