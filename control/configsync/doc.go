// Package configsync pulls newer committed versions of the partitions from cores: the anti-entropy beside the
// mesh's flooding, so that a change is in force in time when either of the two ways is interrupted.
//
// Its plug-in, [Sync], runs on every node, and on every core, which may have no replica of its own and would then hear
// of no leader. About twice a second it sends one core the versions that this process has. The reply
// brings newer versions, which go into the mesh's store, and the leaders of the partitions. A core names itself
// in its pulls, so that cores hear of each other.
//
// Replies also report whether the core is in contact with a majority of a partition's voters. A process that has
// just started serves no state before such a core has answered it, within bounds: see [Sync.Confirmed]. Otherwise a
// process that restarts among cores cut off from the majority could serve a version that has long been replaced.
//
// The package owns the addresses of the cores that were live lately, the pulls in flight, the leaders last heard of and
// what was confirmed. Nothing of it outlives the process.
package configsync
