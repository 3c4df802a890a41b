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

// Delays, intervals and retention times for building snapshots.
const (
	// Changes other than new versions of partitions and new lists are batched: a build waits BuildDelay
	// for further changes, and two such builds are at least BuildInterval apart.
	BuildDelay    = 25 * clock.Millisecond
	BuildInterval = 100 * clock.Millisecond
	// AbsentTTL is how long a backend that is missing from incomplete lists is kept.
	AbsentTTL = 60 * clock.Second
	// awaitInterval is the interval at which a process without confirmed state checks for it.
	awaitInterval = 250 * clock.Millisecond
)

const (
	pluginName = "table"
	timerBuild = "build"
	timerStale = "stale"
	timerAwait = "await"
)

// Builder is the plug-in that builds and publishes the snapshots.
type Builder struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	// Gauges holds the gauges of all backends.
	Gauges *Gauges

	current        atomic.Pointer[Snapshot]
	buildScheduled bool
	builtAt        clock.Micros
	staleness      staleness
	config         configState

	// backendList is the platform's list as last announced; backendListOrigin and backendListCount are
	// the origin and the count of its entry.
	backendList       wire.BackendList
	backendListOrigin string
	backendListCount  uint64
	// drainingIncarnation is the newest incarnation of each backend that was listed as draining.
	drainingIncarnation map[string]int64
	// absentSince is when each backend was first missing from an incomplete list.
	absentSince       map[string]clock.Micros
	incarnationStarts map[string]incarnationStart
	healthReports     healthReports

	// lastLive is when each node was last live, by origin. liveHash is the result of updateLive at the
	// last build.
	lastLive map[string]clock.Micros
	liveHash uint64
	// servedShardMaps holds the shard maps that this node serves from, by index.
	servedShardMaps map[string]wire.ShardMap
}

// staleness tracks whether a thawed process has received the changes that it missed. until is when it stops
// waiting for them. mesh says that it has caught up with the mesh, pulled that it has pulled from a core in
// contact with a majority.
type staleness struct {
	until  clock.Micros
	mesh   bool
	pulled bool
}

func (s staleness) active(now clock.Micros) bool { return now < s.until && !(s.mesh && s.pulled) }

// incarnationStart holds an incarnation of a backend and when it started, on this process's clock.
type incarnationStart struct {
	incarnation int64
	startedAt   clock.Micros
}

func init() {
	kernel.Register(kernel.Registration{Rank: 60, Roles: []string{settings.RoleNode}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Builder{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			configSync: kernel.Find[*configsync.Sync](k), Gauges: &Gauges{}, drainingIncarnation: map[string]int64{}, absentSince: map[string]clock.Micros{},
			incarnationStarts: map[string]incarnationStart{}, healthReports: healthReports{}, lastLive: map[string]clock.Micros{}, servedShardMaps: map[string]wire.ShardMap{},
		}
	}})
}

// Name returns the plug-in's name.
func (builder *Builder) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in handles: none.
func (builder *Builder) Kinds() []uint8 { return nil }

// Current returns the newest snapshot, or nil before the first. It is safe for concurrent use.
func (builder *Builder) Current() *Snapshot { return builder.current.Load() }

// Step handles one input of the kernel.
func (builder *Builder) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(configsync.UnconfirmedTimeout, pluginName, timerAwait)
		builder.build(ctx)
	case kernel.Tick:
		if v.Key == timerAwait {
			builder.awaitConfirmed(ctx)
			return
		}
		builder.buildScheduled = builder.buildScheduled && v.Key != timerBuild
		builder.build(ctx)
	case kernel.Thawed:
		builder.staleness = staleness{until: ctx.Now + MaxStale}
		builder.build(ctx)
		ctx.After(MaxStale, pluginName, timerStale)
	case mesh.CaughtUp:
		builder.updateStaleness(ctx, func(s *staleness) { s.mesh = true })
	case configsync.Pulled:
		builder.handlePulled(ctx, v)
	case kernel.Stopping:
		builder.build(ctx)
	case mesh.LivenessUpdated:
		if builder.updateLive(ctx.Now) != builder.liveHash {
			builder.build(ctx)
		}
	case mesh.Forgotten:
		delete(builder.lastLive, v.Origin)
		builder.healthReports.forget(v.Origin)
		builder.scheduleBuild(ctx)
		builder.reannounceBackendList(ctx, v.Origin)
	case mesh.Stored:
		switch v.Entry.Type {
		case mesh.EntryPartition:
			builder.build(ctx)
		case mesh.EntryBackendList:
			builder.applyBackendList(ctx, v)
		case mesh.EntryHealthReport:
			builder.healthReports.apply(v)
			builder.scheduleBuild(ctx)
		case mesh.EntryMember:
			builder.scheduleBuild(ctx)
		}
	}
}

