package wire

// EditLog is what the replicas of a partition keep beside its body: the edits that were taken, so that a
// repetition is recognised, and the earlier configurations. It is replicated and synced with the body, and never
// sent to a process that only reads the body.
type EditLog struct {
	// RoutingEdits are the changes of the routing table that were taken, oldest first.
	RoutingEdits []RoutingEdit `msg:"o,omitempty"`
	// Edits are the changes that were taken under an edit id, oldest first.
	Edits []AppliedEdit `msg:"e,omitempty"`
	// History has the earlier configurations and the one in force, oldest first.
	History []PastConfig `msg:"h,omitempty"`
	// Zones are the versions that last took a command about a zone, oldest first.
	Zones []ZoneVersion `msg:"z,omitempty"`
	// ZoneFloor is the version of every zone that Zones does not list.
	ZoneFloor Version `msg:"f"`
}

//msgp:tuple RoutingEdit

// RoutingEdit is a change of the routing table by its digest, which covers the revision and the base, and the version
// that took it. The digest has 8 bytes where a release before 3 took the change.
type RoutingEdit struct {
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple AppliedEdit

// AppliedEdit is an edit by its id and digest, and the version that took it.
type AppliedEdit struct {
	EditID string
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple ZoneVersion

// ZoneVersion is the version that last took a command about a zone.
type ZoneVersion struct {
	Zone string
	Term uint64
	Seq  uint64
}
