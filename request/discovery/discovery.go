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

// LeaseTask is the task whose lease the reader of the list holds. It is also the id of the entries
// that the reader announces.
const LeaseTask = "platform-list"

// Constants of reading the list.
const (
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = 200 * clock.Millisecond
	// StaleAfter is how long nothing must have been heard of the list before nodes read it without
	// the lease. RankStep separates the first from the second by rank, and so on.
	StaleAfter = 1500 * clock.Millisecond
	RankStep   = 200 * clock.Millisecond
	// FetchTimeout is the time-out of a call of the platform.
	FetchTimeout = 700 * clock.Millisecond
	// MaxRequestGap bounds, in units of RenewInterval, how long a node that does not hold the lease
	// waits between two requests for it.
	MaxRequestGap = 20
	// ReleaseBackoff is how long a node that could not reach the platform leaves the lease to others.
	ReleaseBackoff = 5 * clock.Second
	// AnnounceInterval is how often the complete list is announced though it has not changed.
	AnnounceInterval = 10 * clock.Second
	// SlowStartTolerance is by how much the end of a backend's slow start may move without being a
	// change.
	SlowStartTolerance = 1 * clock.Second
	// maxSlowdown bounds the backoff of a node that reads by itself.
	maxSlowdown = 16
)

const (
	pluginName     = "listing"
	timerRenew     = "renew"
	timerFirstRead = "first"
	fetchList      = "list"
)

// Lister is the plug-in of a node.
type Lister struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync

	// leaseUntil is when the lease of this node ends; leaseID is that of the last lease granted to it.
	leaseUntil clock.Micros
	leaseID    uint64
	// newestLeaseID is the highest lease id heard of. A list that is read without a lease carries it,
	// so that it does not look older than what is known.
	newestLeaseID uint64
	// requestedAt is when each request was sent that a reply may still answer, by its id.
	requestedAt   map[uint64]clock.Micros
	lastRequestID uint64
	nextRequestAt clock.Micros
	// noRequestUntil is until when this node requests no lease.
	noRequestUntil clock.Micros

	readAt  clock.Micros
	reading bool
	// lastReadingAt is when a reading was last heard of, by whichever node.
	lastReadingAt clock.Micros
	// soleReader says that the last reading heard of was this node's.
	soleReader bool
	// slowdown is the factor by which a node that reads by itself backs off.
	slowdown int64
	// listUnknown says that no list is known yet.
	listUnknown bool
	// callsPerRead is how many calls of the platform the last reading took.
	callsPerRead int64

	announcedAt   clock.Micros
	announcedHash uint64
	// slowStartUntil is when, as last announced, the slow start of each backend ends.
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

// handleStored records that a reading was announced, and the highest lease id.
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

// readInterval returns the least time between two readings of this node. The lease holder, or the
// reader of the greater part of a fleet, uses five eighths of the allowance without backoff. A node
// that sees half of the fleet or less uses a third of it, and backs off further for as long as the
// platform rejects its calls for their number, since other nodes may be as isolated.
func (p *Lister) readInterval(ctx *kernel.Context) clock.Micros {
	// perRead is the interval that uses up the fleet's allowance.
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

// requestLease renews the lease, or requests it if another node may hold it. The more nodes there
// are, the more rarely each of them requests it.
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

// readsWithoutLease reports whether no reading was heard of for so long that it is this node's turn
// by rank. Origins are random at each start, so that the nodes of one zone do not rank side by
// side.
func (p *Lister) readsWithoutLease(ctx *kernel.Context) bool {
	if p.soleReader {
		// Nobody else reads: continue until another reader is heard.
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

// handleFetched announces a reading, or that it failed or changed nothing.
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

// handleFailure handles a reading that failed or named no backend. The attempt is announced
// nevertheless, so that the other nodes do not all try what fails.
func (p *Lister) handleFailure(ctx *kernel.Context, v kernel.Fetched) {
	ctx.Counts.Add("platform_failed", 1)
	if v.Status == http.StatusTooManyRequests {
		p.slowdown = min(2*max(1, p.slowdown), maxSlowdown)
	}
	ctx.Log(kernel.LevelWarn, "platform_failed", "status", v.Status, "error", v.Err)
	if v.Status == 0 && p.releaseLease(ctx) {
		// The platform could not be reached at all; another node may reach it.
		p.noRequestUntil = ctx.Now + ReleaseBackoff
	}
	p.mesh.Announce(ctx, mesh.EntryPolled, LeaseTask, nil, false)
}
