package configsync

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const (
	// PullInterval is the interval between pulls.
	PullInterval = 450 * clock.Millisecond
	// EmptyPullInterval is the interval between pulls of a core that has no version yet.
	EmptyPullInterval = 200 * clock.Millisecond
	// leaderTimeout is how long a leader is considered current after a core has reported it.
	leaderTimeout = 2 * clock.Second
	// maxPendingPulls bounds the number of unanswered pulls that are tracked.
	maxPendingPulls = 64
)

// pluginName and pullTimer identify the plug-in's only timer.
const (
	pluginName = "pulls"
	pullTimer  = "pull"
)

// Pulled is emitted when a core has answered a pull and the versions in its reply are stored.
type Pulled struct {
	// SentAt is when the pull was sent.
	SentAt clock.Micros
	// Contact has a bit for each partition for which the core itself is in contact with a majority of the voters.
	Contact uint32
	// Confirmed has the bits of Contact and those of the partitions for which another core has recently reported
	// contact to the core that replied.
	Confirmed uint32
}

// pendingPull is a pull that may still be answered.
type pendingPull struct {
	addr   string
	sentAt clock.Micros
}

// Sync is the plug-in that pulls versions from cores.
type Sync struct {
	mesh     *mesh.Mesh
	members  *membership.Members
	settings settings.Settings
	isCore   bool

	// leaders has the last reported leader of each partition, and leaderReportedAt the time of that report.
	leaders          [state.Partitions]wire.Leader
	leaderReportedAt [state.Partitions]clock.Micros

	// known has the addresses of the recently live cores; liveAt is when each was last live.
	known  []string
	liveAt map[string]clock.Micros
	// zones maps the addresses of the known cores to their zones.
	zones map[string]string
	// unansweredSince maps the address of a core that has not answered the latest pulls to when the first of them was sent.
	unansweredSince map[string]clock.Micros
	// selections counts the cores selected by chooseCore.
	selections int

	pending map[uint64]pendingPull
	nextID  uint64
	contact contact
}

func init() {
	kernel.Register(kernel.Registration{Rank: 40, Roles: []string{settings.RoleNode, settings.RoleCore}, Make: newPlugin})
}

func newPlugin(k *kernel.Kernel) kernel.Plugin {
	return &Sync{
		mesh:            kernel.Find[*mesh.Mesh](k),
		members:         kernel.Find[*membership.Members](k),
		settings:        k.Boot.Settings,
		isCore:          k.Boot.Role == settings.RoleCore,
		liveAt:          map[string]clock.Micros{},
		zones:           map[string]string{},
		unansweredSince: map[string]clock.Micros{},
		pending:         map[uint64]pendingPull{},
		contact:         contact{withoutContact: map[string]bool{}},
	}
}

// Name returns the plug-in's name.
func (p *Sync) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in receives.
func (p *Sync) Kinds() []uint8 { return []uint8{wire.KindPullReply} }

// Leader returns the address of the last reported leader of a partition, or "" if none has been reported.
func (p *Sync) Leader(partition int) string { return p.leaders[partition].Addr }

// HasCurrentLeader reports whether a core has reported a leader of the partition to this process within the last leaderTimeout.
func (p *Sync) HasCurrentLeader(partition int, now clock.Micros) bool {
	return p.leaderReportedAt[partition] > 0 && now-p.leaderReportedAt[partition] < leaderTimeout
}

// Step handles one input.
func (p *Sync) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(p.interval(ctx.Now)), pluginName, pullTimer)
	case kernel.Tick:
		ctx.After(p.interval(ctx.Now), pluginName, pullTimer)
		p.pull(ctx)
	case kernel.Thawed:
		// The cores may have sent replies that this process could not receive while it was frozen.
		clear(p.unansweredSince)
		p.pull(ctx)
	case kernel.SeedsChanged:
		p.settings.Seeds = v.Seeds
	case kernel.Message:
		p.pullReplied(ctx, v)
	case mesh.Stored:
		if v.Entry.Type == mesh.EntryPartition {
			p.versionStored(ctx)
		}
	}
}

