package wire

// StatusRequest asks a core for the state of its replicas.
type StatusRequest struct{}

// StatusReply returns the state of a core's replicas, one row for each partition of the control state.
type StatusReply struct {
	// Addr is the mesh address of the core.
	Addr     string          `msg:"a"`
	Replicas []ReplicaStatus `msg:"s"`
}

// ReplicaStatus is the state of a core's replica of one partition.
type ReplicaStatus struct {
	Partition int `msg:"p"`
	// State is "leader", "new_leader" for a leader that has not yet committed a version of its own term,
	// "candidate", "follower", "standby" for a replica without a vote, or "damaged" if its disk can't be used.
	State string `msg:"s"`
	// Term is the highest term that the replica has voted in or led.
	Term uint64 `msg:"t"`
	// Leader is the mesh address of the leader that the replica follows; empty if it knows none.
	Leader string `msg:"l,omitempty"`
	// InContact reports whether the replica itself is in contact with a majority.
	InContact bool `msg:"c,omitempty"`
	// Committed is the newest version that the replica knows to be committed, and Stored the newest one on its disk.
	Committed Version `msg:"v"`
	Stored    Version `msg:"h"`
	// Voters is the number of voters of the newest version that the replica has stored.
	Voters int `msg:"n,omitempty"`
	// Change is the reason of the membership change in progress; only a leader sets it.
	Change string `msg:"m,omitempty"`
	// Leaving reports whether the replica is being moved out of the group because its process is draining.
	Leaving bool `msg:"x,omitempty"`
}
