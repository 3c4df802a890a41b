// Package snapshot builds the immutable snapshot of the fleet that the request path reads through
// one atomic pointer. In the operators' pages it is the "table".
//
// A [Snapshot] says which backends serve which shard of which shard map or belong to which pool, the
// health of each, the limits in force, and which nodes are there. It is published complete and never
// changed; a request that holds one sees a consistent state.
//
// [Table] is the plug-in that builds the snapshots. Its inputs are the mesh's entries (partitions'
// versions, the platform's list, health reports, members), the configuration sync and the load
// reports. A new version of a partition or a new list causes a build at once, other changes soon
// after; without changes nothing is built. A process that has just started or was frozen serves only
// from state that a core in contact with a majority has confirmed; see [Snapshot.Ready] and
// [Snapshot.Stale].
//
// [Gauge] is the other direction: counters that the request path updates for each backend, which
// outlive snapshots.
package snapshot
