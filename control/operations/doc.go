// Package operations carries operators' commands to the processes that act on them.
//
// Its plug-in, [Service], runs on every node and core, so that an operator may call any of them. It takes
// calls from the process's APIs and answers each of them once:
//
//   - [Submit] sends an edit to the leader of its partition. The edit is sent again until it is answered, follows
//     redirects to a newer leader, and, where the caller asks for it, is answered only once the live nodes have it in
//     force. An edit id, or its base and digest, makes repeated sending harmless.
//   - [ReadRouting] and [ReadHistory] read from the leader of the configuration partition, confirmed by a majority.
//   - [Rebuild] makes a partition's group anew after a majority of its disks is lost.
//   - [ReadStatus] collects the state of every core's replicas.
//
// A call always ends within its time-out. When the outcome of an edit cannot be known the answer is
// [wire.CodeUnknown]; [wire.CodeOverloaded] is answered only where certainly no leader has taken the edit.
//
// The package keeps nothing beyond the calls in flight.
package operations
