package wire

// Version identifies a value of a partition. Versions are ordered by term, then by sequence.
type Version struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Seq       uint64 `msg:"s"`
}

// Versioned is one value of a partition, with the voters of the group that replicates it. PreviousVoters are the
// voters of the previous version. Committing the version needs a majority of each of the two sets. If this version
// does not change the voters, the sets are equal, and one majority is enough. PreviousVoters is empty in the versions
// of a bootstrap or rebuild.
type Versioned struct {
	Version        Version   `msg:"st"`
	Voters         []Replica `msg:"se"`
	PreviousVoters []Replica `msg:"pr"`
	Body           []byte    `msg:"b"`
	// EditLog is sent with the body between replicas, and never to a process that only reads the body.
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
	// Designated is set when the outgoing leader named the candidate as its successor.
	Designated bool `msg:"n"`
	// Stored is the newest version that the candidate has stored; a voter that has stored a newer version returns it.
	Stored Version `msg:"h"`
}

// VoteReply grants or denies a vote and states the newest version that the voter has stored. It includes the body only
// if the vote is granted to a candidate that has stored an older version.
type VoteReply struct {
	Partition    int       `msg:"p"`
	Term         uint64    `msg:"t"`
	From         string    `msg:"f"`
	Pre          bool      `msg:"e"`
	Granted      bool      `msg:"g"`
	Stored       Versioned `msg:"h"`
	SupportsBase bool      `msg:"tb,omitempty"` // the voter supports Accept.Base
}

// Accept asks a replica to store a version.
type Accept struct {
	To        string    `msg:"to"`
	Partition int       `msg:"p"`
	Term      uint64    `msg:"t"`
	From      string    `msg:"f"`
	Versioned Versioned `msg:"v"`
	// Base, if set, is a version with the same body that the replica has already stored. The body is then
	// omitted.
	Base Version `msg:"b"`
}

// AcceptReply acknowledges that a version is synced to disk, or rejects the version and states the term that the
// replica has voted in.
type AcceptReply struct {
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Version   Version `msg:"st"`
	OK        bool    `msg:"ok"`
	Err       string  `msg:"e"`
	// LacksBase requests the version with its body, because the replica has not stored Base.
	LacksBase    bool `msg:"lb,omitempty"`
	SupportsBase bool `msg:"tb,omitempty"` // the replica supports Accept.Base
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
	// ContactAt proves that the leader was in contact with a majority at that time or later. It is a time on the
	// receiver's own monotonic clock, in microseconds, which the leader knows from the receiver's replies
	// (LeaderHeartbeatReply.Clock). It is no later than the sending of the newest heartbeat round that a majority
	// answered. 0 proves nothing.
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
	// Successor is set if the replica To of the heartbeat no longer runs at its address: Successor is the replica
	// that runs there now, and Zone its zone.
	Successor string `msg:"in,omitempty"`
	Zone      string `msg:"z,omitempty"`
}

// Leave is the request of a stopping voter to be removed from the group.
type Leave struct {
	To        string `msg:"to"`
	Partition int    `msg:"p"`
	From      string `msg:"f"`
}

// Bootstrap asks a replica without state to consent to a bootstrap. With Commit set, it reports that all replicas have
// consented.
type Bootstrap struct {
	BootstrapID string    `msg:"f"`
	Voters      []Replica `msg:"s"`
	Commit      bool      `msg:"g"`
	// Proposer is the replica that proposed the bootstrap, and the only one that may complete or withdraw it.
	Proposer Replica `msg:"b"`
	// Withdrawn reports that the bootstrap will never be committed: all consents to it are void.
	Withdrawn bool `msg:"w"`
}

// BootstrapReply consents to a bootstrap, or states why the replica does not consent: Proposer is the proposer of a
// bootstrap to which the replica has already consented, Bootstrapped reports that a fleet exists, and Forbidden that
// the replica's disk was empty although the platform reported that other disks are not.
type BootstrapReply struct {
	BootstrapID  string  `msg:"f"`
	From         string  `msg:"r"`
	OK           bool    `msg:"ok"`
	Proposer     Replica `msg:"b"`
	Bootstrapped bool    `msg:"fo"`
	Forbidden    bool    `msg:"n"`
}
