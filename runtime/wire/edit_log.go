package wire

// EditLog is what the replicas of a partition keep beside its body: the orders that were taken, so
// that a repeat is known again, and the earlier sheets. It is replicated and synced with the body,
// and never sent to a process that only reads the body.
type EditLog struct {
	// RoutingEdits are the changes of the routing table that were taken, oldest first.
	RoutingEdits []RoutingEdit `msg:"o,omitempty"`
	// Edits are the changes that were taken under an edit id, oldest first.
	Edits []AppliedEdit `msg:"e,omitempty"`
	// History holds earlier sheets and the one in force, oldest first.
	History []PastConfig `msg:"h,omitempty"`
	// Zones are the versions that last took an order about a zone, oldest first.
	Zones []ZoneVersion `msg:"z,omitempty"`
	// ZoneFloor is the version of every zone that Zones does not list.
	ZoneFloor Version `msg:"f"`
}

//msgp:tuple RoutingEdit

// RoutingEdit remembers one order by its digest, and the version that took it. The digest covers
// the number and the base. It has 8 bytes where a release before 3 took the order.
type RoutingEdit struct {
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple AppliedEdit

// AppliedEdit remembers one edit by its id, its digest, and the version that took it.
type AppliedEdit struct {
	EditID string
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple ZoneVersion

// ZoneVersion is the version that last took an order about a zone.
type ZoneVersion struct {
	Zone string
	Term uint64
	Seq  uint64
}
