package wire

// Pull asks a core for committed versions newer than those in Have. If the sender is a core, Addr, Replica and Zone
// identify it; Replica is empty while its disk cannot be relied on.
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
	// Partial reports whether newer versions were omitted because they are already being sent or are too
	// large for one reply.
	Partial bool `msg:"pa,omitempty"`
	// ContactMask has a bit for each partition for which two conditions hold: the sender itself is in contact
	// with a majority, and the receiver now has everything that was acknowledged before that contact.
	ContactMask uint32 `msg:"c,omitempty"`
	// RelayedMask has a bit for each partition for which another core recently reported such a contact to the
	// sender.
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

// Edit asks a partition's leader to apply an operator's change to the partition, or to read the partition.
type Edit struct {
	Partition int `msg:"p"`
	// EditID makes the edit idempotent: a repeated edit with the same id gets the reply to the first one.
	EditID string `msg:"e"`
	// Op is one of the Op constants, and Name its target: a zone, an index or a version.
	Op   string `msg:"o"`
	Name string `msg:"n"`
	// Base is the version that the edit is based on. Strict is set if the caller must state a base. Only the process
	// that receives the call reads Strict: a leader checks the base of every edit, according to its operation.
	Base   Version `msg:"b"`
	Strict bool    `msg:"s"`
	Body   []byte  `msg:"d"`
	// By names who made the change, for the audit log.
	By string `msg:"by"`
}

// EditReply is the result of an edit. Version is the version that applied the edit or, if the edit was not applied,
// the version in force. Addr is the address of the leader if the sender is not the leader, and Body the result of a
// read.
type EditReply struct {
	Code     Code      `msg:"c"`
	Version  Version   `msg:"s"`
	Findings []Finding `msg:"f"`
	Addr     string    `msg:"a"`
	Body     []byte    `msg:"b"`
}

// Finding is one fault in an operator's request, with the path of the faulty field.
type Finding struct {
	Path string `msg:"p" json:"place"`
	Text string `msg:"t" json:"text"`
}

// LeaseRequest requests, renews or releases the lease of a singleton task.
type LeaseRequest struct {
	Partition int    `msg:"p"`
	Task      string `msg:"d"`
	From      string `msg:"f"`
	// Successor is the node to which the holder hands over the lease when it releases it.
	Successor string `msg:"n"`
	Release   bool   `msg:"x"`
	// LeaseID is the lease to release, so that a delayed release does not end a newer lease. 0 means any.
	LeaseID uint64 `msg:"t,omitempty"`
}

// LeaseReply names the holder of the lease. Duration is the remaining time of the lease, in microseconds from when the
// request was sent.
type LeaseReply struct {
	Task     string `msg:"d"`
	Holder   string `msg:"h"`
	Duration int64  `msg:"f"`
	LeaseID  uint64 `msg:"t"`
}

// Messages of a rebuild of a partition's group.

// Rebuild asks a core, on an operator's command, to store a version as the first one of a rebuilt group. Without
// Apply it only asks whether the core would consent, and which version it has stored.
type Rebuild struct {
	Partition int       `msg:"p"`
	Apply     bool      `msg:"d"`
	Versioned Versioned `msg:"v"`
	// VersionOnly requests the number of the stored version without its body.
	VersionOnly bool `msg:"r,omitempty"`
}

// RebuildReply states whether the core consents, the reason if it does not, and the version that it has stored.
type RebuildReply struct {
	Partition int       `msg:"p"`
	From      string    `msg:"f"`
	OK        bool      `msg:"ok"`
	Reason    string    `msg:"w"`
	Stored    Versioned `msg:"h"`
}
