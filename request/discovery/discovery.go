package discovery

import (
	"encoding/json"
	"net/http"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// LeaseTask is the name of the task whose lease the reader of the list holds. It is also the id of the
// entries that the reader announces.
const LeaseTask = "platform-list"

// Intervals, timeouts and bounds for reading the list.
const (
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = 200 * clock.Millisecond
	// StaleAfter is the time without an announced reading after which nodes read the list without the
	// lease. The node of each rank waits RankStep longer than the node of the previous rank.
	StaleAfter = 1500 * clock.Millisecond
	RankStep   = 200 * clock.Millisecond
	// FetchTimeout is the timeout of a call to the platform's API.
	FetchTimeout = 700 * clock.Millisecond
	// MaxRequestGap bounds, in units of RenewInterval, the mean time between two lease requests of a node
	// that does not hold the lease.
	MaxRequestGap = 20
	// ReleaseBackoff is the time for which a node does not request the lease after it has released the lease
	// because it could not reach the platform.
	ReleaseBackoff = 5 * clock.Second
	// AnnounceInterval is the interval at which the complete list is announced even if it has not changed.
	AnnounceInterval = 10 * clock.Second
	// SlowStartTolerance is the time by which the end of a backend's slow start must shift to count as a
	// change of the list.
	SlowStartTolerance = 1 * clock.Second
	// maxSlowdown bounds the backoff factor of a node that reads without the lease.
	maxSlowdown = 16
)

const (
	pluginName     = "listing"
	timerRenew     = "renew"
	timerFirstRead = "first"
	fetchList      = "list"
)

// Lister is the plug-in that reads and announces the list.
type Lister struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync

	// leaseUntil is when this node's lease expires; leaseID is the id of the last lease granted to it.
	leaseUntil clock.Micros
	leaseID    uint64
	// newestLeaseID is the highest known lease id. A list that is read without a lease carries this id, so
	// that other nodes do not discard the list as older than the list that they know.
	newestLeaseID uint64
	// requestedAt holds, by request id, when each lease request was sent. It contains only the requests whose
	// reply is still accepted.
	requestedAt   map[uint64]clock.Micros
	lastRequestID uint64
	nextRequestAt clock.Micros
	// noRequestUntil is the time until which this node does not request the lease.
	noRequestUntil clock.Micros

	readAt  clock.Micros
	reading bool
	// lastReadingAt is when the last reading by any node was announced.
	lastReadingAt clock.Micros
	// soleReader says that the last announced reading was this node's own.
	soleReader bool
	// slowdown is the backoff factor of a node that reads without the lease.
	slowdown int64
	// listUnknown says that no list has been announced yet.
	listUnknown bool
	// callsPerRead is the number of calls to the platform's API that the last reading took.
	callsPerRead int64

	announcedAt   clock.Micros
	announcedHash uint64
	// slowStartUntil is when each backend's slow start ends, as last announced.
	slowStartUntil map[string]clock.Micros
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{settings.RoleNode}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Lister{callsPerRead: 1, listUnknown: true, requestedAt: map[uint64]clock.Micros{}, readAt: -AnnounceInterval, k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), configSync: kernel.Find[*configsync.Sync](k)}
	}})
}

// Name returns the plug-in's name.
func (p *Lister) Name() string { return pluginName }

// Kinds returns the kinds of the frames that the plug-in handles.
func (p *Lister) Kinds() []uint8 { return []uint8{wire.KindLeaseReply} }

// Step handles one input of the kernel.
func (p *Lister) Step(ctx *kernel.Context, in kernel.Input) {
	if p.k.Boot.Settings.PlatformURL == "" {
		return
	}
	switch v := in.(type) {
	case kernel.Start:
		p.lastReadingAt = ctx.Now
		ctx.After(ctx.Rand.Int64N(RenewInterval), pluginName, timerRenew)
		p.scheduleFirstRead(ctx)
	case kernel.Tick:
		if v.Key == timerFirstRead {
			p.readFirst(ctx)
			return
		}
		ctx.After(RenewInterval, pluginName, timerRenew)
		p.renewAndRead(ctx)
	case kernel.Message:
		var reply wire.LeaseReply
		if wire.Decode(v.Body, &reply) != nil {
			return
		}
		p.handleLeaseReply(v.ID, reply)
	case kernel.Fetched:
		p.handleFetched(ctx, v)
	case kernel.Thawed:
		p.forgetLease()
	case kernel.Stopping:
		p.releaseLease(ctx)
	case mesh.Stored:
		p.handleStored(ctx, v)
	}
}

// handleStored handles the announcement of a reading. It records the time and the highest lease id.
func (p *Lister) handleStored(ctx *kernel.Context, v mesh.Stored) {
	if v.Entry.Type != mesh.EntryBackendList && v.Entry.Type != mesh.EntryPolled {
		return
	}
	p.lastReadingAt, p.soleReader = ctx.Now, v.Local
	p.listUnknown = p.listUnknown && v.Entry.Type != mesh.EntryBackendList
	var list wire.BackendList
	if v.Entry.Type == mesh.EntryBackendList && wire.Decode(v.Entry.Body, &list) == nil {
		p.checkSingleLeaseHolder(ctx, v, &list)
		p.newestLeaseID = max(p.newestLeaseID, list.LeaseID)
	}
}

