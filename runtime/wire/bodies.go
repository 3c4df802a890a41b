// The bodies that mesh entries and partition versions carry.

package wire

// Member is what a process tells about itself.
type Member struct {
	Name     string    `msg:"n"`
	Role     string    `msg:"r"`
	Zone     string    `msg:"z"`
	Addr     string    `msg:"a"`
	Caller   string    `msg:"c"`
	Operator string    `msg:"o"`
	Replica  string    `msg:"s"`
	Formed   bool      `msg:"f"`
	Sick     string    `msg:"k"`
	Draining bool      `msg:"d"`
	InForce  []Version `msg:"i"`
	Started  int64     `msg:"st"`
	// Mesh is the release of the mesh's messages that it speaks; 0 knows of no digests.
	Mesh int `msg:"v,omitempty"`
}

// Server is one backend as the platform lists it.
type Server struct {
	ID          string `msg:"i" json:"id"`
	Addr        string `msg:"a" json:"addr"`
	Zone        string `msg:"z" json:"zone"`
	Index       string `msg:"x" json:"index"`
	Cut         string `msg:"c" json:"cut"`
	Shard       int    `msg:"s" json:"shard"`
	State       string `msg:"st" json:"state"`
	Incarnation int64  `msg:"n" json:"incarnation"`
	// Pool names the pool that the server belongs to, where it is not a shard of a cut.
	Pool string `msg:"p,omitempty" json:"pool,omitempty"`
	// Slots is how many requests it works on at once; 0 is unknown.
	Slots int `msg:"l,omitempty" json:"slots,omitempty"`
	// ColdUs is how much longer it stays cold, when the list was read.
	ColdUs int64 `msg:"w,omitempty" json:"cold_us,omitempty"`
}

// Listing is one reading of the platform's list.
type Listing struct {
	Servers []Server `msg:"s" json:"servers"`
	Turn    uint64   `msg:"t" json:"-"`
	// Whole tells that the reading names every server there is: one that is absent is gone.
	Whole bool `msg:"h,omitempty" json:"whole,omitempty"`
	// Calls is how many calls of the platform the reading took; 0 is one.
	Calls int64 `msg:"-" json:"calls,omitempty"`
}

// Opinion is one observer's view of one server.
type Opinion struct {
	State       string `msg:"s"`
	Incarnation int64  `msg:"n"`
	Up          int64  `msg:"w"`
	Usage       int64  `msg:"u"`
	Cut         string `msg:"c"`
}

// UsageReport is a node's own rate per index and kind, in inquiries per 10 s.
type UsageReport struct {
	Rates map[string]int64 `msg:"r"`
}

// ConfigBody is the body of the configuration partition.
type ConfigBody struct {
	Sheet        []byte   `msg:"s"`
	DrainedZones []string `msg:"e"`
	Running      []string `msg:"b"`
	SheetAt      Version  `msg:"sa"`
	// Routing is the routing table in force, encoded.
	Routing []byte `msg:"ro,omitempty"`
	// Recent, History and Revisions are read of releases before 3; the ledger holds them since.
	Recent    []Done     `msg:"r,omitempty"`
	History   []Past     `msg:"h,omitempty"`
	Revisions []Revision `msg:"rv,omitempty"`
}

// Revision remembers a routing table that was taken, as releases before 3 did.
type Revision struct {
	Number int64 `msg:"n"`
	// Sum is a digest of what was sent; Base is the revision that it was built on.
	Sum  uint64 `msg:"s"`
	Base int64  `msg:"b"`
	// Version is the version that took it.
	Version Version `msg:"t"`
}

// Done remembers the answer to an edit id, as releases before 3 did.
type Done struct {
	EditID  string  `msg:"e"`
	Sum     uint64  `msg:"s"`
	Version Version `msg:"t"`
}

// Past is an earlier sheet.
type Past struct {
	Version Version `msg:"t"`
	By      string  `msg:"b"`
	Sheet   []byte  `msg:"s"`
}

// IndexBody is the body of a partition that holds indexes.
type IndexBody struct {
	Cuts    map[string]LiveCut `msg:"c"`
	Holders map[string]Holder  `msg:"h"`
	// Recent is read of releases before 3; the ledger holds it since.
	Recent []Done `msg:"r,omitempty"`
}

// LiveCut is the set of shards that an index is served from, and the one being moved to.
type LiveCut struct {
	Name       string `msg:"n"`
	Shards     int    `msg:"s"`
	Next       string `msg:"x"`
	NextShards int    `msg:"y"`
}

// Holder is the node that has a duty.
type Holder struct {
	Node string `msg:"n"`
	Turn uint64 `msg:"t"`
}

// Claim asks a home node to let an inquiry key in.
type Claim struct {
	Key   string `msg:"k"`
	Index string `msg:"x"`
	From  string `msg:"f"`
	Sum   uint64 `msg:"s"`
}

// ClaimReply lets in, or gives what the first holder of the key came to.
type ClaimReply struct {
	Key    string `msg:"k"`
	From   string `msg:"f"`
	Name   string `msg:"n"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Tried tells that an earlier try of the key reached a server, which refused it.
	Tried bool `msg:"t"`
	// Homes is how many home nodes the key has by the sender's own roster; 0 where it does not say.
	Homes int `msg:"h"`
}

// Place is a node's name and zone, which decide of which keys it is home.
type Place struct {
	Name string `msg:"n"`
	Zone string `msg:"z"`
}

// HandOver asks for the records that a node became home of when the roster
// changed, or that it lost.
type HandOver struct {
	N      uint64  `msg:"e"`
	Name   string  `msg:"n"`
	Before []Place `msg:"b"`
	Now    []Place `msg:"w"`
}

// Handed gives them, in one frame or more; All marks the last.
type Handed struct {
	N       uint64   `msg:"e"`
	Name    string   `msg:"n"`
	Records []Settle `msg:"r"`
	All     bool     `msg:"a"`
	// Homes is how many home nodes a key has by the sender's own roster; 0 where it does not say.
	Homes int `msg:"h"`
}

// Seen asks one home of a search's or read's key whether it was sent before, and
// has it remembered; Forget takes that back, since nothing was asked of any server.
type Seen struct {
	Key    string `msg:"k"`
	Forget bool   `msg:"f"`
}

// SeenReply reports whether it was.
type SeenReply struct {
	Key    string `msg:"k"`
	Before bool   `msg:"b"`
}

// Settle records the outcome of a claimed key.
type Settle struct {
	Key    string `msg:"k"`
	Code   string `msg:"c"`
	Status int    `msg:"st"`
	Body   []byte `msg:"b"`
	// Tried tells that a server was asked and refused.
	Tried bool `msg:"t"`
}

// Rebuild asks a core, on an operator's word, to hold a version as the first of
// a group made anew; without Do it only asks whether it would.
type Rebuild struct {
	Partition int       `msg:"p"`
	Do        bool      `msg:"d"`
	Versioned Versioned `msg:"v"`
	// Brief asks which version is held, and not for its body.
	Brief bool `msg:"r,omitempty"`
}

// RebuildReply says whether it does, and what it holds.
type RebuildReply struct {
	Partition int       `msg:"p"`
	From      string    `msg:"f"`
	OK        bool      `msg:"ok"`
	Why       string    `msg:"w"`
	Held      Versioned `msg:"h"`
}
