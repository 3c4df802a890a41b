// The kinds of frames between processes, and the messages of the mesh.

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
	KindAdmitRequest
	KindAdmitReply
	KindOutcome
	KindRebuild
	KindRebuildReply
	KindRecordsRequest
	KindRecordsReply
	KindSeenRequest
	KindSeenReply
	KindNotice
	KindLeave
	KindChunk
	KindChunkAck
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

// OriginSummary sums up what a process holds of one origin's entries.
type OriginSummary struct {
	Origin    string `msg:"o"`
	Max       uint64 `msg:"m"`
	Sum       uint64 `msg:"s"`
	Heartbeat uint64 `msg:"b,omitempty"`
	// Key and Sig prove that the origin itself came to this beat.
	Key []byte `msg:"k,omitempty"`
	Sig []byte `msg:"g,omitempty"`
}

// Heartbeat keeps a channel alive, exchanges addresses and lets each side see what the other lacks.
type Heartbeat struct {
	Addrs      []string        `msg:"a,omitempty"`
	Summaries  []OriginSummary `msg:"m,omitempty"`
	Partitions []Version       `msg:"p,omitempty"`
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
	// Suspects are those that fell silent.
	Suspects []Suspect `msg:"l,omitempty"`
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

// Entry is one signed announcement.
type Entry struct {
	Type      string  `msg:"ty"`
	ID        string  `msg:"id"`
	Origin    []byte  `msg:"o"`
	Count     uint64  `msg:"c"`
	At        int64   `msg:"at"`
	Version   Version `msg:"st"`
	Tombstone bool    `msg:"g"`
	Body      []byte  `msg:"b"`
	Sig       []byte  `msg:"sg"`
	Hops      uint8   `msg:"h"`
}
