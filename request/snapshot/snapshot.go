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
	// Suspect backends fail for this node, but not for enough others.
	Suspect
	// Unreachable backends cannot be connected to or fail their health checks.
	Unreachable
	// Corrupt backends send invalid responses.
	Corrupt
	// Draining backends are being shut down, as the platform's list says.
	Draining
	// ZoneDrained backends are in a zone that the operators have drained.
	ZoneDrained
)

// healthStateNames are the states as the operators' API names them.
var healthStateNames = [...]string{"ok", "slow", "doubt", "lost", "garbage", "leaving", "emptied"}

// String returns the state as the operators' API names it.
func (s HealthState) String() string { return healthStateNames[s] }

// stateDraining is the state of a draining backend in the platform's list.
const stateDraining = "leaving"

// Backend is one backend of the platform's list.
type Backend struct {
	wire.Backend
	// Health is the merged health state.
	Health HealthState
	// Born is when the incarnation began, on this process's clock.
	Born  clock.Micros
	Gauge *Gauge
	// CloseAfterUse says that connections to the backend are not kept idle.
	CloseAfterUse bool
}

// SlowStartShare returns the share of the traffic, in thousandths, that a backend is given whose
// slow start lasts for slowStart.
func (s *Backend) SlowStartShare(now, slowStart clock.Micros) int64 {
	if slowStart <= 0 || s.Incarnation == 0 {
		return fullShare
	}
	return max(MinSlowStartShare, min(fullShare, (now-s.Born)*fullShare/slowStart))
}

// Shares of the traffic of a backend in slow start, in thousandths.
const (
	// MinSlowStartShare is the share at the start.
	MinSlowStartShare = 100
	fullShare         = 1000
)

// Limit holds the limits of one kind of request to one index, for the whole fleet, in requests a
// second; 0 is none.
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
	// ShardMap is the shard map that is served from. Shards are the backends of each of its shards,
	// NextShards those of the next shard map while the index is resharded.
	ShardMap   wire.ShardMap
	Shards     [][]*Backend
	NextShards [][]*Backend
	Service    *configpb.Service
	// Limits are the limits by kind of request.
	Limits map[string]Limit
	// Capacity is that of the index, in requests a second.
	Capacity float64
}

// Pool is one pool of the routing table.
type Pool struct {
	*routingpb.Pool
	// Backends are all backends of the pool, those that must not be selected included.
	Backends []*Backend
}

// Node is a node of the fleet that may own idempotency keys.
type Node struct {
	Name, Zone, Addr, Origin string
	Live                     bool
}

// Snapshot is the state of the fleet as this node sees it. It is never changed once published.
type Snapshot struct {
	// At is when it was built.
	At clock.Micros
	// Version is that of the configuration, Config its body and Configuration the decoded document.
	Version       wire.Version
	Config        wire.ConfigBody
	Configuration *configpb.Sheet
	Indexes       map[string]*Index
	// Roster is all nodes, those that died lately included. KeyOwners are those of them that may own
	// idempotency keys.
	Roster    []Node
	KeyOwners []Node
	// Divisor is the number of nodes by which limits of the fleet are divided: the greatest number of
	// live nodes seen lately, so that nodes that miss some of the others do not exceed the limits.
	Divisor int
	// Zone is this node's zone, ZoneDrained says that the operators have drained it.
	Zone        string
	ZoneDrained bool
	// Draining says that this process is shutting down.
	Draining bool
	// Peers counts the nodes that are live now, this one included.
	Peers    int
	Backends []*Backend
	// Routing is the routing table in force, nil before the first; Pools are its pools by name.
	Routing *routing.Table
	Pools   map[string]*Pool
	// Complete says that the configuration, the shard maps and the platform's list are all there and
	// confirmed. Once it is set, it stays set in later snapshots.
	Complete bool
	// Stale says that the process was frozen and has not yet learned what happened meanwhile.
	// Requests wait for a newer snapshot, MaxStale at most.
	Stale bool
}

// MaxStale bounds how long a snapshot is stale. An isolated node continues with the state it has.
const MaxStale = 1 * clock.Second

// Ready reports whether requests can be served from this snapshot. It may be called on nil.
func (snap *Snapshot) Ready() bool { return snap != nil && snap.Complete }
