package wire

// Kinds of frames. Their numbers are on the wire, so new kinds are added at the end.
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

// Hello is the first frame on a connection, in both directions. Addr is the sender's mesh address, Purpose is what the
// connection is for, and Proof shows that the sender knows the fleet's secret.
type Hello struct {
	Addr    string `msg:"a"`
	Zone    string `msg:"z,omitempty"`
	Purpose string `msg:"f"`
	Proof   []byte `msg:"p"`
}

// OriginSummary summarizes the entries of one origin that a process has stored: their highest count and a digest of
// them.
type OriginSummary struct {
	Origin    string `msg:"o"`
	Max       uint64 `msg:"m"`
	Sum       uint64 `msg:"s"`
	Heartbeat uint64 `msg:"b,omitempty"`
	// Key and Sig prove that the origin itself signed this heartbeat count.
	Key []byte `msg:"k,omitempty"`
	Sig []byte `msg:"g,omitempty"`
}

// Heartbeat keeps a connection alive, exchanges addresses and lets each side see which entries the other lacks.
type Heartbeat struct {
	Addrs      []string        `msg:"a,omitempty"`
	Summaries  []OriginSummary `msg:"m,omitempty"`
	Partitions []Version       `msg:"p,omitempty"`
	// WantReply requests the entries that the sender lacks, followed directly by the receiver's summaries.
	WantReply bool `msg:"e,omitempty"`
	// Digest covers all entries that the sender has. A sender of a release without digests leaves it 0; Summaries
	// and Partitions then cover all of its entries.
	Digest uint64 `msg:"d,omitempty"`
	// Buckets are the sums of the buckets of origins, from which Digest is computed.
	Buckets []uint64 `msg:"b,omitempty"`
	// Scope has a bit for each bucket whose origins are all in Summaries.
	Scope uint64 `msg:"s,omitempty"`
}

// Links is the announcement of a process's connections. The links of all processes form the graph of the mesh: a
// process without a link to a reachable process is itself not reachable.
type Links struct {
	// Peers are the fingerprints of the peers that recently sent a message, eight bytes each.
	Peers []byte `msg:"p"`
	// Suspects are the peers that timed out.
	Suspects []Suspect `msg:"l,omitempty"`
}

// Suspect is a member that timed out, with the highest known count of its entries. The member refutes the suspicion by
// announcing an entry with a higher count.
type Suspect struct {
	Origin string `msg:"o"`
	Count  uint64 `msg:"c"`
}

// Notice announces an entry that is too large to be sent to peers that may already have it. With Want set, it requests
// the entry.
type Notice struct {
	Type    string  `msg:"ty"`
	ID      string  `msg:"id"`
	Origin  string  `msg:"o"`
	Count   uint64  `msg:"c"`
	Version Version `msg:"st"`
	Hops    uint8   `msg:"h"`
	Want    bool    `msg:"w,omitempty"`
}

// Entry is one signed announcement of a process. Count orders the entries of an origin. At is when the entry was made,
// in microseconds of the origin's clock. Tombstone withdraws the earlier entry of the same type and id.
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
