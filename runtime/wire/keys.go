package wire

// The messages between the nodes that keep idempotency keys. A key has several owners among the nodes.

// AdmitRequest asks an owner of an idempotency key to admit a request. Sum is the digest of its content.
type AdmitRequest struct {
	Key   string `msg:"k"`
	Index string `msg:"x"`
	From  string `msg:"f"`
	Sum   uint64 `msg:"s"`
}

// AdmitReply admits a request, or returns the outcome of the request that was admitted under the key before.
type AdmitReply struct {
	Key    string `msg:"k"`
	From   string `msg:"f"`
	Name   string `msg:"n"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted reports whether an earlier attempt under the key reached a backend, which refused it.
	Attempted bool `msg:"t"`
	// KeyOwners is how many owners the key has by the sender's own roster; 0 where the sender does not say.
	KeyOwners int `msg:"h"`
}

// NodeLocation is a node's name and zone, which decide which keys it owns.
type NodeLocation struct {
	Name string `msg:"n"`
	Zone string `msg:"z"`
}

// RecordsRequest asks for the records of the keys that a node came to own when the roster changed from OldNodes to
// NewNodes, or that it lost in a restart. Epoch identifies the change.
type RecordsRequest struct {
	Epoch    uint64         `msg:"e"`
	Name     string         `msg:"n"`
	OldNodes []NodeLocation `msg:"b"`
	NewNodes []NodeLocation `msg:"w"`
}

// RecordsReply returns these records, in one frame or several; Last marks the last of them.
type RecordsReply struct {
	Epoch   uint64    `msg:"e"`
	Name    string    `msg:"n"`
	Records []Outcome `msg:"r"`
	Last    bool      `msg:"a"`
	// KeyOwners is how many owners a key has by the sender's own roster; 0 where the sender does not say.
	KeyOwners int `msg:"h"`
}

// SeenRequest asks an owner whether the key of a search or read was used before, and has it remembered. Forget
// takes that back, since the request was sent to no backend.
type SeenRequest struct {
	Key    string `msg:"k"`
	Forget bool   `msg:"f"`
}

// SeenReply reports whether the key was used before.
type SeenReply struct {
	Key  string `msg:"k"`
	Seen bool   `msg:"b"`
}

// Outcome records at an owner what the request admitted under a key came to.
type Outcome struct {
	Key    string `msg:"k"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted reports whether a backend was sent the request and refused it.
	Attempted bool `msg:"t"`
}
