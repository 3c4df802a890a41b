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

// BuildWithin is how long a change other than a partition's may wait for the next snapshot, and
// BuildEvery the least time between two snapshots that are built for such changes alone.
const (
	BuildWithin = 25_000
	BuildEvery  = 100_000
)

// Table is the plug-in.
type Table struct {
	k          *kernel.Kernel
	mesh       *mesh.Mesh
	members    *membership.Members
	usage      *loadreport.Usage
	configSync *configsync.Sync
	Gauges     *Gauges
	now        atomic.Pointer[Snapshot]
	armed      bool
	builtAt    int64
	alive      uint64
	config     config
	listing    wire.Listing
	from       string
	count      uint64
	left       map[string]int64
	births     map[string]birth
	liveAt     map[string]int64
	absent     map[string]int64
	opinions   opinions
	// cuts are those that this node serves from.
	cuts  map[string]wire.LiveCut
	stale stale
}

// stale is what a process still has to hear after it was thawed.
type stale struct {
	until  int64
	mesh   bool
	pulled bool
}

func (s stale) at(now int64) bool { return now < s.until && !(s.mesh && s.pulled) }

type birth struct{ incarnation, born int64 }

func init() {
	kernel.Register(kernel.Registration{Rank: 60, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Table{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), usage: kernel.Find[*loadreport.Usage](k),
			configSync: kernel.Find[*configsync.Sync](k), Gauges: &Gauges{}, left: map[string]int64{}, births: map[string]birth{}, liveAt: map[string]int64{}, absent: map[string]int64{}, opinions: opinions{}, cuts: map[string]wire.LiveCut{},
		}
	}})
}

// Name is the plug-in's name.
func (b *Table) Name() string { return "table" }

// Kinds are the frames that it takes: none.
func (b *Table) Kinds() []uint8 { return nil }

// Now is the newest snapshot; any thread may ask.
func (b *Table) Now() *Snapshot { return b.now.Load() }

// Step takes one input.
func (b *Table) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(configsync.UnconfirmedAfter, "table", awaitKey)
		b.build(ctx)
	case kernel.Tick:
		if v.Key == awaitKey {
			b.await(ctx)
			return
		}
		b.armed = b.armed && v.Key != "build"
		b.build(ctx)
	case kernel.Thawed:
		b.stale = stale{until: ctx.Now + StaleMost}
		b.build(ctx)
		ctx.After(StaleMost, "table", "stale")
	case mesh.CaughtUp:
		b.heard(ctx, func(s *stale) { s.mesh = true })
	case configsync.Pulled:
		b.pulled(ctx, v)
	case kernel.Stopping:
		b.build(ctx)
	case mesh.Pulse:
		if b.lives(ctx.Now) != b.alive {
			b.build(ctx)
		}
	case mesh.Forgotten:
		delete(b.liveAt, v.Origin)
		b.opinions.forget(v.Origin)
		b.soon(ctx)
		b.inherit(ctx, v.Origin)
	case mesh.Stored:
		switch v.Entry.Type {
		case "part":
			b.build(ctx)
		case "listing":
			b.list(ctx, v)
		case "opinion":
			b.opinions.take(v)
			b.soon(ctx)
		case "member":
			b.soon(ctx)
		}
	}
}

// soon has a snapshot built shortly, for all that changes until then.
func (b *Table) soon(ctx *kernel.Context) {
	if !b.armed {
		b.armed = true
		ctx.After(max(BuildWithin, b.builtAt+BuildEvery-ctx.Now), "table", "build")
	}
}

// heard notes one of the things that a thawed process waits for.
func (b *Table) heard(ctx *kernel.Context, f func(s *stale)) {
	if was := b.stale.at(ctx.Now); was {
		f(&b.stale)
		if !b.stale.at(ctx.Now) {
			b.build(ctx)
		}
	}
}

// pulled notes that a core answered a pull: what a process serves from that has just started, or was
// thawed, needs an answer of a core in contact with a majority.
func (b *Table) pulled(ctx *kernel.Context, v configsync.Pulled) {
	if v.Confirmed == 0 {
		return
	}
	b.heard(ctx, func(s *stale) { s.pulled = true })
	if !b.now.Load().Whole {
		b.build(ctx)
	}
}

// list takes a reading of the platform's list, unless an older holder made it.
func (b *Table) list(ctx *kernel.Context, v mesh.Stored) {
	var l wire.Listing
	if wire.Decode(v.Entry.Body, &l) != nil || l.Turn < b.listing.Turn {
		return
	}
	if v.Origin == b.from && v.Entry.Count < b.count {
		return
	}
	there := map[string]bool{}
	for _, s := range l.Servers {
		there[s.ID] = true
		if s.State == "leaving" {
			// Sticky for the incarnation: no later reading takes it back.
			b.left[s.ID] = max(b.left[s.ID], s.Incarnation)
		}
	}
	for _, s := range b.listing.Servers {
		if !there[s.ID] && !l.Whole {
			// Absence from such a list proves nothing; the server stays until it is absent for long.
			if _, ok := b.absent[s.ID]; !ok {
				b.absent[s.ID] = ctx.Now
			}
			if ctx.Now-b.absent[s.ID] < AbsentFor {
				l.Servers = append(l.Servers, s)
			}
		}
	}
	for id := range there {
		delete(b.absent, id)
	}
	b.listing, b.from, b.count = l, v.Origin, v.Entry.Count
	b.build(ctx)
}

// AbsentFor is how long a server that left the list without a word is kept.
const AbsentFor = 60_000_000

func (b *Table) build(ctx *kernel.Context) {
	c := &Snapshot{
		At: ctx.Now, Indexes: map[string]*Index{}, Zone: b.k.Boot.Settings.Zone, Divisor: b.members.Divisor(),
		Drains: b.members.SelfRow().Draining, Stale: b.stale.at(ctx.Now),
	}
	b.configure(ctx, c)
	b.alive = b.lives(ctx.Now)
	for _, z := range c.Config.DrainedZones {
		c.Emptied = c.Emptied || z == c.Zone
	}
	c.Roster = b.roster(ctx)
	c.Homes = homes(c.Roster)
	c.Peers = b.members.Count(ctx.Now, "node")
	c.Servers = b.judge(ctx, c)
	if c.Sheet != nil {
		for _, s := range c.Sheet.Services {
			c.Indexes[s.Index] = b.index(c, s)
		}
	}
	b.pools(c)
	c.Whole = b.whole(ctx, c)
	b.noteUnconfirmed(ctx, c)
	b.now.Store(c)
	b.builtAt = ctx.Now
	ctx.Emit(Built{})
}

// Built is emitted when a new snapshot has been published.
type Built struct{}

// inherit tells the list again that a forgotten node had told, so that nodes
// which start later still find it. The first live node by name does so.
func (b *Table) inherit(ctx *kernel.Context, gone string) {
	live := b.members.Live(ctx.Now, "node")
	if gone == b.from && len(live) > 0 && live[0].Origin == b.mesh.Self() {
		b.mesh.Announce(ctx, "listing", discovery.Duty, wire.Encode(&b.listing), false)
	}
}
