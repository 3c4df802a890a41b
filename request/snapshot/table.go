// The plug-in that gathers what the mesh brings and publishes snapshots: at
// once when a partition's version came, otherwise soon after something changed. While
// nothing changes it does not run.

package snapshot

import (
	"sync/atomic"

	"wallport/cluster/discovery"
	"wallport/cluster/loadreport"
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// BuildDelay is how long a change other than a partition's may wait for the next snapshot, and
// BuildInterval the least time between two snapshots that are built for such changes alone.
const (
	BuildDelay    = 25_000
	BuildInterval = 100_000
)

// Table is the plug-in.
type Table struct {
	k                   *kernel.Kernel
	mesh                *mesh.Mesh
	members             *membership.Members
	loadReports         *loadreport.Reporter
	configSync          *configsync.Sync
	Gauges              *Gauges
	current             atomic.Pointer[Snapshot]
	buildScheduled      bool
	builtAt             int64
	liveHash            uint64
	config              configState
	listing             wire.BackendList
	listingOrigin       string
	listingCount        uint64
	drainingIncarnation map[string]int64
	births              map[string]birth
	lastLive            map[string]int64
	absentSince         map[string]int64
	healthReports       healthReports
	// servedCuts are those that this node serves from.
	servedCuts map[string]wire.ShardMap
	staleness  staleness
}

// staleness is what a process still has to hear after it was thawed.
type staleness struct {
	until  int64
	mesh   bool
	pulled bool
}

func (s staleness) active(now int64) bool { return now < s.until && !(s.mesh && s.pulled) }

type birth struct{ incarnation, born int64 }

func init() {
	kernel.Register(kernel.Registration{Rank: 60, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Table{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), loadReports: kernel.Find[*loadreport.Reporter](k),
			configSync: kernel.Find[*configsync.Sync](k), Gauges: &Gauges{}, drainingIncarnation: map[string]int64{}, births: map[string]birth{}, lastLive: map[string]int64{}, absentSince: map[string]int64{}, healthReports: healthReports{}, servedCuts: map[string]wire.ShardMap{},
		}
	}})
}

// Name is the plug-in's name.
func (b *Table) Name() string { return "table" }

// Kinds are the frames that it takes: none.
func (b *Table) Kinds() []uint8 { return nil }

// Current is the newest snapshot; any thread may ask.
func (b *Table) Current() *Snapshot { return b.current.Load() }

// Step takes one input.
func (b *Table) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(configsync.UnconfirmedTimeout, "table", awaitTimer)
		b.build(ctx)
	case kernel.Tick:
		if v.Key == awaitTimer {
			b.awaitConfirmed(ctx)
			return
		}
		b.buildScheduled = b.buildScheduled && v.Key != "build"
		b.build(ctx)
	case kernel.Thawed:
		b.staleness = staleness{until: ctx.Now + MaxStale}
		b.build(ctx)
		ctx.After(MaxStale, "table", "stale")
	case mesh.CaughtUp:
		b.refreshed(ctx, func(s *staleness) { s.mesh = true })
	case configsync.Pulled:
		b.handlePulled(ctx, v)
	case kernel.Stopping:
		b.build(ctx)
	case mesh.LivenessUpdated:
		if b.updateLive(ctx.Now) != b.liveHash {
			b.build(ctx)
		}
	case mesh.Forgotten:
		delete(b.lastLive, v.Origin)
		b.healthReports.forget(v.Origin)
		b.scheduleBuild(ctx)
		b.reannounceListing(ctx, v.Origin)
	case mesh.Stored:
		switch v.Entry.Type {
		case "part":
			b.build(ctx)
		case "listing":
			b.applyListing(ctx, v)
		case "opinion":
			b.healthReports.apply(v)
			b.scheduleBuild(ctx)
		case "member":
			b.scheduleBuild(ctx)
		}
	}
}

// scheduleBuild has a snapshot built shortly, for all that changes until then.
func (b *Table) scheduleBuild(ctx *kernel.Context) {
	if !b.buildScheduled {
		b.buildScheduled = true
		ctx.After(max(BuildDelay, b.builtAt+BuildInterval-ctx.Now), "table", "build")
	}
}

