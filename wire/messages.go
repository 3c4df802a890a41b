// The messages between processes: the mesh's, the groups', the nodes'
// calls to them and the claims of inquiry keys between nodes.
package wire

// Kinds of frames.
const (
	KindHello uint8 = iota + 1
	KindHeartbeat
	KindGossip
	KindVote
	KindVoteReply
	KindAccept
	KindAcceptReply
	KindLeaderHeartbeat
	KindLeaderHeartbeatReply
	KindBootstrap
	KindBootstrapReply
	KindPull
	KindPullReply
	KindEdit
	KindEditReply
	KindLeaseRequest
	KindLeaseReply
	KindClaim
	KindClaimReply
	KindSettle
	KindRebuild
	KindRebuildReply
	KindHandOver
	KindHanded
	KindSeen
	KindSeenReply
	KindNotice
	KindLeave
	KindPiece
	KindPieceAck
	KindStatusRequest
	KindStatusReply
)

// Hello opens a mesh channel.
type Hello struct {
	Addr  string `msg:"a"`
	Zone  string `msg:"z,omitempty"`
	Fleet string `msg:"f"`
	Proof []byte `msg:"p"`
}

// Mark sums up what a process holds of one origin's entries.
type Mark struct {
	Origin string `msg:"o"`
	Max    uint64 `msg:"m"`
	Sum    uint64 `msg:"s"`
	Beat   uint64 `msg:"b,omitempty"`
	// Key and Sig prove that the origin itself came to this beat.
	Key []byte `msg:"k,omitempty"`
	Sig []byte `msg:"g,omitempty"`
}

// Heartbeat keeps a channel alive, exchanges addresses and lets each side see what the other lacks.
type Heartbeat struct {
	Addrs      []string  `msg:"a,omitempty"`
	Marks      []Mark    `msg:"m,omitempty"`
	Partitions []Version `msg:"p,omitempty"`
	// Echo asks for what the sender lacks and then for the other side's marks, at once.
	Echo bool `msg:"e,omitempty"`
	// Digest sums up all that the sender holds. Without one the sender is of a release before,
	// and Marks and Partitions are of all that it holds.
	Digest uint64 `msg:"d,omitempty"`
	// Buckets are the sums that the digest is made of, a bucket of origins each.
	Buckets []uint64 `msg:"b,omitempty"`
	// Scope names, a bit each, the buckets of which Marks has every origin.
	Scope uint64 `msg:"s,omitempty"`
}

// Links is what a process tells of its channels. The mesh's graph is made of these: who is
// linked to nobody that can be reached is not there.
type Links struct {
	// Peers are the fingerprints of those heard of late, eight bytes each.
	Peers []byte `msg:"p"`
	// Lost are those that fell silent.
	Lost []Suspect `msg:"l,omitempty"`
}

// Suspect is a member that fell silent, and the highest count known of its entries; an entry
// of its own with a higher count refutes it.
type Suspect struct {
	Origin string `msg:"o"`
	Count  uint64 `msg:"c"`
}

// Notice tells of an entry too large to be sent to those that may have it; Want asks for it.
type Notice struct {
	Type    string  `msg:"ty"`
	ID      string  `msg:"id"`
	Origin  string  `msg:"o"`
	Count   uint64  `msg:"c"`
	Version Version `msg:"st"`
	Hops    uint8   `msg:"h"`
	Want    bool    `msg:"w,omitempty"`
}

// Version numbers the values of one partition, ordered by term, then by sequence.
type Version struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Seq       uint64 `msg:"s"`
}

// Entry is one signed announcement.
type Entry struct {
	Type    string  `msg:"ty"`
	ID      string  `msg:"id"`
	Origin  []byte  `msg:"o"`
	Count   uint64  `msg:"c"`
	At      int64   `msg:"at"`
	Version Version `msg:"st"`
	Gone    bool    `msg:"g"`
	Body    []byte  `msg:"b"`
	Sig     []byte  `msg:"sg"`
	Hops    uint8   `msg:"h"`
}

// Versioned is one value of a partition's register, with the replicas it binds.
type Versioned struct {
	Version        Version   `msg:"st"`
	Voters         []Replica `msg:"se"`
	PreviousVoters []Replica `msg:"pr"`
	Body           []byte    `msg:"b"`
	// Ledger goes with the body from replica to replica; whoever only reads the body gets none.
	Ledger []byte `msg:"l,omitempty"`
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
	// Named is set when the outgoing leader named this successor.
	Named bool `msg:"n"`
	// Held is the newest version that the candidate holds; a voter with a newer one says so.
	Held Version `msg:"h"`
}

// VoteReply grants or denies a term and shows the newest version held. The body is in it only
// where the term is granted to a candidate that holds an older version.
type VoteReply struct {
	Partition int       `msg:"p"`
	Term      uint64    `msg:"t"`
	From      string    `msg:"f"`
	Pre       bool      `msg:"e"`
	Granted   bool      `msg:"g"`
	Held      Versioned `msg:"h"`
	TakesBase bool      `msg:"tb,omitempty"` // the voter reads Accept.Base
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
	LacksBase bool `msg:"lb,omitempty"`
	TakesBase bool `msg:"tb,omitempty"` // the replica reads Accept.Base
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
	Held        Version `msg:"h"`
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
	Formation string    `msg:"f"`
	Voters    []Replica `msg:"s"`
	Go        bool      `msg:"g"`
	// By is the replica that proposed it, and the only one that may complete or withdraw it.
	By Replica `msg:"b"`
	// Withdrawn tells that it will never be complete: the consents to it are void.
	Withdrawn bool `msg:"w"`
}

// BootstrapReply gives consent, or says why not: By proposed the formation that has it already, Formed
// that a fleet is formed, Never that this disk was empty when the platform said that others are not.
type BootstrapReply struct {
	Formation string  `msg:"f"`
	From      string  `msg:"r"`
	OK        bool    `msg:"ok"`
	By        Replica `msg:"b"`
	Formed    bool    `msg:"fo"`
	Never     bool    `msg:"n"`
}
