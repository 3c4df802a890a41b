// The bodies that mesh entries and partition versions carry.

package wire

// Member is what a process tells about itself.
type Member struct {
	Name            string    `msg:"n"`
	Role            string    `msg:"r"`
	Zone            string    `msg:"z"`
	Addr            string    `msg:"a"`
	Caller          string    `msg:"c"`
	Operator        string    `msg:"o"`
	Replica         string    `msg:"s"`
	Bootstrapped    bool      `msg:"f"`
	UnhealthyReason string    `msg:"k"`
	Draining        bool      `msg:"d"`
	InForce         []Version `msg:"i"`
	Started         int64     `msg:"st"`
	// Mesh is the release of the mesh's messages that it speaks; 0 knows of no digests.
	Mesh int `msg:"v,omitempty"`
}

// Backend is one backend as the platform lists it.
type Backend struct {
	ID          string `msg:"i" json:"id"`
	Addr        string `msg:"a" json:"addr"`
	Zone        string `msg:"z" json:"zone"`
	Index       string `msg:"x" json:"index"`
	ShardMap    string `msg:"c" json:"cut"`
	Shard       int    `msg:"s" json:"shard"`
	State       string `msg:"st" json:"state"`
	Incarnation int64  `msg:"n" json:"incarnation"`
	// Pool names the pool that the server belongs to, where it is not a shard of a cut.
	Pool string `msg:"p,omitempty" json:"pool,omitempty"`
	// Slots is how many requests it works on at once; 0 is unknown.
	Slots int `msg:"l,omitempty" json:"slots,omitempty"`
	// WarmUpRemaining is how much longer it stays cold, when the list was read.
	WarmUpRemaining int64 `msg:"w,omitempty" json:"cold_us,omitempty"`
}

// BackendList is one reading of the platform's list.
type BackendList struct {
	Backends []Backend `msg:"s" json:"servers"`
	LeaseID  uint64    `msg:"t" json:"-"`
	// Complete tells that the reading names every server there is: one that is absent is gone.
	Complete bool `msg:"h,omitempty" json:"whole,omitempty"`
	// Calls is how many calls of the platform the reading took; 0 is one.
	Calls int64 `msg:"-" json:"calls,omitempty"`
}

// HealthReport is one observer's view of one server.
type HealthReport struct {
	State       string `msg:"s"`
	Incarnation int64  `msg:"n"`
	Uptime      int64  `msg:"w"`
	Load        int64  `msg:"u"`
	ShardMap    string `msg:"c"`
}

// LoadReport is a node's own rate per index and kind, in inquiries per 10 s.
type LoadReport struct {
	Rates map[string]int64 `msg:"r"`
}

// ConfigBody is the body of the configuration partition.
type ConfigBody struct {
	Config         []byte   `msg:"s"`
	DrainedZones   []string `msg:"e"`
	ActiveBookings []string `msg:"b"`
	ConfigVersion  Version  `msg:"sa"`
	// Routing is the routing table in force, encoded.
	Routing []byte `msg:"ro,omitempty"`
	// Recent, History and Revisions are read of releases before 3; the ledger holds them since.
	LegacyEdits     []LegacyEdit     `msg:"r,omitempty"`
	LegacyHistory   []PastConfig     `msg:"h,omitempty"`
	LegacyRevisions []LegacyRevision `msg:"rv,omitempty"`
}

// LegacyRevision remembers a routing table that was taken, as releases before 3 did.
type LegacyRevision struct {
	Number int64 `msg:"n"`
	// Sum is a digest of what was sent; Base is the revision that it was built on.
	Sum  uint64 `msg:"s"`
	Base int64  `msg:"b"`
	// Version is the version that took it.
	Version Version `msg:"t"`
}

// LegacyEdit remembers the answer to an edit id, as releases before 3 did.
type LegacyEdit struct {
	EditID  string  `msg:"e"`
	Sum     uint64  `msg:"s"`
	Version Version `msg:"t"`
}

