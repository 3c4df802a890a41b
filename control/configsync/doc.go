// Package configsync pulls newer committed versions of the partitions from cores. This anti-entropy complements the
// flooding of the mesh, so that a change takes effect in time even if one of the two mechanisms is interrupted.
//
// Its plug-in, [Sync], runs on every node and on every core. A core needs it because it may have no replica of its
// own, in which case it learns of the leaders only from the replies. About twice a second the plug-in sends one core the
// versions that this process has. The reply contains newer versions, which are put in the mesh's store, and the leaders
// of the partitions. A core includes its own address in its pulls, so that cores discover each other.
//
// Replies also report for which partitions the core is in contact with a majority of the voters. A process that has
// just started does not serve a partition until a core with that contact has replied or a time-out has passed: see
// [Sync.Confirmed]. Otherwise a process that restarts among cores isolated from the majority could serve a version that
// was replaced long ago.
//
// The package owns the addresses of the recently live cores, the pulls in flight, the last reported leaders and the
// confirmed partitions. None of this state outlives the process.
package configsync
