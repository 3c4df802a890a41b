// Package discovery reads the platform's list of backends. One node does it at
// a time, within the fleet's call allowance, by a lease that the leader of the
// duty's partition grants; where no core can be reached, the nodes take turns by
// rank. An empty or failing answer proves nothing.
package discovery

import (
	"encoding/json"
	"net/http"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the duty.
const (
	LeaseTask     = "platform-list"
	RenewInterval = 200_000
	StaleAfter    = 1_500_000
	RankStep      = 200_000
	FetchTimeout  = 700_000
	// MaxRequestGap bounds the renewals that a node without the duty lets pass between two asks for it.
	MaxRequestGap = 20
	// ReleaseBackoff is how long a node that got no answer at all leaves the duty to others.
	ReleaseBackoff = 5_000_000
	// AnnounceInterval is how often a reading is told whole though nothing changed.
	AnnounceInterval = 10_000_000
	// SlowStartTolerance is by how much the end of a server's cold time may move without being news.
	SlowStartTolerance = 1_000_000
)

// Lister is the plug-in of a node.
type Lister struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	leaseUntil int64
	// leaseID is the turn of the duty as it was granted to this node last; asked is when each ask was
	// sent that a grant may still answer, by its id.
	leaseID       uint64
	requestedAt   map[uint64]int64
	lastRequestID uint64
	newestLeaseID uint64
	readAt        int64
	heardAt       int64
	announcedHash uint64
	announcedAt   int64
	reading       bool
	soleReader    bool
	slowdown      int64
	nextRequestAt int64
	idleUntil     int64
	// slowStartUntil is when each cold server was last told to be warm.
	slowStartUntil map[string]int64
	// unread is that no reading is known yet.
	unread bool
	// callsPerRead is how many calls of the platform the last reading took.
	callsPerRead int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Lister{callsPerRead: 1, unread: true, requestedAt: map[uint64]int64{}, readAt: -AnnounceInterval, k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), configSync: kernel.Find[*configsync.Sync](k)}
	}})
}

// Name is the plug-in's name.
func (p *Lister) Name() string { return "listing" }

// Kinds are the frames that it takes.
func (p *Lister) Kinds() []uint8 { return []uint8{wire.KindLeaseReply} }

