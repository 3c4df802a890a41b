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

// Every is the time between two pulls; EmptyPullInterval is that of a core that knows no version yet.
const (
	PullInterval      = 450_000
	EmptyPullInterval = 200_000
)

// Pulled is emitted when a core has answered and its versions are taken in.
type Pulled struct {
	// SentAt is when it was asked.
	SentAt int64
	// Contact has a bit for each part of which the core is itself in contact with a majority;
	// Confirmed has those, too, of which it was told so.
	Contact, Confirmed uint32
}

// pendingPull is a pull that may still be answered.
type pendingPull struct {
	addr   string
	sentAt int64
}

// Sync is the plug-in of a node, and of a core, which may have no replica and then hears no leader otherwise.
type Sync struct {
	mesh          *mesh.Mesh
	members       *membership.Members
	leaders       [state.Partitions]wire.Leader
	leaderHeardAt [state.Partitions]int64
	pulls         int
	known         []string
	liveAt        map[string]int64
	zones         map[string]string
	settings      settings.Settings
	isCore        bool

	// unansweredSince is when a core was first asked without having answered since.
	unansweredSince map[string]int64
	pending         map[uint64]pendingPull
	nextID          uint64
	contact         contact
}

// Bounds of the addresses of cores kept beyond the mesh's own memory.
const (
	maxKnownCores = 16
	keepCoreFor   = 20_000_000
)

func init() {
	kernel.Register(kernel.Registration{Rank: 40, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Sync{
			mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), liveAt: map[string]int64{},
			zones: map[string]string{}, settings: k.Boot.Settings, isCore: k.Boot.Role == "core", unansweredSince: map[string]int64{}, pending: map[uint64]pendingPull{},
			contact: contact{withoutContact: map[string]bool{}},
		}
	}})
}

// Name is the plug-in's name.
func (p *Sync) Name() string { return "pulls" }

// Kinds are the frames that it takes.
func (p *Sync) Kinds() []uint8 { return []uint8{wire.KindPullReply} }

// Leader is the address of the core that leads a partition, as last heard.
func (p *Sync) Leader(partition int) string { return p.leaders[partition].Addr }

// leaderTimeout is how long after a core's word the leader counts as heard.
const leaderTimeout = 2_000_000

// HearsLeader reports whether a core that this node reaches follows a leader of the partition.
func (p *Sync) HearsLeader(partition int, now int64) bool {
	return p.leaderHeardAt[partition] > 0 && now-p.leaderHeardAt[partition] < leaderTimeout
}

// Step takes one input.
func (p *Sync) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(p.interval(ctx.Now)), "pulls", "pull")
	case kernel.Tick:
		ctx.After(p.interval(ctx.Now), "pulls", "pull")
		p.pull(ctx)
	case kernel.Thawed:
		clear(p.unansweredSince)
		p.pull(ctx)
	case kernel.SeedsChanged:
		p.settings.Seeds = v.Seeds
	case kernel.Message:
		p.pullReplied(ctx, v)
	case mesh.Stored:
		if v.Entry.Type == "part" {
			p.versionStored(ctx)
		}
	}
}

// versionStored notes that there is a new version of a partition. The first one that the mesh brings to a process
// that has just started is confirmed at once, if a core can be asked.
func (p *Sync) versionStored(ctx *kernel.Context) {
	if !p.isCore {
		stamps := p.versions()
		p.members.Update(func(s *wire.Member) { s.InForce = stamps })
	}
	if p.contact.firstStoredAt > 0 {
		return
	}
	p.contact.firstStoredAt = max(ctx.Now, 1)
	if len(p.pending) == 0 && p.starting(ctx.Now) {
		p.pull(ctx)
	}
}

func (p *Sync) pullReplied(ctx *kernel.Context, v kernel.Message) {
	var r wire.PullReply
	if wire.Decode(v.Body, &r) != nil {
		ctx.Counts.Add("frames_malformed", 1)
		return
	}
	asked, open := p.pending[v.ID]
	if open {
		delete(p.unansweredSince, asked.addr)
		delete(p.pending, v.ID)
	}
	for _, ver := range r.Versions {
		p.mesh.StoreVersion(ctx, ver)
	}
	if open {
		p.recordContact(ctx, asked, &r)
	}
	for _, o := range r.Leaders {
		if o.Partition >= 0 && o.Partition < state.Partitions && o.Term >= p.leaders[o.Partition].Term && o.Addr != "" {
			p.leaders[o.Partition], p.leaderHeardAt[o.Partition] = o, ctx.Now
		}
	}
}

func (p *Sync) versions() []wire.Version {
	var out []wire.Version
	for partition := range state.Partitions {
		if v, ok := p.mesh.Partition(partition); ok {
			out = append(out, v.Version)
		}
	}
	return out
}

// hasNoState tells that this is a core that has heard of no version: it may have a fleet to form, or to find.
func (p *Sync) hasNoState() bool {
	_, ok := p.mesh.Partition(state.ConfigPartition)
	return !ok && p.isCore
}

func (p *Sync) interval(now int64) int64 {
	switch {
	case p.hasNoState():
		return EmptyPullInterval
	case p.starting(now):
		return StartupPullInterval
	}
	return PullInterval
}

func (p *Sync) pull(ctx *kernel.Context) {
	req := wire.Pull{Have: p.versions()}
	if p.isCore {
		self := p.members.Local()
		req.Addr, req.Zone = self.Addr, self.Zone
		if self.UnhealthyReason == "" && !self.Draining {
			req.Replica = self.Replica
		}
	}
	cores := p.candidateCores(ctx.Now)
	switch {
	case p.hasNoState():
	case p.starting(ctx.Now):
		cores = p.startupCores(cores)
	default:
		cores = p.chooseCore(ctx, cores)
	}
	for _, a := range cores {
		p.nextID++
		p.pending[p.nextID] = pendingPull{a, ctx.Now}
		if _, ok := p.unansweredSince[a]; !ok {
			p.unansweredSince[a] = ctx.Now
		}
		ctx.SendTo(a, wire.KindPull, p.nextID, &req)
	}
	for id := range p.pending {
		if id+maxPendingPulls < p.nextID {
			delete(p.pending, id)
		}
	}
}
