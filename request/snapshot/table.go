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
	// servedShardMaps are those that this node serves from.
	servedShardMaps map[string]wire.ShardMap
	staleness       staleness
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
			configSync: kernel.Find[*configsync.Sync](k), Gauges: &Gauges{}, drainingIncarnation: map[string]int64{}, births: map[string]birth{}, lastLive: map[string]int64{}, absentSince: map[string]int64{}, healthReports: healthReports{}, servedShardMaps: map[string]wire.ShardMap{},
		}
	}})
}

// Name is the plug-in's name.
func (table *Table) Name() string { return "table" }

// Kinds are the frames that it takes: none.
func (table *Table) Kinds() []uint8 { return nil }

// Current is the newest snapshot; any thread may ask.
func (table *Table) Current() *Snapshot { return table.current.Load() }

// Step takes one input.
func (table *Table) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(configsync.UnconfirmedTimeout, "table", awaitTimer)
		table.build(ctx)
	case kernel.Tick:
		if v.Key == awaitTimer {
			table.awaitConfirmed(ctx)
			return
		}
		table.buildScheduled = table.buildScheduled && v.Key != "build"
		table.build(ctx)
	case kernel.Thawed:
		table.staleness = staleness{until: ctx.Now + MaxStale}
		table.build(ctx)
		ctx.After(MaxStale, "table", "stale")
	case mesh.CaughtUp:
		table.refreshed(ctx, func(s *staleness) { s.mesh = true })
	case configsync.Pulled:
		table.handlePulled(ctx, v)
	case kernel.Stopping:
		table.build(ctx)
	case mesh.LivenessUpdated:
		if table.updateLive(ctx.Now) != table.liveHash {
			table.build(ctx)
		}
	case mesh.Forgotten:
		delete(table.lastLive, v.Origin)
		table.healthReports.forget(v.Origin)
		table.scheduleBuild(ctx)
		table.reannounceListing(ctx, v.Origin)
	case mesh.Stored:
		switch v.Entry.Type {
		case "part":
			table.build(ctx)
		case "listing":
			table.applyListing(ctx, v)
		case "opinion":
			table.healthReports.apply(v)
			table.scheduleBuild(ctx)
		case "member":
			table.scheduleBuild(ctx)
		}
	}
}

// scheduleBuild has a snapshot built shortly, for all that changes until then.
func (table *Table) scheduleBuild(ctx *kernel.Context) {
	if !table.buildScheduled {
		table.buildScheduled = true
		ctx.After(max(BuildDelay, table.builtAt+BuildInterval-ctx.Now), "table", "build")
	}
}

// refreshed notes one of the things that a thawed process waits for.
func (table *Table) refreshed(ctx *kernel.Context, f func(s *staleness)) {
	if was := table.staleness.active(ctx.Now); was {
		f(&table.staleness)
		if !table.staleness.active(ctx.Now) {
			table.build(ctx)
		}
	}
}

// handlePulled notes that a core answered a pull: what a process serves from that has just started, or was
// thawed, needs an answer of a core in contact with a majority.
func (table *Table) handlePulled(ctx *kernel.Context, v configsync.Pulled) {
	if v.Confirmed == 0 {
		return
	}
	table.refreshed(ctx, func(s *staleness) { s.pulled = true })
	if !table.current.Load().Complete {
		table.build(ctx)
	}
}

// applyListing takes a reading of the platform's list, unless an older holder made it.
func (table *Table) applyListing(ctx *kernel.Context, v mesh.Stored) {
	var l wire.BackendList
	if wire.Decode(v.Entry.Body, &l) != nil || l.LeaseID < table.listing.LeaseID {
		return
	}
	if v.Origin == table.listingOrigin && v.Entry.Count < table.listingCount {
		return
	}
	there := map[string]bool{}
	for _, s := range l.Backends {
		there[s.ID] = true
		if s.State == "leaving" {
			// Sticky for the incarnation: no later reading takes it back.
			table.drainingIncarnation[s.ID] = max(table.drainingIncarnation[s.ID], s.Incarnation)
		}
	}
	for _, s := range table.listing.Backends {
		if !there[s.ID] && !l.Complete {
			// Absence from such a list proves nothing; the server stays until it is absent for long.
			if _, ok := table.absentSince[s.ID]; !ok {
				table.absentSince[s.ID] = ctx.Now
			}
			if ctx.Now-table.absentSince[s.ID] < AbsentTTL {
				l.Backends = append(l.Backends, s)
			}
		}
	}
	for id := range there {
		delete(table.absentSince, id)
	}
	table.listing, table.listingOrigin, table.listingCount = l, v.Origin, v.Entry.Count
	table.build(ctx)
}

// AbsentTTL is how long a server that left the list without a word is kept.
const AbsentTTL = 60_000_000

func (table *Table) build(ctx *kernel.Context) {
	snap := &Snapshot{
		At: ctx.Now, Indexes: map[string]*Index{}, Zone: table.k.Boot.Settings.Zone, Divisor: table.members.Divisor(),
		Draining: table.members.Local().Draining, Stale: table.staleness.active(ctx.Now),
	}
	table.loadConfig(ctx, snap)
	table.liveHash = table.updateLive(ctx.Now)
	for _, z := range snap.Config.DrainedZones {
		snap.ZoneDrained = snap.ZoneDrained || z == snap.Zone
	}
	snap.Roster = table.roster(ctx)
	snap.KeyOwners = keyOwners(snap.Roster)
	snap.Peers = table.members.Count(ctx.Now, "node")
	snap.Backends = table.evaluateBackends(ctx, snap)
	if snap.Configuration != nil {
		for _, s := range snap.Configuration.Services {
			snap.Indexes[s.Index] = table.buildIndex(snap, s)
		}
	}
	table.buildPools(snap)
	snap.Complete = table.complete(ctx, snap)
	table.logUnconfirmed(ctx, snap)
	table.current.Store(snap)
	table.builtAt = ctx.Now
	ctx.Emit(Built{})
}

// Built is emitted when a new snapshot has been published.
type Built struct{}

// reannounceListing tells the list again that a forgotten node had told, so that nodes
// which start later still find it. The first live node by name does so.
func (table *Table) reannounceListing(ctx *kernel.Context, forgotten string) {
	live := table.members.Live(ctx.Now, "node")
	if forgotten == table.listingOrigin && len(live) > 0 && live[0].Origin == table.mesh.Self() {
		table.mesh.Announce(ctx, "listing", discovery.LeaseTask, wire.Encode(&table.listing), false)
	}
}
