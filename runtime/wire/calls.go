// The calls of nodes to cores: newer versions, an operator's edits, duties.

package wire

// Pull asks a core for newer committed versions. A core tells who it is in it; Replica is empty while
// its disk could not take part.
type Pull struct {
	Have    []Version `msg:"h"`
	Addr    string    `msg:"a,omitempty"`
	Replica string    `msg:"s,omitempty"`
	Zone    string    `msg:"z,omitempty"`
}

// PullReply carries them, and who leads which partition.
type PullReply struct {
	Versions []Versioned `msg:"v"`
	Leaders  []Leader    `msg:"o"`
	// Partial tells that newer versions are left out: they are on their way already, or were
	// too large for one reply.
	Partial bool `msg:"pa,omitempty"`
	// ContactMask has a bit for each part of which the sender is, itself, in contact with a majority, and
	// of which the asker now has whatever was acknowledged before that contact.
	ContactMask uint32 `msg:"c,omitempty"`
	// RelayedMask has one where the sender was lately told so by another core.
	RelayedMask uint32 `msg:"r,omitempty"`
}

// Leader tells which replica leads a partition.
type Leader struct {
	Partition int    `msg:"p"`
	Term      uint64 `msg:"t"`
	Replica   string `msg:"s"`
	Addr      string `msg:"a"`
}

//msgp:shim Code as:string using:string/Code
//msgp:ignore Code

// Edit is one operator change for a partition's leader.
type Edit struct {
	Partition int     `msg:"p"`
	EditID    string  `msg:"e"`
	Op        string  `msg:"o"`
	Name      string  `msg:"n"`
	Base      Version `msg:"b"`
	Strict    bool    `msg:"s"`
	Body      []byte  `msg:"d"`
	By        string  `msg:"by"`
}

// EditReply tells what became of an edit.
type EditReply struct {
	Code     Code      `msg:"c"`
	Version  Version   `msg:"s"`
	Findings []Finding `msg:"f"`
	Addr     string    `msg:"a"`
	Body     []byte    `msg:"b"`
}

// Finding is one fault found in what an operator sent, with its place.
type Finding struct {
	Path string `msg:"p" json:"place"`
	Text string `msg:"t" json:"text"`
}

// LeaseRequest asks for, or renews, a duty.
type LeaseRequest struct {
	Partition int    `msg:"p"`
	Task      string `msg:"d"`
	From      string `msg:"f"`
	// Successor names the successor when the holder gives the duty up.
	Successor string `msg:"n"`
	Release   bool   `msg:"x"`
	// Turn is that of the lease which a holder gives up: a late Drop ends no newer one. 0 is any.
	LeaseID uint64 `msg:"t,omitempty"`
}

// LeaseReply says who has the duty, and for how long.
type LeaseReply struct {
	Task     string `msg:"d"`
	Holder   string `msg:"h"`
	Duration int64  `msg:"f"`
	LeaseID  uint64 `msg:"t"`
}
