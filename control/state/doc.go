// Package state is the replicated state machine of the control plane: what the value of a partition
// means, and how an edit or the passing of time changes it.
//
// The control state is split into [Partitions] partitions, each replicated by a consensus group of its
// own (package replica). Partition 0 holds the operators' configuration, the routing table, the drained
// zones and the active bookings; the others hold the indexes' shard maps and the holders of singleton
// tasks' leases, spread by a hash of the index's name.
//
// A partition's [Value] has two parts. The body is what every process reads. The edit log stays with the
// replicas: it remembers which edits were applied, so that an edit which is sent again is acknowledged and
// not applied twice (Ongaro's thesis, section 6.3, has sessions for the same purpose), and it keeps the
// earlier configurations. Both are bounded (limits.go).
//
// The leader of a partition applies the edits of a batch in order, each to the outcome of the one before
// it, and proposes the last value. Applying is a pure function of the value and the edit: it owns no
// state, reads no clock and draws no random numbers. What depends on time, which is the bookings and the
// lease holders, goes through the partition's [TickFunc].
package state
