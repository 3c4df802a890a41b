// What an operator is shown of the replicas of a core.

package wire

// StatusRequest asks a core for the state of its replicas.
type StatusRequest struct{}

// StatusReply tells it, one row for each partition of the control state.
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
	// Term is the newest term that it has voted in or led.
	Term uint64 `msg:"t"`
	// Leader is the mesh address of the leader that it follows; empty where it knows of none.
	Leader string `msg:"l,omitempty"`
	// InContact reports whether it is in contact with a majority, by itself.
	InContact bool `msg:"c,omitempty"`
	// Committed is the newest version that it knows to be committed; Held is the newest on its disk.
	Committed Version `msg:"v"`
	Stored    Version `msg:"h"`
	// Voters is how many replicas have a vote on the newest version that it holds.
	Voters int `msg:"n,omitempty"`
	// Change is, at a leader, the reason of a change of members that is under way.
	Change string `msg:"m,omitempty"`
	// Leaving tells that the replica is being moved out, since its process is to end.
	Leaving bool `msg:"x,omitempty"`
}
