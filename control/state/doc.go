// Package state is the replicated state machine of the control plane: it defines the contents of
// a partition's value and how edits and the passage of time change it.
//
// The control state is split into [Partitions] partitions, each replicated by a consensus group of its
// own (package replica). Partition 0 holds the operators' configuration, the routing table, the drained
// zones and the active bookings; the others hold the indexes' shard maps and the holders of singleton
// tasks' leases, spread by a hash of the index's name.
//
// A partition's [Value] has two parts. The body is distributed to every process. The edit log is stored by
// the replicas only. It records the applied edits, so that an edit which is sent again is acknowledged but
// not applied twice (sessions serve the same purpose in section 6.3 of Ongaro's thesis), and it keeps the
// earlier configurations. Both parts are bounded (limits.go).
//
// The leader of a partition applies the edits of a batch in order, each to the result of the previous one,
// and proposes the final value. Applying an edit is a pure function of the value and the edit: it keeps no
// state, reads no clock and uses no random numbers. The bookings and the lease holders, which depend on
// time, are updated by the partition's [TickFunc].
package state