// scheduleBuild schedules a build unless a build is already scheduled. That build covers all changes up to the
// time at which it runs.
func (builder *Builder) scheduleBuild(ctx *kernel.Context) {
	if !builder.buildScheduled {
		builder.buildScheduled = true
		ctx.After(max(BuildDelay, builder.builtAt+BuildInterval-ctx.Now), pluginName, timerBuild)
	}
}

// updateStaleness calls f, which records that a thawed process has caught up with one source of changes. If the
// process has now caught up with all sources, it builds a snapshot.
func (builder *Builder) updateStaleness(ctx *kernel.Context, f func(s *staleness)) {
	if !builder.staleness.active(ctx.Now) {
		return
	}
	f(&builder.staleness)
	if !builder.staleness.active(ctx.Now) {
		builder.build(ctx)
	}
}

// handlePulled handles a core's reply to a pull. A process that has just started or was thawed needs a reply
// from a core in contact with a majority, so other replies are ignored.
func (builder *Builder) handlePulled(ctx *kernel.Context, v configsync.Pulled) {
	if v.Confirmed == 0 {
		return
	}
	builder.updateStaleness(ctx, func(s *staleness) { s.pulled = true })
	if !builder.current.Load().Complete {
		builder.build(ctx)
	}
}

// applyBackendList applies an announced version of the platform's list unless a newer list is known. A list is
// newer if it has a higher lease id or, among lists of the same origin, if its entry has a higher count.
func (builder *Builder) applyBackendList(ctx *kernel.Context, v mesh.Stored) {
	var list wire.BackendList
	if wire.Decode(v.Entry.Body, &list) != nil || list.LeaseID < builder.backendList.LeaseID {
		return
	}
	if v.Origin == builder.backendListOrigin && v.Entry.Count < builder.backendListCount {
		return
	}
	listed := map[string]bool{}
	for _, backend := range list.Backends {
		listed[backend.ID] = true
		if backend.State == stateDraining {
			// An incarnation that has been listed as draining never serves again, even if a later list
			// shows another state.
			builder.drainingIncarnation[backend.ID] = max(builder.drainingIncarnation[backend.ID], backend.Incarnation)
		}
	}
	if !list.Complete {
		list.Backends = append(list.Backends, builder.keepAbsent(ctx, listed)...)
	}
	for id := range listed {
		delete(builder.absentSince, id)
	}
	builder.backendList, builder.backendListOrigin, builder.backendListCount = list, v.Origin, v.Entry.Count
	builder.build(ctx)
}

// keepAbsent returns the known backends that are missing from an incomplete list and have been absent for
// less than AbsentTTL, since a backend may still exist although an incomplete list lacks it.
func (builder *Builder) keepAbsent(ctx *kernel.Context, listed map[string]bool) (kept []wire.Backend) {
	for _, backend := range builder.backendList.Backends {
		if listed[backend.ID] {
			continue
		}
		if _, ok := builder.absentSince[backend.ID]; !ok {
			builder.absentSince[backend.ID] = ctx.Now
		}
		if ctx.Now-builder.absentSince[backend.ID] < AbsentTTL {
			kept = append(kept, backend)
		}
	}
	return kept
}

// build builds and publishes a snapshot.
func (builder *Builder) build(ctx *kernel.Context) {
	snap := &Snapshot{
		At: ctx.Now, Indexes: map[string]*Index{}, Zone: builder.k.Boot.Settings.Zone, Divisor: builder.members.Divisor(),
		Draining: builder.members.Local().Draining, Stale: builder.staleness.active(ctx.Now),
	}
	builder.loadConfig(ctx, snap)
	builder.liveHash = builder.updateLive(ctx.Now)
	snap.ZoneDrained = slices.Contains(snap.Config.DrainedZones, snap.Zone)
	snap.Roster = builder.roster(ctx)
	snap.KeyOwners = keyOwners(snap.Roster)
	snap.LiveNodeCount = builder.members.Count(ctx.Now, settings.RoleNode)
	snap.Backends = builder.evaluateBackends(ctx, snap)
	if snap.Configuration != nil {
		for _, service := range snap.Configuration.Services {
			snap.Indexes[service.Index] = builder.buildIndex(snap, service)
		}
	}
	builder.buildPools(snap)
	snap.Complete = builder.complete(ctx, snap)
	builder.logUnconfirmed(ctx, snap)
	builder.current.Store(snap)
	builder.builtAt = ctx.Now
	ctx.Emit(Built{})
}

// Built is emitted when a new snapshot has been published.
type Built struct{}

// reannounceBackendList announces the current list again if the node that had announced it was forgotten,
// so that nodes that start later receive it. Only the first live node by name announces it.
func (builder *Builder) reannounceBackendList(ctx *kernel.Context, forgotten string) {
	live := builder.members.Live(ctx.Now, settings.RoleNode)
	if forgotten == builder.backendListOrigin && len(live) > 0 && live[0].Origin == builder.mesh.Self() {
		builder.mesh.Announce(ctx, mesh.EntryBackendList, discovery.LeaseTask, wire.Encode(&builder.backendList), false)
	}
}