// PastConfig is an earlier sheet.
type PastConfig struct {
	Version Version `msg:"t"`
	By      string  `msg:"b"`
	Config  []byte  `msg:"s"`
}

// IndexBody is the body of a partition that holds indexes.
type IndexBody struct {
	ShardMaps    map[string]ShardMap    `msg:"c"`
	LeaseHolders map[string]LeaseHolder `msg:"h"`
	// LegacyEdits is read of releases before 3; the ledger holds it since.
	LegacyEdits []LegacyEdit `msg:"r,omitempty"`
}

// ShardMap is the set of shards that an index is served from, and the one being moved to.
type ShardMap struct {
	Name       string `msg:"n"`
	Shards     int    `msg:"s"`
	Next       string `msg:"x"`
	NextShards int    `msg:"y"`
}

// LeaseHolder is the node that has a duty.
type LeaseHolder struct {
	Node    string `msg:"n"`
	LeaseID uint64 `msg:"t"`
}

// AdmitRequest asks a home node to let an inquiry key in.
type AdmitRequest struct {
	Key   string `msg:"k"`
	Index string `msg:"x"`
	From  string `msg:"f"`
	Sum   uint64 `msg:"s"`
}

// AdmitReply lets in, or gives what the first holder of the key came to.
type AdmitReply struct {
	Key    string `msg:"k"`
	From   string `msg:"f"`
	Name   string `msg:"n"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted tells that an earlier try of the key reached a server, which refused it.
	Attempted bool `msg:"t"`
	// KeyOwners is how many home nodes the key has by the sender's own roster; 0 where it does not say.
	KeyOwners int `msg:"h"`
}

// NodeLocation is a node's name and zone, which decide of which keys it is home.
type NodeLocation struct {
	Name string `msg:"n"`
	Zone string `msg:"z"`
}

// RecordsRequest asks for the records that a node became home of when the roster
// changed, or that it lost.
type RecordsRequest struct {
	Epoch    uint64         `msg:"e"`
	Name     string         `msg:"n"`
	OldNodes []NodeLocation `msg:"b"`
	NewNodes []NodeLocation `msg:"w"`
}

// RecordsReply gives them, in one frame or more; All marks the last.
type RecordsReply struct {
	Epoch   uint64    `msg:"e"`
	Name    string    `msg:"n"`
	Records []Outcome `msg:"r"`
	Last    bool      `msg:"a"`
	// KeyOwners is how many home nodes a key has by the sender's own roster; 0 where it does not say.
	KeyOwners int `msg:"h"`
}

// SeenRequest asks one home of a search's or read's key whether it was sent before, and
// has it remembered; Forget takes that back, since nothing was asked of any server.
type SeenRequest struct {
	Key    string `msg:"k"`
	Forget bool   `msg:"f"`
}

// SeenReply reports whether it was.
type SeenReply struct {
	Key  string `msg:"k"`
	Seen bool   `msg:"b"`
}

// Outcome records the outcome of a claimed key.
type Outcome struct {
	Key    string `msg:"k"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Attempted tells that a server was asked and refused.
	Attempted bool `msg:"t"`
}

// Rebuild asks a core, on an operator's word, to hold a version as the first of
// a group made anew; without Do it only asks whether it would.
type Rebuild struct {
	Partition int       `msg:"p"`
	Apply     bool      `msg:"d"`
	Versioned Versioned `msg:"v"`
	// VersionOnly asks which version is held, and not for its body.
	VersionOnly bool `msg:"r,omitempty"`
}

// RebuildReply says whether it does, and what it holds.
type RebuildReply struct {
	Partition int       `msg:"p"`
	From      string    `msg:"f"`
	OK        bool      `msg:"ok"`
	Reason    string    `msg:"w"`
	Stored    Versioned `msg:"h"`
}
