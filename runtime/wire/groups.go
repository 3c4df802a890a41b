// The messages of the groups that keep the control state: versions, votes, acceptance,
// heartbeats, changes of members and the first start.

package wire

// Version numbers the values of one partition, ordered by term, then by sequence.
type Version struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Seq       uint64 `msg:"s"`
}

// Versioned is one value of a partition's register, with the replicas it binds.
type Versioned struct {
	Version        Version   `msg:"st"`
	Voters         []Replica `msg:"se"`
	PreviousVoters []Replica `msg:"pr"`
	Body           []byte    `msg:"b"`
	// EditLog goes with the body from replica to replica; whoever only reads the body gets none.
	EditLog []byte `msg:"l,omitempty"`
}

// Replica is one member of a partition's group.
type Replica struct {
	ID   string `msg:"i"`
	Zone string `msg:"z"`
	Addr string `msg:"a"`
}

// Vote asks for a term. Pre asks only whether it would be given.
type Vote struct {
	To        string `msg:"to"`
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	From      string `msg:"f"`
	Pre       bool   `msg:"e"`
	// Designated is set when the outgoing leader named this successor.
	Designated bool `msg:"n"`
	// Stored is the newest version that the candidate holds; a voter with a newer one says so.
	Stored Version `msg:"h"`
}

// VoteReply grants or denies a term and shows the newest version held. The body is in it only
// where the term is granted to a candidate that holds an older version.
type VoteReply struct {
	Partition    int       `msg:"p"`
	Term         uint64    `msg:"t"`
	From         string    `msg:"f"`
	Pre          bool      `msg:"e"`
	Granted      bool      `msg:"g"`
	Stored       Versioned `msg:"h"`
	SupportsBase bool      `msg:"tb,omitempty"` // the voter reads Accept.Base
}

// Accept asks a replica to hold a version.
type Accept struct {
	To        string    `msg:"to"`
	Partition int       `msg:"p"`
	Term      uint64    `msg:"t"`
	From      string    `msg:"f"`
	Versioned Versioned `msg:"v"`
	// Base, where it is set, is the version whose body this one has: the replica holds it, and
	// the body is left out.
	Base Version `msg:"b"`
}

// AcceptReply says that a version is synced, or which term stands against it.
type AcceptReply struct {
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Version   Version `msg:"st"`
	OK        bool    `msg:"ok"`
	Err       string  `msg:"e"`
	// LacksBase asks for the version with its body.
	LacksBase    bool `msg:"lb,omitempty"`
	SupportsBase bool `msg:"tb,omitempty"` // the replica reads Accept.Base
}

// LeaderHeartbeat is a leader's sign of life with the newest committed version.
type LeaderHeartbeat struct {
	To        string  `msg:"to"`
	Partition int     `msg:"p"`
	Term      uint64  `msg:"t"`
	From      string  `msg:"f"`
	Round     uint64  `msg:"r"`
	Committed Version `msg:"c"`
	// Yield names the successor in a planned handover.
	TransferTo string `msg:"y"`
	// ContactAt proves that the leader is in contact with a majority: a moment, on the receiver's own
	// clock as its answers told it (LeaderHeartbeatReply.Clock), that is not later than the sending of the newest
	// heartbeat round that a majority answered. 0 proves nothing.
	ContactAt int64 `msg:"ca,omitempty"`
}

// LeaderHeartbeatReply confirms the leader's term at a replica.
type LeaderHeartbeatReply struct {
	Partition   int     `msg:"p"`
	Term        uint64  `msg:"t"`
	From        string  `msg:"f"`
	Round       uint64  `msg:"r"`
	Stored      Version `msg:"h"`
	OK          bool    `msg:"ok"`
	Wall        int64   `msg:"w"`
	DiskProblem bool    `msg:"s"`
	// Clock is the sender's steady clock, from an origin drawn anew at each start of its process.
	Clock int64 `msg:"c,omitempty"`
	// Successor is the replica that is now where the one that was meant used to be, and Zone is its zone.
	Successor string `msg:"in,omitempty"`
	Zone      string `msg:"z,omitempty"`
}

// Leave is a stopping voter's request to the leader to be moved out of the group.
type Leave struct {
	To        string `msg:"to"`
	Partition int    `msg:"p"`
	From      string `msg:"f"`
}

// Bootstrap asks an empty replica's consent to a formation, or tells that all gave it.
type Bootstrap struct {
	BootstrapID string    `msg:"f"`
	Voters      []Replica `msg:"s"`
	Commit      bool      `msg:"g"`
	// Proposer is the replica that proposed it, and the only one that may complete or withdraw it.
	Proposer Replica `msg:"b"`
	// Withdrawn tells that it will never be complete: the consents to it are void.
	Withdrawn bool `msg:"w"`
}

// BootstrapReply gives consent, or says why not: By proposed the formation that has it already, Formed
// that a fleet is formed, Never that this disk was empty when the platform said that others are not.
type BootstrapReply struct {
	BootstrapID  string  `msg:"f"`
	From         string  `msg:"r"`
	OK           bool    `msg:"ok"`
	Proposer     Replica `msg:"b"`
	Bootstrapped bool    `msg:"fo"`
	Forbidden    bool    `msg:"n"`
}
