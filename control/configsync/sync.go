// Package configsync asks the cores about twice a second for newer versions of the
// partitions, besides what the mesh floods, so that a change is in force in time
// when either way is cut. It also learns who leads which partition, and tells the
// cores of a core.
package configsync

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Every is the time between two pulls; EmptyEvery is that of a core that knows no version yet.
const (
	Every      = 450_000
	EmptyEvery = 200_000
)

// Pulled is emitted when a core has answered and its versions are taken in.
type Pulled struct {
	// AskedAt is when it was asked.
	AskedAt int64
	// Contact has a bit for each part of which the core is itself in contact with a majority;
	// Confirmed has those, too, of which it was told so.
	Contact, Confirmed uint32
}

// sentPull is a pull that may still be answered.
type sentPull struct {
	addr string
	at   int64
}

// Sync is the plug-in of a node, and of a core, which may have no replica and then hears no leader otherwise.
type Sync struct {
	mesh    *mesh.Mesh
	members *membership.Members
	leaders [state.Partitions]wire.Leader
	ownerAt [state.Partitions]int64
	turn    int
	known   []string
	liveAt  map[string]int64
	zones   map[string]string
	place   settings.Settings
	core    bool

	// asked is when a core was first asked without having answered since.
	asked   map[string]int64
	sent    map[uint64]sentPull
	nextID  uint64
	contact contact
}

// Bounds of the addresses of cores kept beyond the mesh's own memory.
const (
	knownMost = 16
	keepFor   = 20_000_000
)

func init() {
	kernel.Register(kernel.Registration{Rank: 40, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Sync{
			mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), liveAt: map[string]int64{},
			zones: map[string]string{}, place: k.Boot.Settings, core: k.Boot.Role == "core", asked: map[string]int64{}, sent: map[uint64]sentPull{},
			contact: contact{without: map[string]bool{}},
		}
	}})
}

// Name is the plug-in's name.
func (p *Sync) Name() string { return "pulls" }

// Kinds are the frames that it takes.
func (p *Sync) Kinds() []uint8 { return []uint8{wire.KindPullReply} }

// Leader is the address of the core that leads a partition, as last heard.
func (p *Sync) Leader(partition int) string { return p.leaders[partition].Addr }

// leaderFor is how long after a core's word the leader counts as heard.
const leaderFor = 2_000_000

// HearsLeader reports whether a core that this node reaches follows a leader of the partition.
func (p *Sync) HearsLeader(partition int, now int64) bool {
	return p.ownerAt[partition] > 0 && now-p.ownerAt[partition] < leaderFor
}

// Step takes one input.
func (p *Sync) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(p.every(ctx.Now)), "pulls", "pull")
	case kernel.Tick:
		ctx.After(p.every(ctx.Now), "pulls", "pull")
		p.pull(ctx)
	case kernel.Thawed:
		clear(p.asked)
		p.pull(ctx)
	case kernel.SeedsChanged:
		p.place.Seeds = v.Seeds
	case kernel.Message:
		p.replied(ctx, v)
	case mesh.Stored:
		if v.Entry.Type == "part" {
			p.held(ctx)
		}
	}
}

// held notes that there is a new version of a partition. The first one that the mesh brings to a process
// that has just started is confirmed at once, if a core can be asked.
func (p *Sync) held(ctx *kernel.Context) {
	if !p.core {
		stamps := p.stamps()
		p.members.Update(func(s *wire.Member) { s.InForce = stamps })
	}
	if p.contact.heldAt > 0 {
		return
	}
	p.contact.heldAt = max(ctx.Now, 1)
	if len(p.sent) == 0 && p.fresh(ctx.Now) {
		p.pull(ctx)
	}
}

func (p *Sync) replied(ctx *kernel.Context, v kernel.Message) {
	var r wire.PullReply
	if wire.Decode(v.Body, &r) != nil {
		ctx.Counts.Add("frames_malformed", 1)
		return
	}
	asked, open := p.sent[v.ID]
	if open {
		delete(p.asked, asked.addr)
		delete(p.sent, v.ID)
	}
	for _, ver := range r.Versions {
		p.mesh.StoreVersion(ctx, ver)
	}
	if open {
		p.answered(ctx, asked, &r)
	}
	for _, o := range r.Leaders {
		if o.Partition >= 0 && o.Partition < state.Partitions && o.Term >= p.leaders[o.Partition].Term && o.Addr != "" {
			p.leaders[o.Partition], p.ownerAt[o.Partition] = o, ctx.Now
		}
	}
}

func (p *Sync) stamps() []wire.Version {
	var out []wire.Version
	for partition := range state.Partitions {
		if v, ok := p.mesh.Partition(partition); ok {
			out = append(out, v.Version)
		}
	}
	return out
}

// empty tells that this is a core that has heard of no version: it may have a fleet to form, or to find.
func (p *Sync) empty() bool {
	_, ok := p.mesh.Partition(state.ConfigPartition)
	return !ok && p.core
}

func (p *Sync) every(now int64) int64 {
	switch {
	case p.empty():
		return EmptyEvery
	case p.fresh(now):
		return FreshEvery
	}
	return Every
}

func (p *Sync) pull(ctx *kernel.Context) {
	req := wire.Pull{Have: p.stamps()}
	if p.core {
		self := p.members.Local()
		req.Addr, req.Zone = self.Addr, self.Zone
		if self.UnhealthyReason == "" && !self.Draining {
			req.Replica = self.Replica
		}
	}
	cores := p.cores(ctx.Now)
	switch {
	case p.empty():
	case p.fresh(ctx.Now):
		cores = p.several(cores)
	default:
		cores = p.choose(ctx, cores)
	}
	for _, a := range cores {
		p.nextID++
		p.sent[p.nextID] = sentPull{a, ctx.Now}
		if _, ok := p.asked[a]; !ok {
			p.asked[a] = ctx.Now
		}
		ctx.SendTo(a, wire.KindPull, p.nextID, &req)
	}
	for id := range p.sent {
		if id+sentMost < p.nextID {
			delete(p.sent, id)
		}
	}
}
