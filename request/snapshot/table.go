package snapshot

import (
	"slices"
	"sync/atomic"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/request/discovery"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Constants of building.
const (
	// BuildDelay is how long a change other than a partition's version waits for others, and
	// BuildInterval the least time between two snapshots that are built for such changes alone.
	BuildDelay    = 25 * clock.Millisecond
	BuildInterval = 100 * clock.Millisecond
	// AbsentTTL is how long a backend is kept that is missing from incomplete lists.
	AbsentTTL = 60 * clock.Second
	// awaitInterval is the time between two looks for confirmed state by a process that has none.
	awaitInterval = 250 * clock.Millisecond
)

const (
	pluginName = "table"
	timerBuild = "build"
	timerStale = "stale"
	timerAwait = "await"
)

// Table is the plug-in that builds and publishes the snapshots.
type Table struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	// Gauges are those of all backends.
	Gauges *Gauges

	current        atomic.Pointer[Snapshot]
	buildScheduled bool
	builtAt        clock.Micros
	staleness      staleness
	config         configState

	// backendList is the platform's list as last announced, backendListOrigin and backendListCount the
	// origin and the count of the entry that brought it.
	backendList       wire.BackendList
	backendListOrigin string
	backendListCount  uint64
	// drainingIncarnation is the incarnation of each backend that was last listed as draining.
	drainingIncarnation map[string]int64
	// absentSince is since when a backend has been missing from incomplete lists.
	absentSince   map[string]clock.Micros
	births        map[string]birth
	healthReports healthReports

	// lastLive is when each node was last live, by origin; liveHash sums up who was at the last build.
	lastLive map[string]clock.Micros
	liveHash uint64
	// servedShardMaps are the shard maps that this node serves from, by index.
	servedShardMaps map[string]wire.ShardMap
}

// staleness is what a process that was frozen still has to learn: until when it waits for that at
// most, and whether it has caught up with the mesh and pulled from a core.
type staleness struct {
	until  clock.Micros
	mesh   bool
	pulled bool
}

func (s staleness) active(now clock.Micros) bool { return now < s.until && !(s.mesh && s.pulled) }

// birth is when an incarnation of a backend began, on this process's clock.
type birth struct {
	incarnation int64
	born        clock.Micros
}

func init() {
	kernel.Register(kernel.Registration{Rank: 60, Roles: []string{settings.RoleNode}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Table{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			configSync: kernel.Find[*configsync.Sync](k), Gauges: &Gauges{}, drainingIncarnation: map[string]int64{}, absentSince: map[string]clock.Micros{},
			births: map[string]birth{}, healthReports: healthReports{}, lastLive: map[string]clock.Micros{}, servedShardMaps: map[string]wire.ShardMap{},
		}
	}})
}

// Name returns the plug-in's name.
func (table *Table) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in handles: none.
func (table *Table) Kinds() []uint8 { return nil }

// Current returns the newest snapshot; nil before the first. Any goroutine may call it.
func (table *Table) Current() *Snapshot { return table.current.Load() }

// Step handles one input of the kernel.
func (table *Table) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(configsync.UnconfirmedTimeout, pluginName, timerAwait)
		table.build(ctx)
	case kernel.Tick:
		if v.Key == timerAwait {
			table.awaitConfirmed(ctx)
			return
		}
		table.buildScheduled = table.buildScheduled && v.Key != timerBuild
		table.build(ctx)
	case kernel.Thawed:
		table.staleness = staleness{until: ctx.Now + MaxStale}
		table.build(ctx)
		ctx.After(MaxStale, pluginName, timerStale)
	case mesh.CaughtUp:
		table.updateStaleness(ctx, func(s *staleness) { s.mesh = true })
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
		table.reannounceBackendList(ctx, v.Origin)
	case mesh.Stored:
		switch v.Entry.Type {
		case mesh.EntryPartition:
			table.build(ctx)
		case mesh.EntryBackendList:
			table.applyBackendList(ctx, v)
		case mesh.EntryHealthReport:
			table.healthReports.apply(v)
			table.scheduleBuild(ctx)
		case mesh.EntryMember:
			table.scheduleBuild(ctx)
		}
	}
}

// scheduleBuild schedules one build for all changes until then.
func (table *Table) scheduleBuild(ctx *kernel.Context) {
	if !table.buildScheduled {
		table.buildScheduled = true
		ctx.After(max(BuildDelay, table.builtAt+BuildInterval-ctx.Now), pluginName, timerBuild)
	}
}

