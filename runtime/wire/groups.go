package wire

// Version numbers the values of a partition, ordered by term, then by sequence.
type Version struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Seq       uint64 `msg:"s"`
}

// Versioned is one value of a partition, with the voters of the group that it is replicated to. PreviousVoters are
// those of the version before it. Majorities of both sets are needed: where the two are the same, as they are unless
// this version changes the voters, that is one majority. The list is empty in the versions of a bootstrap or rebuild.
type Versioned struct {
	Version        Version   `msg:"st"`
	Voters         []Replica `msg:"se"`
	PreviousVoters []Replica `msg:"pr"`
	Body           []byte    `msg:"b"`
	// EditLog is sent with the body from replica to replica, and to no process that only reads the body.
	EditLog []byte `msg:"l,omitempty"`
}

// Replica is one member of a partition's group, with the zone and mesh address of its core.
type Replica struct {
	ID   string `msg:"i"`
	Zone string `msg:"z"`
	Addr string `msg:"a"`
}

// Vote requests a vote for a term. With Pre set it only asks whether the vote would be granted.
type Vote struct {
	To        string `msg:"to"`
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	From      string `msg:"f"`
	Pre       bool   `msg:"e"`
	// Designated is set when the outgoing leader named this successor.
	Designated bool `msg:"n"`
	// Stored is the newest version that the candidate has stored; a voter with a newer one returns it.
	Stored Version `msg:"h"`
}

// VoteReply grants or denies a vote and names the newest version that the voter has stored. It has the body only
// where the vote is granted to a candidate that has stored an older version.
type VoteReply struct {
	Partition    int       `msg:"p"`
	Term         uint64    `msg:"t"`
	From         string    `msg:"f"`
	Pre          bool      `msg:"e"`
	Granted      bool      `msg:"g"`
	Stored       Versioned `msg:"h"`
	SupportsBase bool      `msg:"tb,omitempty"` // the voter reads Accept.Base
}

// Accept asks a replica to store a version.
type Accept struct {
	To        string    `msg:"to"`
	Partition int       `msg:"p"`
	Term      uint64    `msg:"t"`
	From      string    `msg:"f"`
	Versioned Versioned `msg:"v"`
	// Base, where it is set, is a version with the same body, which the replica has stored. The body is
	// then left out.
	Base Version `msg:"b"`
}

// AcceptReply acknowledges that a version is synced to the disk, or refuses it with the term that the replica
// has voted in.
type AcceptReply struct {
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Version   Version `msg:"st"`
	OK        bool    `msg:"ok"`
	Err       string  `msg:"e"`
	// LacksBase asks for the version with its body, since the replica has not stored Base.
	LacksBase    bool `msg:"lb,omitempty"`
	SupportsBase bool `msg:"tb,omitempty"` // the replica reads Accept.Base
}

// LeaderHeartbeat is a leader's heartbeat with the newest committed version.
type LeaderHeartbeat struct {
	To        string  `msg:"to"`
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Round     uint64  `msg:"r"`
	Committed Version `msg:"c"`
	// TransferTo names the successor in a leadership transfer.
	TransferTo string `msg:"y"`
	// ContactAt proves that the leader is in contact with a majority. It is a moment on the receiver's own clock, in
	// microseconds, as its replies told it (LeaderHeartbeatReply.Clock), and not later than when the newest heartbeat
	// round was sent that a majority answered. 0 proves nothing.
	ContactAt int64 `msg:"ca,omitempty"`
}

// LeaderHeartbeatReply confirms the leader's term at a replica.
type LeaderHeartbeatReply struct {
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Round     uint64  `msg:"r"`
	Stored    Version `msg:"h"`
	OK        bool    `msg:"ok"`
	// Wall is the sender's wall clock, in microseconds of the Unix epoch.
	Wall        int64 `msg:"w"`
	DiskProblem bool  `msg:"s"`
	// Clock is the sender's monotonic clock in microseconds, from an origin drawn at random at each start of its process.
	Clock int64 `msg:"c,omitempty"`
	// Successor is the replica that is now at the address of the one that was meant, and Zone its zone.
	Successor string `msg:"in,omitempty"`
	Zone      string `msg:"z,omitempty"`
}

// Leave is the request of a voter that stops to be moved out of the group.
type Leave struct {
	To        string `msg:"to"`
	Partition int    `msg:"p"`
	From      string `msg:"f"`
}

// Bootstrap asks a replica without state to consent to a bootstrap, or, with Commit, tells it that all have.
type Bootstrap struct {
	BootstrapID string    `msg:"f"`
	Voters      []Replica `msg:"s"`
	Commit      bool      `msg:"g"`
	// Proposer is the replica that proposed it, and the only one that may complete or withdraw it.
	Proposer Replica `msg:"b"`
	// Withdrawn reports that the bootstrap will never be committed: the consents to it are void.
	Withdrawn bool `msg:"w"`
}

// BootstrapReply consents to a bootstrap, or says why not. Proposer is the one that proposed the bootstrap to which the
// replica has consented already, Bootstrapped reports that a fleet exists, and Forbidden that this disk was empty
// when the platform reported that others are not.
type BootstrapReply struct {
	BootstrapID  string  `msg:"f"`
	From         string  `msg:"r"`
	OK           bool    `msg:"ok"`
	Proposer     Replica `msg:"b"`
	Bootstrapped bool    `msg:"fo"`
	Forbidden    bool    `msg:"n"`
}
