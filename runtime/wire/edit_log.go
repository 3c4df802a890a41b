package wire

// EditLog is stored by the replicas of a partition in addition to the partition's body. It holds the applied edits, so
// that a repeated edit is recognised, and the earlier configurations. It is replicated and synced with the body, and
// never sent to a process that only reads the body.
type EditLog struct {
	// RoutingEdits are the applied changes of the routing table, oldest first.
	RoutingEdits []RoutingEdit `msg:"o,omitempty"`
	// Edits are the applied changes that have an edit id, oldest first.
	Edits []AppliedEdit `msg:"e,omitempty"`
	// History has the earlier configurations and the one in force, oldest first.
	History []PastConfig `msg:"h,omitempty"`
	// Zones are the versions in which the last command about each zone was applied, oldest first.
	Zones []ZoneVersion `msg:"z,omitempty"`
	// ZoneFloor counts as the version of every zone that Zones does not list.
	ZoneFloor Version `msg:"f"`
}

//msgp:tuple RoutingEdit

// RoutingEdit is an applied change of the routing table: its digest, which covers the revision and the base, and the
// version that applied it. The digest has 8 bytes if a release before 3 applied the change.
type RoutingEdit struct {
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple AppliedEdit

// AppliedEdit is an applied edit: its id, its digest and the version that applied it.
type AppliedEdit struct {
	EditID string
	Digest []byte
	Term   uint64
	Seq    uint64
}

//msgp:tuple ZoneVersion

// ZoneVersion is a zone and the version that applied the last command about it.
type ZoneVersion struct {
	Zone string
	Term uint64
	Seq  uint64
}
