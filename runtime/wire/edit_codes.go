package wire

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

// Code says what became of an edit. Its text is on the wire and in the operators' API.
type Code string

// Codes that an operator's API passes on.
const (
	CodeOK Code = "ok"
	// CodeInvalid refuses an edit that has faults; Findings lists them. Nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeConflict refuses an edit id that was used for another edit. Nothing was changed.
	CodeConflict Code = "conflict"
	// CodeLostRace refuses an edit that is based on a version which is no longer in force. Nothing was changed.
	CodeLostRace Code = "lost_race"
	// CodeOverloaded rejects an edit that certainly no leader has taken.
	CodeOverloaded Code = "shed"
	// CodeUnknown reports that the edit may have been taken or may still be.
	CodeUnknown Code = "unknown"
)

// Codes that only processes exchange.
const (
	// CodeNotLeader comes from a core that does not lead the partition; Addr is the leader's address where
	// the core knows it. Nothing was taken.
	CodeNotLeader Code = "not_owner"
	// CodeVersion answers OpZoneVersion.
	CodeVersion Code = "version"
	// CodeStale refuses a command about a zone that is bound to another version than the one in
	// force. Nothing was taken.
	CodeStale Code = "stale"
)