// readInterval returns the minimum time between two readings by this node. The lease holder, or a reader that
// sees more than half of the fleet, uses five eighths of the allowance, without backoff. A node that sees half
// of the fleet or less uses a third of the allowance, and backs off further for as long as the platform
// rejects its calls with status 429, since other nodes may be isolated and reading as well.
func (p *Lister) readInterval(ctx *kernel.Context) clock.Micros {
	// perRead is the interval at which readings use the whole allowance of the fleet.
	perRead, nodes := 10*clock.Second*p.callsPerRead/p.k.Boot.Settings.PollsPer10s, p.members.Divisor()
	least := p.k.Boot.Settings.ListInterval
	if ctx.Now < p.leaseUntil || p.mesh.Peers() > 0 && (nodes == 1 || 2*len(p.members.Live(ctx.Now, settings.RoleNode)) > nodes) {
		p.slowdown = 1
		return max(least, perRead*8/5)
	}
	return max(least, perRead*3) * max(1, p.slowdown)
}

// renewAndRead renews or requests the lease and reads the list if a reading is due.
func (p *Lister) renewAndRead(ctx *kernel.Context) {
	p.requestLease(ctx)
	if p.reading || !(ctx.Now < p.leaseUntil || p.readsWithoutLease(ctx)) || ctx.Now-p.readAt < p.readInterval(ctx) {
		return
	}
	p.read(ctx)
}

// read starts a reading.
func (p *Lister) read(ctx *kernel.Context) {
	p.readAt, p.reading = ctx.Now, true
	ctx.Counts.Add("platform_polls", 1)
	ctx.Fetch(pluginName, fetchList, p.k.Boot.Settings.PlatformURL, FetchTimeout)
}

// requestLease renews the lease or, if this node does not hold it, requests it. The more nodes there are, the
// less often each of them requests it.
func (p *Lister) requestLease(ctx *kernel.Context) {
	partition := state.PartitionOf(LeaseTask)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now < p.noRequestUntil || ctx.Now >= p.leaseUntil && ctx.Now < p.nextRequestAt || p.members.Local().Draining {
		return
	}
	if ctx.Now >= p.leaseUntil {
		gap := RenewInterval * clock.Micros(min(len(p.members.Live(ctx.Now, settings.RoleNode)), MaxRequestGap))
		p.nextRequestAt = ctx.Now + gap/2 + ctx.Rand.Int64N(gap+1)
	}
	p.lastRequestID++
	p.requestedAt[p.lastRequestID] = ctx.Now
	delete(p.requestedAt, p.lastRequestID-maxOpenRequests)
	ctx.SendTo(addr, wire.KindLeaseRequest, p.lastRequestID, &wire.LeaseRequest{Partition: partition, Task: LeaseTask, From: p.mesh.Self()})
}

// readsWithoutLease reports whether this node may read the list without the lease: because the last reading
// was its own, or because no reading has been announced for StaleAfter plus RankStep for each live node of a
// lower rank. Nodes rank by origin, which is random for each process, so that the nodes of one zone do not
// have adjacent ranks.
func (p *Lister) readsWithoutLease(ctx *kernel.Context) bool {
	if p.soleReader {
		// No other node reads: continue until another node announces a reading.
		return true
	}
	overdue := ctx.Now - p.lastReadingAt - StaleAfter
	if overdue <= 0 {
		return false
	}
	rank := clock.Micros(0)
	for _, node := range p.members.Live(ctx.Now, settings.RoleNode) {
		if node.Origin < p.mesh.Self() {
			rank++
		}
	}
	return overdue > rank*RankStep
}

// handleFetched handles the platform's response. It announces the list if it has changed or AnnounceInterval
// has passed, and otherwise only that the list was read.
func (p *Lister) handleFetched(ctx *kernel.Context, v kernel.Fetched) {
	p.reading = false
	var list wire.BackendList
	if v.Err != "" || v.Status != http.StatusOK || json.Unmarshal(v.Body, &list) != nil || len(list.Backends) == 0 {
		p.handleFailure(ctx, v)
		return
	}
	p.callsPerRead, list.Calls = max(1, list.Calls), 0
	list.LeaseID, p.lastReadingAt = p.newestLeaseID, ctx.Now
	if !p.changed(ctx.Now, &list) && ctx.Now-p.announcedAt < AnnounceInterval {
		p.mesh.Announce(ctx, mesh.EntryPolled, LeaseTask, nil, false)
		return
	}
	p.announcedAt = ctx.Now
	p.mesh.Announce(ctx, mesh.EntryBackendList, LeaseTask, wire.Encode(&list), false)
}

// handleFailure handles a reading that failed or returned no backend. It announces the attempt nevertheless,
// since otherwise all other nodes would consider the list stale and read it too.
func (p *Lister) handleFailure(ctx *kernel.Context, v kernel.Fetched) {
	ctx.Counts.Add("platform_failed", 1)
	if v.Status == http.StatusTooManyRequests {
		p.slowdown = min(2*max(1, p.slowdown), maxSlowdown)
	}
	ctx.Log(kernel.LevelWarn, "platform_failed", "status", v.Status, "error", v.Err)
	if v.Status == 0 && p.releaseLease(ctx) {
		// This node cannot reach the platform, but another node may.
		p.noRequestUntil = ctx.Now + ReleaseBackoff
	}
	p.mesh.Announce(ctx, mesh.EntryPolled, LeaseTask, nil, false)
}
