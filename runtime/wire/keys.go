package wire

// Messages between the nodes that store idempotency keys. Several nodes own each key.

// AdmitRequest asks an owner of an idempotency key to admit a request. Sum is the digest of the request's content.
type AdmitRequest struct {
	Key   string `msg:"k"`
	Index string `msg:"x"`
	From  string `msg:"f"`
	Sum   uint64 `msg:"s"`
}

// AdmitReply admits a request, or returns the outcome of the request that was previously admitted under the same key.
type AdmitReply struct {
	Key    string `msg:"k"`
	From   string `msg:"f"`
	Name   string `msg:"n"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted reports whether an earlier attempt under the key reached a backend, which refused it.
	Attempted bool `msg:"t"`
	// KeyOwners is the number of owners of the key according to the sender's roster of nodes; 0 if the sender does
	// not state it.
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

// RecordsReply returns the records of a RecordsRequest in one frame or several; Last marks the last frame.
type RecordsReply struct {
	Epoch   uint64    `msg:"e"`
	Name    string    `msg:"n"`
	Records []Outcome `msg:"r"`
	Last    bool      `msg:"a"`
	// KeyOwners is the number of owners of a key according to the sender's roster of nodes; 0 if the sender does
	// not state it.
	KeyOwners int `msg:"h"`
}

// SeenRequest asks an owner whether the key of a search or read was used before, and records the key as used. With
// Forget set it withdraws that record, because the request was sent to no backend.
type SeenRequest struct {
	Key    string `msg:"k"`
	Forget bool   `msg:"f"`
}

// SeenReply reports whether the key was used before.
type SeenReply struct {
	Key  string `msg:"k"`
	Seen bool   `msg:"b"`
}

// Outcome reports to an owner of a key the outcome of the request that was admitted under the key.
type Outcome struct {
	Key    string `msg:"k"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted reports whether the request was sent to a backend, which refused it.
	Attempted bool `msg:"t"`
}
