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

// Operations of an Edit that only read. The leader confirms each with a majority after it arrived.
const (
	// OpRead returns the partition's body.
	OpRead = "read"
	// OpHistory returns the earlier configurations, as an EditLog with only its History filled in.
	OpHistory = "history"
	// OpZoneVersion returns the version that last took a command about the zone in Edit.Name.
	OpZoneVersion = "zone_version"
)

// Operations of an Edit that change the configuration partition.
const (
	// OpPutRouting replaces the routing table.
	OpPutRouting = "routing"
	// OpPutConfig replaces the whole configuration.
	OpPutConfig = "put"
	// OpEditRows sets or removes single rows of the configuration.
	OpEditRows = "rows"
	// OpRevertConfig puts the earlier configuration whose version Edit.Name gives in force again.
	OpRevertConfig = "return"
	// OpDrainZone and OpRestoreZone take a zone's backends out of service and return them to it.
	OpDrainZone   = "empty"
	OpRestoreZone = "refill"
)

// Operations of an Edit that change a partition of indexes.
const (
	// OpReshard begins to move an index to another shard map.
	OpReshard = "cut"
	// OpSwitchShardMap puts the next shard map of an index in force.
	OpSwitchShardMap = "flip"
)

// OpRebuild names a rebuild of a partition's group in the audit. It is never the operation of an Edit.
const OpRebuild = "rebuild"

// Codes of an EditReply that an operator's API passes on.
const (
	CodeOK = "ok"
	// CodeInvalid refuses an edit that has faults; Findings lists them. Nothing was changed.
	CodeInvalid = "invalid"
	// CodeConflict refuses an edit id that was used for another edit. Nothing was changed.
	CodeConflict = "conflict"
	// CodeLostRace refuses an edit that is based on a version which is no longer in force. Nothing was changed.
	CodeLostRace = "lost_race"
	// CodeOverloaded rejects an edit that certainly no leader has taken.
	CodeOverloaded = "shed"
	// CodeUnknown reports that the edit may have been taken or may still be.
	CodeUnknown = "unknown"
)

// Codes of an EditReply that only processes exchange.
const (
	// CodeNotLeader comes from a core that does not lead the partition; Addr is the leader's address where
	// the core knows it. Nothing was taken.
	CodeNotLeader = "not_owner"
	// CodeVersion answers OpZoneVersion.
	CodeVersion = "version"
	// CodeStale refuses a command about a zone that is bound to another version than the one in
	// force. Nothing was taken.
	CodeStale = "stale"
)

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
	Code     string    `msg:"c"`
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