// Step takes one input.
func (p *Lister) Step(ctx *kernel.Context, in kernel.Input) {
	if p.k.Boot.Settings.PlatformURL == "" {
		return
	}
	switch v := in.(type) {
	case kernel.Start:
		p.heardAt = ctx.Now
		ctx.After(ctx.Rand.Int64N(RenewInterval), "listing", "renew")
		p.scheduleFirstRead(ctx)
	case kernel.Tick:
		if v.Key == "first" {
			p.readFirst(ctx)
			return
		}
		ctx.After(RenewInterval, "listing", "renew")
		p.renewAndRead(ctx)
	case kernel.Message:
		var r wire.LeaseReply
		if wire.Decode(v.Body, &r) != nil {
			return
		}
		p.handleLeaseReply(v.ID, r)
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

// handleStored notes whose reading was heard of last, and the newest holder's turn:
// a reading made without a hold must not look older than what is known.
func (p *Lister) handleStored(ctx *kernel.Context, v mesh.Stored) {
	if v.Entry.Type != "listing" && v.Entry.Type != "polled" {
		return
	}
	p.heardAt, p.soleReader = ctx.Now, v.Local
	p.unread = p.unread && v.Entry.Type != "listing"
	var l wire.BackendList
	if v.Entry.Type == "listing" && wire.Decode(v.Entry.Body, &l) == nil {
		p.checkSingleLeaseHolder(ctx, v, &l)
		p.newestLeaseID = max(p.newestLeaseID, l.LeaseID)
	}
}

// readInterval is the time between two readings. The holder, or whoever reads for the greater
// part of the fleet, has five eighths of the allowance and never gives way. A node that
// sees half of the fleet or less reads for itself with a third of it, and less and less
// of it for as long as the platform says that it is too much: others are alone as well.
func (p *Lister) readInterval(ctx *kernel.Context) int64 {
	per, nodes := 10_000_000*p.callsPerRead/p.k.Boot.Settings.PollsPer10s, p.members.Divisor()
	least := p.k.Boot.Settings.ListInterval
	if ctx.Now < p.leaseUntil || p.mesh.Peers() > 0 && (nodes == 1 || 2*len(p.members.Live(ctx.Now, "node")) > nodes) {
		p.slowdown = 1
		return max(least, per*8/5)
	}
	return max(least, per*3) * max(1, p.slowdown)
}

// maxSlowdown bounds how far a node that is alone gives way.
const maxSlowdown = 16

func (p *Lister) renewAndRead(ctx *kernel.Context) {
	p.requestLease(ctx)
	if p.reading || !(ctx.Now < p.leaseUntil || p.readsWithoutLease(ctx)) || ctx.Now-p.readAt < p.readInterval(ctx) {
		return
	}
	p.read(ctx)
}

func (p *Lister) read(ctx *kernel.Context) {
	p.readAt, p.reading = ctx.Now, true
	ctx.Counts.Add("platform_polls", 1)
	ctx.Fetch("listing", "list", p.k.Boot.Settings.PlatformURL, FetchTimeout)
}

// requestLease renews the duty, or asks for it: the more nodes there are, the more rarely each does.
func (p *Lister) requestLease(ctx *kernel.Context) {
	partition := state.PartitionOf(LeaseTask)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now < p.idleUntil || ctx.Now >= p.leaseUntil && ctx.Now < p.nextRequestAt || p.members.Local().Draining {
		return
	}
	if ctx.Now >= p.leaseUntil {
		gap := RenewInterval * int64(min(len(p.members.Live(ctx.Now, "node")), MaxRequestGap))
		p.nextRequestAt = ctx.Now + gap/2 + ctx.Rand.Int64N(gap+1)
	}
	p.lastRequestID++
	p.requestedAt[p.lastRequestID] = ctx.Now
	delete(p.requestedAt, p.lastRequestID-maxOpenRequests)
	ctx.SendTo(addr, wire.KindLeaseRequest, p.lastRequestID, &wire.LeaseRequest{Partition: partition, Task: LeaseTask, From: p.mesh.Self()})
}

// readsWithoutLease tells that nobody's reading was heard of for so long that it is this node's turn
// by rank. Origins are drawn at each start, so that a zone's nodes do not rank side by side.
func (p *Lister) readsWithoutLease(ctx *kernel.Context) bool {
	if p.soleReader {
		// Nobody else reads: go on at the usual pace until a holder is heard.
		return true
	}
	silent := ctx.Now - p.heardAt - StaleAfter
	if silent <= 0 {
		return false
	}
	rank := int64(0)
	for _, r := range p.members.Live(ctx.Now, "node") {
		if r.Origin < p.mesh.Self() {
			rank++
		}
	}
	return silent > rank*RankStep
}

func (p *Lister) handleFetched(ctx *kernel.Context, v kernel.Fetched) {
	p.reading = false
	var l wire.BackendList
	if v.Err != "" || v.Status != 200 || json.Unmarshal(v.Body, &l) != nil || len(l.Backends) == 0 {
		ctx.Counts.Add("platform_failed", 1)
		if v.Status == http.StatusTooManyRequests {
			p.slowdown = min(2*max(1, p.slowdown), maxSlowdown)
		}
		ctx.Log(kernel.LevelWarn, "platform_failed", "status", v.Status, "err", v.Err)
		// Not even a refusal: another node may have a way to the platform.
		if v.Status == 0 && p.releaseLease(ctx) {
			p.idleUntil = ctx.Now + ReleaseBackoff
		}
		// Told all the same: the others must not all try what fails.
		p.mesh.Announce(ctx, "polled", LeaseTask, nil, false)
		return
	}
	p.callsPerRead, l.Calls = max(1, l.Calls), 0
	l.LeaseID, p.heardAt = p.newestLeaseID, ctx.Now
	if !p.changed(ctx.Now, &l) && ctx.Now-p.announcedAt < AnnounceInterval {
		p.mesh.Announce(ctx, "polled", LeaseTask, nil, false)
		return
	}
	p.announcedAt = ctx.Now
	p.mesh.Announce(ctx, "listing", LeaseTask, wire.Encode(&l), false)
}
