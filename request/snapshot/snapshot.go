// Package snapshot builds the immutable snapshot that the request path reads
// through one atomic pointer: who serves which shard of which cut, in what
// condition, within which limits, and which nodes are there to ask.
package snapshot

import (
	"sync"
	"sync/atomic"

	"wallport/api/configpb"
	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

// Verdicts on a server, from best to worst. Leaving and emptied are never picked.
const (
	Healthy uint8 = iota
	Slow
	Suspect
	Unreachable
	Corrupt
	Draining
	ZoneDrained
)

// HealthStateNames are the verdicts in words.
var HealthStateNames = []string{"ok", "slow", "doubt", "lost", "garbage", "leaving", "emptied"}

// Backend is one backend as a snapshot shows it.
type Backend struct {
	wire.Backend
	Health uint8
	// Born is when, on this process's monotonic clock, the incarnation began.
	Born  int64
	Gauge *Gauge
	// CloseAfterUse is that connections to it are not kept idle.
	CloseAfterUse bool
}

// SlowStartShare is how warm a server is, in thousandths, after a ramp of so many microseconds.
func (s *Backend) SlowStartShare(now, slowStart int64) int64 {
	if slowStart <= 0 || s.Incarnation == 0 {
		return 1000
	}
	return max(MinSlowStartShare, min(1000, (now-s.Born)*1000/slowStart))
}

// MinSlowStartShare is the share, in thousandths, that a server just started is given.
const MinSlowStartShare = 100

// Limit is what one kind of inquiry may do, in inquiries a second, fleet-wide
// and here.
type Limit struct {
	Share     float64
	RateLimit float64
	Reserved  float64
}

// Index is one index as a snapshot shows it.
type Index struct {
	Name       string
	ShardMap   wire.ShardMap
	Shards     [][]*Backend
	NextShards [][]*Backend
	Service    *configpb.Service
	Limits     map[string]Limit
	Capacity   float64
}

// Pool is one pool of the routing table as a snapshot shows it.
type Pool struct {
	*routingpb.Pool
	// Backends are those that may be asked, leaving and emptied ones included with their verdict.
	Backends []*Backend
}

// Node is a peer that may be home to claims.
type Node struct {
	Name, Zone, Addr, Origin string
	Live                     bool
}

// Snapshot is the table at a moment. It is never changed once published.
type Snapshot struct {
	At            int64
	Version       wire.Version
	Config        wire.ConfigBody
	Configuration *configpb.Sheet
	Indexes       map[string]*Index
	// Roster is all nodes, those that died of late too; Homes are those of them that claims may live at.
	Roster      []Node
	KeyOwners   []Node
	Divisor     int
	Zone        string
	ZoneDrained bool
	Draining    bool
	// Peers counts the live nodes, this one included.
	Peers    int
	Backends []*Backend
	// Routing is the routing table in force, nil before the first; Pools are its pools by name.
	Routing *routing.Table
	Pools   map[string]*Pool
	// Complete tells that configuration, cuts and the platform's list are all there.
	Complete bool
	// Stale tells that the process did not run for a while and has not yet heard
	// what happened meanwhile: inquiries wait, for MaxStale at most.
	Stale bool
}

// MaxStale bounds that wait: a node that is alone goes on with what it has.
const MaxStale = 1_000_000

// Ready reports whether inquiries can be served from this snapshot.
func (snap *Snapshot) Ready() bool { return snap != nil && snap.Complete }

// Gauge is what this node itself sees of one server; it outlives snapshots.
type Gauge struct {
	Outstanding      atomic.Int64
	Latency          atomic.Int64
	Usage            atomic.Int64
	Failures         atomic.Int64
	CorruptResponses atomic.Int64
	// EjectedUntil is until when the request path avoids the server on its own account.
	EjectedUntil atomic.Int64
	Incarnation  atomic.Int64
	Requested    atomic.Int64
	// SlowStartUntil is until when the server stays cold by its own word, on this process's clock.
	SlowStartUntil atomic.Int64
}

// Succeeded notes a good answer and how long it took.
func (g *Gauge) Succeeded(us int64) {
	g.Failures.Store(0)
	g.CorruptResponses.Store(0)
	g.EjectedUntil.Store(0)
	old := g.Latency.Load()
	if old == 0 {
		g.Latency.Store(us)
		return
	}
	g.Latency.Store(old + (us-old)/8)
}

// Failed notes a failure; the third in a row ejects for a growing while.
func (g *Gauge) Failed(now int64) {
	if n := g.Failures.Add(1); n >= EjectThreshold {
		g.EjectedUntil.Store(now + min(n, 10)*EjectTime)
	}
}

// Corrupted notes an answer that was not what it should be.
func (g *Gauge) Corrupted(now int64) {
	g.CorruptResponses.Add(1)
	g.EjectedUntil.Store(now + 4*EjectTime)
}

// Figures of ejection.
const (
	EjectThreshold = 3
	EjectTime      = 500_000
)

// Gauges holds a gauge per server id.
type Gauges struct{ m sync.Map }

// Of returns the gauge of a server, made at first use.
func (g *Gauges) Of(id string) *Gauge {
	if v, ok := g.m.Load(id); ok {
		return v.(*Gauge)
	}
	v, _ := g.m.LoadOrStore(id, new(Gauge))
	return v.(*Gauge)
}