// versionStored handles a new version of a partition in the mesh's store. If it is the first version in a process that
// has just started, a pull is sent immediately to confirm it, unless another pull is in flight.
func (p *Sync) versionStored(ctx *kernel.Context) {
	if !p.isCore {
		// A plug-in of a higher rank builds the node's snapshot in this same step, before the changed member
		// entry is announced. A node therefore never reports a version that its requests do not read yet.
		versions := p.versions()
		p.members.Update(func(member *wire.Member) { member.InForce = versions })
	}
	if p.contact.firstStoredAt > 0 {
		return
	}
	p.contact.firstStoredAt = max(ctx.Now, 1)
	if len(p.pending) == 0 && p.starting(ctx.Now) {
		p.pull(ctx)
	}
}

// pullReplied handles a core's reply to a pull. It uses the versions and leaders in the reply no matter how late the
// reply arrives, but the contact that the reply reports only if the pull is still pending.
func (p *Sync) pullReplied(ctx *kernel.Context, message kernel.Message) {
	var reply wire.PullReply
	if wire.Decode(message.Body, &reply) != nil {
		ctx.Counts.Add("frames_malformed", 1)
		return
	}
	pull, open := p.pending[message.ID]
	if open {
		delete(p.unansweredSince, pull.addr)
		delete(p.pending, message.ID)
	}
	for _, versioned := range reply.Versions {
		p.mesh.StoreVersion(ctx, versioned)
	}
	if open {
		p.recordContact(ctx, pull, &reply)
	}
	for _, leader := range reply.Leaders {
		p.recordLeader(leader, ctx.Now)
	}
}

// recordLeader records a leader that a core has reported, unless a leader of a higher term is known.
func (p *Sync) recordLeader(leader wire.Leader, now clock.Micros) {
	partition := leader.Partition
	if partition < 0 || partition >= state.Partitions || leader.Addr == "" || leader.Term < p.leaders[partition].Term {
		return
	}
	p.leaders[partition], p.leaderReportedAt[partition] = leader, now
}

// versions returns the stored versions, at most one for each partition, in the order of the partitions.
func (p *Sync) versions() []wire.Version {
	var versions []wire.Version
	for partition := range state.Partitions {
		if versioned, ok := p.mesh.Partition(partition); ok {
			versions = append(versions, versioned.Version)
		}
	}
	return versions
}

// hasNoState reports whether this is a core without any version of the configuration. Such a core may have to
// bootstrap a fleet or to find an existing one.
func (p *Sync) hasNoState() bool {
	_, ok := p.mesh.Partition(state.ConfigPartition)
	return !ok && p.isCore
}

// interval returns the time until the next pull.
func (p *Sync) interval(now clock.Micros) clock.Micros {
	switch {
	case p.hasNoState():
		return EmptyPullInterval
	case p.starting(now):
		return StartupPullInterval
	}
	return PullInterval
}

// pull requests newer versions: from every candidate if this is a core without state, from a few candidates while this
// process is starting, and from one core otherwise.
func (p *Sync) pull(ctx *kernel.Context) {
	request := wire.Pull{Have: p.versions()}
	if p.isCore {
		self := p.members.Local()
		request.Addr, request.Zone = self.Addr, self.Zone
		if self.UnhealthyReason == "" && !self.Draining {
			request.Replica = self.Replica
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
	for _, addr := range cores {
		p.send(ctx, addr, &request)
	}
	p.forgetOldPulls()
}

func (p *Sync) send(ctx *kernel.Context, addr string, request *wire.Pull) {
	p.nextID++
	p.pending[p.nextID] = pendingPull{addr, ctx.Now}
	if _, unanswered := p.unansweredSince[addr]; !unanswered {
		p.unansweredSince[addr] = ctx.Now
	}
	ctx.SendTo(addr, wire.KindPull, p.nextID, request)
}

func (p *Sync) forgetOldPulls() {
	for id := range p.pending {
		if id+maxPendingPulls < p.nextID {
			delete(p.pending, id)
		}
	}
}
