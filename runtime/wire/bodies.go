package wire

// The bodies of the mesh's entries.

// Member describes the process that announces it.
type Member struct {
	Name string `msg:"n"`
	// Role is "node" or "core".
	Role string `msg:"r"`
	Zone string `msg:"z"`
	// Addr is the process's mesh address; Caller and Operator are the addresses of its APIs.
	Addr     string `msg:"a"`
	Caller   string `msg:"c"`
	Operator string `msg:"o"`
	// Replica is the id of a core's replicas, empty while it has none.
	Replica string `msg:"s"`
	// Bootstrapped reports whether the core has stored that a fleet was bootstrapped.
	Bootstrapped bool `msg:"f"`
	// UnhealthyReason states why the core's disk cannot be relied on; empty if it can.
	UnhealthyReason string `msg:"k"`
	Draining        bool   `msg:"d"`
	// InForce are the versions of the partitions that are in force in the process.
	InForce []Version `msg:"i"`
	// Started is when the process started, in microseconds of the Unix epoch.
	Started int64 `msg:"st"`
	// Mesh is the release of the mesh protocol that the process uses; release 0 has no digests.
	Mesh int `msg:"v,omitempty"`
}

// Backend is one backend as the platform lists it. Its JSON form is used in files that contain a list of backends.
type Backend struct {
	ID          string `msg:"i" json:"id"`
	Addr        string `msg:"a" json:"addr"`
	Zone        string `msg:"z" json:"zone"`
	Index       string `msg:"x" json:"index"`
	ShardMap    string `msg:"c" json:"cut"`
	Shard       int    `msg:"s" json:"shard"`
	State       string `msg:"st" json:"state"`
	Incarnation int64  `msg:"n" json:"incarnation"`
	// Pool is the pool that the backend belongs to; empty for a backend that serves a shard.
	Pool string `msg:"p,omitempty" json:"pool,omitempty"`
	// Slots is the number of requests that the backend processes concurrently; 0 means unknown.
	Slots int `msg:"l,omitempty" json:"slots,omitempty"`
	// WarmUpRemaining is the remaining warm-up time, in microseconds from when the list was read.
	WarmUpRemaining int64 `msg:"w,omitempty" json:"cold_us,omitempty"`
}

// BackendList is the platform's list of backends, as returned by one reading.
type BackendList struct {
	Backends []Backend `msg:"s" json:"servers"`
	// LeaseID is the lease under which the list was read. It is the fencing token of the discovery task.
	LeaseID uint64 `msg:"t" json:"-"`
	// Complete reports whether the list has every backend, so that a backend missing from it no longer exists.
	Complete bool `msg:"h,omitempty" json:"whole,omitempty"`
	// Calls is the number of calls to the platform that the reading took; 0 means one. It is not encoded with msgp.
	Calls int64 `msg:"-" json:"calls,omitempty"`
}

// HealthReport is one observer's view of one backend.
type HealthReport struct {
	State string `msg:"s"`
	// Incarnation identifies the start of the backend that the report is about.
	Incarnation int64 `msg:"n"`
	// Uptime is how long that incarnation had been running, in microseconds.
	Uptime   int64  `msg:"w"`
	Load     int64  `msg:"u"`
	ShardMap string `msg:"c"`
}

// LoadReport is a node's own rates by index and kind of request, in requests per 10 s.
type LoadReport struct {
	Rates map[string]int64 `msg:"r"`
}

// The bodies of the partitions.

// ConfigBody is the body of the configuration partition.
type ConfigBody struct {
	// Config is the configuration in force, encoded, and ConfigVersion the version that set it.
	Config         []byte   `msg:"s"`
	DrainedZones   []string `msg:"e"`
	ActiveBookings []string `msg:"b"`
	ConfigVersion  Version  `msg:"sa"`
	// Routing is the routing table in force, encoded.
	Routing []byte `msg:"ro,omitempty"`
	// LegacyEdits, LegacyHistory and LegacyRevisions were written by releases before 3; EditLog replaces them.
	LegacyEdits     []LegacyEdit     `msg:"r,omitempty"`
	LegacyHistory   []PastConfig     `msg:"h,omitempty"`
	LegacyRevisions []LegacyRevision `msg:"rv,omitempty"`
}

// LegacyRevision is an applied routing table as releases before 3 recorded it.
type LegacyRevision struct {
	Number int64 `msg:"n"`
	// Sum is a digest of the request, and Base the revision that it was based on.
	Sum  uint64 `msg:"s"`
	Base int64  `msg:"b"`
	// Version is the version that applied the routing table.
	Version Version `msg:"t"`
}

// LegacyEdit is an applied edit with an id, as releases before 3 recorded it.
type LegacyEdit struct {
	EditID  string  `msg:"e"`
	Sum     uint64  `msg:"s"`
	Version Version `msg:"t"`
}

// PastConfig is an earlier configuration, or the one in force: its version, who set it, and its encoding.
type PastConfig struct {
	Version Version `msg:"t"`
	By      string  `msg:"b"`
	Config  []byte  `msg:"s"`
}

// IndexBody is the body of a partition that holds indexes.
type IndexBody struct {
	ShardMaps    map[string]ShardMap    `msg:"c"`
	LeaseHolders map[string]LeaseHolder `msg:"h"`
	// LegacyEdits was written by releases before 3; EditLog replaces it.
	LegacyEdits []LegacyEdit `msg:"r,omitempty"`
}

// ShardMap is the set of shards that an index is served from, and the next set while the index is resharded.
type ShardMap struct {
	Name       string `msg:"n"`
	Shards     int    `msg:"s"`
	Next       string `msg:"x"`
	NextShards int    `msg:"y"`
}

// LeaseHolder is the node that holds the lease of a singleton task, and the lease's id.
type LeaseHolder struct {
	Node    string `msg:"n"`
	LeaseID uint64 `msg:"t"`
}