// updateStaleness records with f one of the things that a thawed process waits for.
func (table *Table) updateStaleness(ctx *kernel.Context, f func(s *staleness)) {
	if !table.staleness.active(ctx.Now) {
		return
	}
	f(&table.staleness)
	if !table.staleness.active(ctx.Now) {
		table.build(ctx)
	}
}

// handlePulled handles that a core replied to a pull. A process that has just started or was thawed
// needs the reply of a core in contact with a majority.
func (table *Table) handlePulled(ctx *kernel.Context, v configsync.Pulled) {
	if v.Confirmed == 0 {
		return
	}
	table.updateStaleness(ctx, func(s *staleness) { s.pulled = true })
	if !table.current.Load().Complete {
		table.build(ctx)
	}
}

// applyBackendList takes a reading of the platform's list, unless a newer one is known: by the lease
// id or, from the same origin, by the entry's count.
func (table *Table) applyBackendList(ctx *kernel.Context, v mesh.Stored) {
	var list wire.BackendList
	if wire.Decode(v.Entry.Body, &list) != nil || list.LeaseID < table.backendList.LeaseID {
		return
	}
	if v.Origin == table.backendListOrigin && v.Entry.Count < table.backendListCount {
		return
	}
	listed := map[string]bool{}
	for _, backend := range list.Backends {
		listed[backend.ID] = true
		if backend.State == stateDraining {
			// An incarnation that drains never serves again, whatever a later list says.
			table.drainingIncarnation[backend.ID] = max(table.drainingIncarnation[backend.ID], backend.Incarnation)
		}
	}
	if !list.Complete {
		list.Backends = append(list.Backends, table.keepAbsent(ctx, listed)...)
	}
	for id := range listed {
		delete(table.absentSince, id)
	}
	table.backendList, table.backendListOrigin, table.backendListCount = list, v.Origin, v.Entry.Count
	table.build(ctx)
}

// keepAbsent returns the known backends that an incomplete list does not name and that have been
// absent for less than AbsentTTL: absence from such a list proves nothing for a while.
func (table *Table) keepAbsent(ctx *kernel.Context, listed map[string]bool) (kept []wire.Backend) {
	for _, backend := range table.backendList.Backends {
		if listed[backend.ID] {
			continue
		}
		if _, ok := table.absentSince[backend.ID]; !ok {
			table.absentSince[backend.ID] = ctx.Now
		}
		if ctx.Now-table.absentSince[backend.ID] < AbsentTTL {
			kept = append(kept, backend)
		}
	}
	return kept
}

// build builds and publishes a snapshot.
func (table *Table) build(ctx *kernel.Context) {
	snap := &Snapshot{
		At: ctx.Now, Indexes: map[string]*Index{}, Zone: table.k.Boot.Settings.Zone, Divisor: table.members.Divisor(),
		Draining: table.members.Local().Draining, Stale: table.staleness.active(ctx.Now),
	}
	table.loadConfig(ctx, snap)
	table.liveHash = table.updateLive(ctx.Now)
	snap.ZoneDrained = slices.Contains(snap.Config.DrainedZones, snap.Zone)
	snap.Roster = table.roster(ctx)
	snap.KeyOwners = keyOwners(snap.Roster)
	snap.Peers = table.members.Count(ctx.Now, settings.RoleNode)
	snap.Backends = table.evaluateBackends(ctx, snap)
	if snap.Configuration != nil {
		for _, service := range snap.Configuration.Services {
			snap.Indexes[service.Index] = table.buildIndex(snap, service)
		}
	}
	table.buildPools(snap)
	snap.Complete = table.complete(ctx, snap)
	table.logUnconfirmed(ctx, snap)
	table.current.Store(snap)
	table.builtAt = ctx.Now
	ctx.Emit(Built{})
}

// Built is emitted when a new snapshot was published.
type Built struct{}

// reannounceBackendList announces the list that a forgotten node had announced, so that nodes that
// start later find it. The first live node by name does so.
func (table *Table) reannounceBackendList(ctx *kernel.Context, forgotten string) {
	live := table.members.Live(ctx.Now, settings.RoleNode)
	if forgotten == table.backendListOrigin && len(live) > 0 && live[0].Origin == table.mesh.Self() {
		table.mesh.Announce(ctx, mesh.EntryBackendList, discovery.LeaseTask, wire.Encode(&table.backendList), false)
	}
}
