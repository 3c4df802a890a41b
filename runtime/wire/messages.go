package wire

// Kinds of frames. Their numbers are on the wire: a new kind goes to the end.
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

// Hello opens a connection of the mesh. Proof shows that the sender knows the fleet's secret.
type Hello struct {
	Addr  string `msg:"a"`
	Zone  string `msg:"z,omitempty"`
	Fleet string `msg:"f"`
	Proof []byte `msg:"p"`
}

// OriginSummary sums up the entries of one origin that a process has: the highest count and a digest.
type OriginSummary struct {
	Origin    string `msg:"o"`
	Max       uint64 `msg:"m"`
	Sum       uint64 `msg:"s"`
	Heartbeat uint64 `msg:"b,omitempty"`
	// Key and Sig prove that the origin itself sent this heartbeat.
	Key []byte `msg:"k,omitempty"`
	Sig []byte `msg:"g,omitempty"`
}

// Heartbeat keeps a connection alive, exchanges addresses and lets each side see which entries the other lacks.
type Heartbeat struct {
	Addrs      []string        `msg:"a,omitempty"`
	Summaries  []OriginSummary `msg:"m,omitempty"`
	Partitions []Version       `msg:"p,omitempty"`
	// Echo asks for the entries that the sender lacks and then, at once, for the other side's summaries.
	Echo bool `msg:"e,omitempty"`
	// Digest sums up everything that the sender has. A sender of a release without digests leaves it 0; Summaries
	// and Partitions then cover everything that it has.
	Digest uint64 `msg:"d,omitempty"`
	// Buckets are the digests that Digest is made of, each of a bucket of origins.
	Buckets []uint64 `msg:"b,omitempty"`
	// Scope has a bit for each bucket of which Summaries has every origin.
	Scope uint64 `msg:"s,omitempty"`
}

// Links is what a process announces of its connections. They make up the mesh's graph: a process that is linked to none
// that can be reached counts as absent.
type Links struct {
	// Peers are the fingerprints of the peers heard from lately, eight bytes each.
	Peers []byte `msg:"p"`
	// Suspects are the peers that timed out.
	Suspects []Suspect `msg:"l,omitempty"`
}

// Suspect is a member that timed out, and the highest count known of its entries. An entry of its own with a higher
// count refutes the suspicion.
type Suspect struct {
	Origin string `msg:"o"`
	Count  uint64 `msg:"c"`
}

// Notice announces an entry that is too large to be sent to peers which may have it. With Want set it requests the entry.
type Notice struct {
	Type    string  `msg:"ty"`
	ID      string  `msg:"id"`
	Origin  string  `msg:"o"`
	Count   uint64  `msg:"c"`
	Version Version `msg:"st"`
	Hops    uint8   `msg:"h"`
	Want    bool    `msg:"w,omitempty"`
}

// Entry is one signed announcement of a process. Count orders the entries of an origin, At is when it was made in
// microseconds of the origin's clock, and Tombstone withdraws the entry.
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
