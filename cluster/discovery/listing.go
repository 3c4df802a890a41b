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
	Duty        = "platform-list"
	RenewEvery  = 200_000
	StaleAfter  = 1_500_000
	RankStep    = 200_000
	FetchWithin = 700_000
	// AskMost bounds the renewals that a node without the duty lets pass between two asks for it.
	AskMost = 20
	// GiveUpFor is how long a node that got no answer at all leaves the duty to others.
	GiveUpFor = 5_000_000
	// TellEvery is how often a reading is told whole though nothing changed.
	TellEvery = 10_000_000
	// ColdSlack is by how much the end of a server's cold time may move without being news.
	ColdSlack = 1_000_000
)

// Lister is the plug-in of a node.
type Lister struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	until      int64
	// lease is the turn of the duty as it was granted to this node last; asked is when each ask was
	// sent that a grant may still answer, by its id.
	lease   uint64
	asked   map[uint64]int64
	nextAsk uint64
	turn    uint64
	polled  int64
	heard   int64
	sum     uint64
	told    int64
	under   bool
	alone   bool
	slower  int64
	askAt   int64
	idleTo  int64
	// coldTo is when each cold server was last told to be warm.
	coldTo map[string]int64
	// blank is that no reading is known yet.
	blank bool
	// calls is how many calls of the platform the last reading took.
	calls int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Lister{calls: 1, blank: true, asked: map[uint64]int64{}, polled: -TellEvery, k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), configSync: kernel.Find[*configsync.Sync](k)}
	}})
}

// Name is the plug-in's name.
func (p *Lister) Name() string { return "listing" }

// Kinds are the frames that it takes.
func (p *Lister) Kinds() []uint8 { return []uint8{wire.KindLeaseReply} }

// Step takes one input.
func (p *Lister) Step(ctx *kernel.Context, in kernel.Input) {
	if p.k.Boot.Settings.Platform == "" {
		return
	}
	switch v := in.(type) {
	case kernel.Start:
		p.heard = ctx.Now
		ctx.After(ctx.Rand.Int64N(RenewEvery), "listing", "renew")
		p.first(ctx)
	case kernel.Tick:
		if v.Key == "first" {
			p.readFirst(ctx)
			return
		}
		ctx.After(RenewEvery, "listing", "renew")
		p.renew(ctx)
	case kernel.Message:
		var r wire.LeaseReply
		if wire.Decode(v.Body, &r) != nil {
			return
		}
		p.granted(v.ID, r)
	case kernel.Fetched:
		p.fetched(ctx, v)
	case kernel.Thawed:
		p.release()
	case kernel.Stopping:
		p.drop(ctx)
	case mesh.Stored:
		p.stored(ctx, v)
	}
}

// stored notes whose reading was heard of last, and the newest holder's turn:
// a reading made without a hold must not look older than what is known.
func (p *Lister) stored(ctx *kernel.Context, v mesh.Stored) {
	if v.Entry.Type != "listing" && v.Entry.Type != "polled" {
		return
	}
	p.heard, p.alone = ctx.Now, v.Own
	p.blank = p.blank && v.Entry.Type != "listing"
	var l wire.Listing
	if v.Entry.Type == "listing" && wire.Decode(v.Entry.Body, &l) == nil {
		p.checkHolder(ctx, v, &l)
		p.turn = max(p.turn, l.Turn)
	}
}

// every is the time between two readings. The holder, or whoever reads for the greater
// part of the fleet, has five eighths of the allowance and never gives way. A node that
// sees half of the fleet or less reads for itself with a third of it, and less and less
// of it for as long as the platform says that it is too much: others are alone as well.
func (p *Lister) every(ctx *kernel.Context) int64 {
	per, nodes := 10_000_000*p.calls/p.k.Boot.Settings.PollsPer, p.members.Divisor()
	least := p.k.Boot.Settings.ListEvery
	if ctx.Now < p.until || p.mesh.Peers() > 0 && (nodes == 1 || 2*len(p.members.Live(ctx.Now, "node")) > nodes) {
		p.slower = 1
		return max(least, per*8/5)
	}
	return max(least, per*3) * max(1, p.slower)
}

// slowerMost bounds how far a node that is alone gives way.
const slowerMost = 16

func (p *Lister) renew(ctx *kernel.Context) {
	p.ask(ctx)
	if p.under || !(ctx.Now < p.until || p.orphaned(ctx)) || ctx.Now-p.polled < p.every(ctx) {
		return
	}
	p.read(ctx)
}

func (p *Lister) read(ctx *kernel.Context) {
	p.polled, p.under = ctx.Now, true
	ctx.Counts.Add("platform_polls", 1)
	ctx.Fetch("listing", "list", p.k.Boot.Settings.Platform, FetchWithin)
}

// ask renews the duty, or asks for it: the more nodes there are, the more rarely each does.
func (p *Lister) ask(ctx *kernel.Context) {
	partition := state.PartitionOf(Duty)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now < p.idleTo || ctx.Now >= p.until && ctx.Now < p.askAt || p.members.SelfRow().Draining {
		return
	}
	if ctx.Now >= p.until {
		gap := RenewEvery * int64(min(len(p.members.Live(ctx.Now, "node")), AskMost))
		p.askAt = ctx.Now + gap/2 + ctx.Rand.Int64N(gap+1)
	}
	p.nextAsk++
	p.asked[p.nextAsk] = ctx.Now
	delete(p.asked, p.nextAsk-asksMost)
	ctx.SendTo(addr, wire.KindLeaseRequest, p.nextAsk, &wire.LeaseRequest{Partition: partition, Task: Duty, From: p.mesh.Self()})
}

// orphaned tells that nobody's reading was heard of for so long that it is this node's turn
// by rank. Origins are drawn at each start, so that a zone's nodes do not rank side by side.
func (p *Lister) orphaned(ctx *kernel.Context) bool {
	if p.alone {
		// Nobody else reads: go on at the usual pace until a holder is heard.
		return true
	}
	silent := ctx.Now - p.heard - StaleAfter
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

func (p *Lister) fetched(ctx *kernel.Context, v kernel.Fetched) {
	p.under = false
	var l wire.Listing
	if v.Err != "" || v.Status != 200 || json.Unmarshal(v.Body, &l) != nil || len(l.Servers) == 0 {
		ctx.Counts.Add("platform_failed", 1)
		if v.Status == http.StatusTooManyRequests {
			p.slower = min(2*max(1, p.slower), slowerMost)
		}
		ctx.Log(kernel.LevelWarn, "platform_failed", "status", v.Status, "err", v.Err)
		// Not even a refusal: another node may have a way to the platform.
		if v.Status == 0 && p.drop(ctx) {
			p.idleTo = ctx.Now + GiveUpFor
		}
		// Told all the same: the others must not all try what fails.
		p.mesh.Announce(ctx, "polled", Duty, nil, false)
		return
	}
	p.calls, l.Calls = max(1, l.Calls), 0
	l.Turn, p.heard = p.turn, ctx.Now
	if !p.news(ctx.Now, &l) && ctx.Now-p.told < TellEvery {
		p.mesh.Announce(ctx, "polled", Duty, nil, false)
		return
	}
	p.told = ctx.Now
	p.mesh.Announce(ctx, "listing", Duty, wire.Encode(&l), false)
}
