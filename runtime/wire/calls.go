package wire

// Pull asks a core for newer committed versions than those in Have. A core that pulls names itself; Replica is
// empty while its disk cannot be relied on.
type Pull struct {
	Have    []Version `msg:"h"`
	Addr    string    `msg:"a,omitempty"`
	Replica string    `msg:"s,omitempty"`
	Zone    string    `msg:"z,omitempty"`
}

// PullReply returns the newer versions, and the leaders of the partitions as far as the core knows them.
type PullReply struct {
	Versions []Versioned `msg:"v"`
	Leaders  []Leader    `msg:"o"`
	// Partial reports whether newer versions were left out, since they are being sent already or were
	// too large for one reply.
	Partial bool `msg:"pa,omitempty"`
	// ContactMask has a bit for each partition of which the sender itself is in contact with a majority and
	// the receiver now has everything that was acknowledged before that contact.
	ContactMask uint32 `msg:"c,omitempty"`
	// RelayedMask has a bit where another core lately told the sender so.
	RelayedMask uint32 `msg:"r,omitempty"`
}

// Leader names the replica that leads a partition, with its term and mesh address.
type Leader struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Replica   string `msg:"s"`
	Addr      string `msg:"a"`
}

//msgp:shim Code as:string using:string/Code
//msgp:ignore Code

// Edit is an operator's change, or a read, for a partition's leader.
type Edit struct {
	Partition int `msg:"p"`
	// EditID makes the edit idempotent: a repetition gets the first one's reply.
	EditID string `msg:"e"`
	// Op is one of the operations, and Name what it is about: a zone, an index or a version.
	Op   string `msg:"o"`
	Name string `msg:"n"`
	// Base is the version that the edit is based on. Strict is set where the caller must name it, and is read
	// only by the process that takes the call: a leader checks the base of every edit, by its operation.
	Base   Version `msg:"b"`
	Strict bool    `msg:"s"`
	Body   []byte  `msg:"d"`
	// By is who made the change, for the audit.
	By string `msg:"by"`
}

// EditReply says what became of an edit, with the version that took it or the one in force. Addr is the address of
// the leader where the sender is not it, and Body what a read returns.
type EditReply struct {
	Code     Code      `msg:"c"`
	Version  Version   `msg:"s"`
	Findings []Finding `msg:"f"`
	Addr     string    `msg:"a"`
	Body     []byte    `msg:"b"`
}

// Finding is one fault found in what an operator sent, with the path of the faulty field.
type Finding struct {
	Path string `msg:"p" json:"place"`
	Text string `msg:"t" json:"text"`
}

// LeaseRequest requests, renews or releases the lease of a singleton task.
type LeaseRequest struct {
	Partition int    `msg:"p"`
	Task      string `msg:"d"`
	From      string `msg:"f"`
	// Successor is the node that the holder wants to take over when it releases the lease.
	Successor string `msg:"n"`
	Release   bool   `msg:"x"`
	// LeaseID is the lease to release, so that a late release ends no newer lease. 0 means any.
	LeaseID uint64 `msg:"t,omitempty"`
}

// LeaseReply says who has the lease. Duration is how much longer, in microseconds counted from when the request
// was sent.
type LeaseReply struct {
	Task     string `msg:"d"`
	Holder   string `msg:"h"`
	Duration int64  `msg:"f"`
	LeaseID  uint64 `msg:"t"`
}

// The messages of a rebuild of a partition's group.

// Rebuild asks a core, on an operator's command, to store a version as the first one of a rebuilt group. Without
// Apply it only asks whether the core would, and which version it has stored.
type Rebuild struct {
	Partition int       `msg:"p"`
	Apply     bool      `msg:"d"`
	Versioned Versioned `msg:"v"`
	// VersionOnly asks for the number of the stored version without its body.
	VersionOnly bool `msg:"r,omitempty"`
}

// RebuildReply says whether the core consents, the reason where it does not, and the version that it has stored.
type RebuildReply struct {
	Partition int       `msg:"p"`
	From      string    `msg:"f"`
	OK        bool      `msg:"ok"`
	Reason    string    `msg:"w"`
	Stored    Versioned `msg:"h"`
}
