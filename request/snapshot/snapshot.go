package snapshot

import (
	"wallport/api/configpb"
	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// HealthState is the health of a backend, from best to worst. Draining and ZoneDrained backends are
// never selected.
type HealthState uint8

// Health states of a backend.
const (
	Healthy HealthState = iota
	// Slow backends have a latency far above the median of their shard.
	Slow
	// Suspect backends fail for this node, but not for enough others to count as unhealthy.
	Suspect
	// Unreachable backends cannot be connected to or fail their health checks.
	Unreachable
	// Corrupt backends send invalid responses.
	Corrupt
	// Draining backends are being shut down according to the platform's list.
	Draining
	// ZoneDrained backends are in a zone that the operators have drained.
	ZoneDrained
)

// healthStateNames holds the names of the states in the operators' API.
var healthStateNames = [...]string{"ok", "slow", "doubt", "lost", "garbage", "leaving", "emptied"}

// String returns the name of the state in the operators' API.
func (s HealthState) String() string { return healthStateNames[s] }

// stateDraining is the state of a draining backend in the platform's list.
const stateDraining = "leaving"

// Backend is one backend of the platform's list.
type Backend struct {
	wire.Backend
	// Health is the merged health state.
	Health HealthState
	// IncarnationStartedAt is when the incarnation started, on this process's clock.
	IncarnationStartedAt clock.Micros
	Gauge                *Gauge
	// CloseAfterUse says that connections to the backend are closed after use instead of being kept idle.
	CloseAfterUse bool
}

// SlowStartShare returns the share of its full traffic, in thousandths, that the backend receives at the time
// now if its slow start lasts for slowStart.
func (s *Backend) SlowStartShare(now, slowStart clock.Micros) int64 {
	if slowStart <= 0 || s.Incarnation == 0 {
		return fullShare
	}
	return max(MinSlowStartShare, min(fullShare, (now-s.IncarnationStartedAt)*fullShare/slowStart))
}

// Shares of a backend's full traffic during slow start, in thousandths.
const (
	// MinSlowStartShare is the share at the start.
	MinSlowStartShare = 100
	fullShare         = 1000
)

// Limit holds the limits of one kind of request to one index, for the whole fleet, in requests per
// second; 0 means none.
type Limit struct {
	// Share is the quota share of the index's capacity.
	Share     float64
	RateLimit float64
	// Reserved is the capacity that active bookings reserve for the kind.
	Reserved float64
}

// Index is one index of the configuration.
type Index struct {
	Name string
	// ShardMap is the shard map that this node serves from. Shards holds the backends of each of its
	// shards, NextShards those of the next shard map while the index is being resharded.
	ShardMap   wire.ShardMap
	Shards     [][]*Backend
	NextShards [][]*Backend
	Service    *configpb.Service
	// Limits holds the limits by kind of request.
	Limits map[string]Limit
	// Capacity is the capacity of the index, in requests per second.
	Capacity float64
}

// Pool is one pool of the routing table.
type Pool struct {
	*routingpb.Pool
	// Backends holds all backends of the pool, including those that must not be selected.
	Backends []*Backend
}

// Node is a node of the fleet, as listed in a snapshot's Roster.
type Node struct {
	Name, Zone, Addr, Origin string
	Live                     bool
}

// Snapshot is the state of the fleet as seen by this node. It is not modified once it has been published.
type Snapshot struct {
	// At is when the snapshot was built.
	At clock.Micros
	// Version is the configuration's version, Config its body and Configuration the decoded document.
	Version       wire.Version
	Config        wire.ConfigBody
	Configuration *configpb.Sheet
	Indexes       map[string]*Index
	// Roster holds all nodes, including those that stopped being live within the last RosterTTL.
	// KeyOwners holds the nodes that may own idempotency keys.
	Roster    []Node
	KeyOwners []Node
	// Divisor is the number of nodes by which limits of the fleet are divided. It is the greatest recent
	// number of live nodes, so that nodes that do not see all others do not exceed the limits.
	Divisor int
	// Zone is this node's zone. ZoneDrained says that the operators have drained it.
	Zone        string
	ZoneDrained bool
	// Draining says that this process is shutting down.
	Draining bool
	// LiveNodeCount is the number of live nodes, including this one.
	LiveNodeCount int
	Backends      []*Backend
	// Routing is the current routing table, nil before the first; Pools holds its pools by name.
	Routing *routing.Table
	Pools   map[string]*Pool
	// Complete says that the configuration, the shard maps and the platform's list are present and
	// confirmed. Once it is set, it remains set in later snapshots.
	Complete bool
	// Stale says that the process was frozen and has not yet received the changes that it missed.
	// Requests wait for a newer snapshot, for at most MaxStale.
	Stale bool
}

// MaxStale bounds how long a snapshot is stale. After that an isolated node serves from the state it has.
const MaxStale = 1 * clock.Second

// Ready reports whether requests can be served from this snapshot. It may be called on nil.
func (snap *Snapshot) Ready() bool { return snap != nil && snap.Complete }