// refreshed notes one of the things that a thawed process waits for.
func (b *Table) refreshed(ctx *kernel.Context, f func(s *staleness)) {
	if was := b.staleness.active(ctx.Now); was {
		f(&b.staleness)
		if !b.staleness.active(ctx.Now) {
			b.build(ctx)
		}
	}
}

// handlePulled notes that a core answered a pull: what a process serves from that has just started, or was
// thawed, needs an answer of a core in contact with a majority.
func (b *Table) handlePulled(ctx *kernel.Context, v configsync.Pulled) {
	if v.Confirmed == 0 {
		return
	}
	b.refreshed(ctx, func(s *staleness) { s.pulled = true })
	if !b.current.Load().Complete {
		b.build(ctx)
	}
}

// applyListing takes a reading of the platform's list, unless an older holder made it.
func (b *Table) applyListing(ctx *kernel.Context, v mesh.Stored) {
	var l wire.BackendList
	if wire.Decode(v.Entry.Body, &l) != nil || l.LeaseID < b.listing.LeaseID {
		return
	}
	if v.Origin == b.listingOrigin && v.Entry.Count < b.listingCount {
		return
	}
	there := map[string]bool{}
	for _, s := range l.Backends {
		there[s.ID] = true
		if s.State == "leaving" {
			// Sticky for the incarnation: no later reading takes it back.
			b.drainingIncarnation[s.ID] = max(b.drainingIncarnation[s.ID], s.Incarnation)
		}
	}
	for _, s := range b.listing.Backends {
		if !there[s.ID] && !l.Complete {
			// Absence from such a list proves nothing; the server stays until it is absent for long.
			if _, ok := b.absentSince[s.ID]; !ok {
				b.absentSince[s.ID] = ctx.Now
			}
			if ctx.Now-b.absentSince[s.ID] < AbsentTTL {
				l.Backends = append(l.Backends, s)
			}
		}
	}
	for id := range there {
		delete(b.absentSince, id)
	}
	b.listing, b.listingOrigin, b.listingCount = l, v.Origin, v.Entry.Count
	b.build(ctx)
}

// AbsentTTL is how long a server that left the list without a word is kept.
const AbsentTTL = 60_000_000

func (b *Table) build(ctx *kernel.Context) {
	c := &Snapshot{
		At: ctx.Now, Indexes: map[string]*Index{}, Zone: b.k.Boot.Settings.Zone, Divisor: b.members.Divisor(),
		Draining: b.members.Local().Draining, Stale: b.staleness.active(ctx.Now),
	}
	b.loadConfig(ctx, c)
	b.liveHash = b.updateLive(ctx.Now)
	for _, z := range c.Config.DrainedZones {
		c.ZoneDrained = c.ZoneDrained || z == c.Zone
	}
	c.Roster = b.roster(ctx)
	c.KeyOwners = keyOwners(c.Roster)
	c.Peers = b.members.Count(ctx.Now, "node")
	c.Servers = b.evaluateServers(ctx, c)
	if c.Configuration != nil {
		for _, s := range c.Configuration.Services {
			c.Indexes[s.Index] = b.buildIndex(c, s)
		}
	}
	b.buildPools(c)
	c.Complete = b.complete(ctx, c)
	b.logUnconfirmed(ctx, c)
	b.current.Store(c)
	b.builtAt = ctx.Now
	ctx.Emit(Built{})
}

// Built is emitted when a new snapshot has been published.
type Built struct{}

// reannounceListing tells the list again that a forgotten node had told, so that nodes
// which start later still find it. The first live node by name does so.
func (b *Table) reannounceListing(ctx *kernel.Context, forgotten string) {
	live := b.members.Live(ctx.Now, "node")
	if forgotten == b.listingOrigin && len(live) > 0 && live[0].Origin == b.mesh.Self() {
		b.mesh.Announce(ctx, "listing", discovery.LeaseTask, wire.Encode(&b.listing), false)
	}
}
