package wire

// StatusRequest asks a core for the state of its replicas.
type StatusRequest struct{}

// StatusReply returns that state, one row for each partition of the control state.
type StatusReply struct {
	// Addr is the mesh address of the core.
	Addr     string          `msg:"a"`
	Replicas []ReplicaStatus `msg:"s"`
}

// ReplicaStatus is the state of a core's replica of one partition.
type ReplicaStatus struct {
	Partition int `msg:"p"`
	// State is "leader", "new_leader" until it has committed a version of its own term, "candidate",
	// "follower", "standby" where it has no vote, or "damaged" where its disk can't be used.
	State string `msg:"s"`
	// Term is the highest term that it has voted in or led.
	Term uint64 `msg:"t"`
	// Leader is the mesh address of the leader that it follows; empty where it knows of none.
	Leader string `msg:"l,omitempty"`
	// InContact reports whether it is itself in contact with a majority.
	InContact bool `msg:"c,omitempty"`
	// Committed is the newest version that it knows to be committed, and Stored the newest one on its disk.
	Committed Version `msg:"v"`
	Stored    Version `msg:"h"`
	// Voters is how many replicas vote on the newest version that it has stored.
	Voters int `msg:"n,omitempty"`
	// Change is, at a leader, the reason of the membership change in progress.
	Change string `msg:"m,omitempty"`
	// Leaving reports whether the replica is being moved out of the group, since its process drains.
	Leaving bool `msg:"x,omitempty"`
}
