// Package snapshot builds the immutable snapshot of the fleet that the request path reads through
// one atomic pointer. The operators' documentation calls it the "table".
//
// A [Snapshot] lists the backends of each shard of each shard map and of each pool, the health of each
// backend, the current limits and the nodes of the fleet. It is complete when it is published and is
// never modified, so that a request that holds one sees a consistent state.
//
// [Builder] is the plug-in that builds the snapshots. Its inputs are the entries of the mesh (versions of
// partitions of the control state, the platform's list, health reports, members), the configuration sync
// and the load reports. A new version of a partition or a new list triggers a build immediately, other
// changes do so after a short delay; without changes no snapshot is built. A process that has just
// started or was frozen serves only from state that a core in contact with a majority has confirmed; see
// [Snapshot.Ready] and [Snapshot.Stale].
//
// [Gauge] carries data in the other direction: the request path updates its counters for each backend.
// Gauges outlive snapshots.
package snapshot
