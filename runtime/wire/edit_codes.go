package wire

// Operations of an Edit that only read. The leader replies to a read only after a majority has confirmed its
// leadership since the read arrived.
const (
	// OpRead returns the partition's body.
	OpRead = "read"
	// OpHistory returns the earlier configurations, as an EditLog with only its History filled in.
	OpHistory = "history"
	// OpZoneVersion returns the version that applied the last command about the zone in Edit.Name.
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
	// OpRevertConfig restores the earlier configuration whose version is in Edit.Name.
	OpRevertConfig = "return"
	// OpDrainZone and OpRestoreZone take a zone's backends out of service and return them to it.
	OpDrainZone   = "empty"
	OpRestoreZone = "refill"
)

// Operations of an Edit that change a partition of indexes.
const (
	// OpReshard starts moving an index to another shard map.
	OpReshard = "cut"
	// OpSwitchShardMap puts the next shard map of an index in force.
	OpSwitchShardMap = "flip"
)

// OpRebuild denotes a rebuild of a partition's group in the audit log. It is never the operation of an Edit.
const OpRebuild = "rebuild"

// Code is the result of an edit. Its text is on the wire and in the operator API.
type Code string

// Codes that the operator API returns.
const (
	CodeOK Code = "ok"
	// CodeInvalid rejects an edit that has faults; Findings lists them. Nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeConflict rejects an edit whose id was used for another edit. Nothing was changed.
	CodeConflict Code = "conflict"
	// CodeLostRace rejects an edit whose base is a version that is no longer in force. Nothing was changed.
	CodeLostRace Code = "lost_race"
	// CodeOverloaded reports that certainly no leader has applied the edit, or that no leader could serve the read.
	CodeOverloaded Code = "shed"
	// CodeUnknown reports that the outcome is unknown: the edit may have been applied, or may yet be applied.
	CodeUnknown Code = "unknown"
)

// Codes that are used only between processes.
const (
	// CodeNotLeader is returned by a core that does not lead the partition; Addr is the leader's address if
	// the core knows it. Nothing was changed.
	CodeNotLeader Code = "not_owner"
	// CodeVersion is the result of OpZoneVersion.
	CodeVersion Code = "version"
	// CodeStale rejects a command about a zone if the command is bound to a version other than the one in
	// force. Nothing was changed.
	CodeStale Code = "stale"
)
