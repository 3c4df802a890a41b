package replica

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Partitions is the number of partitions. Each partition has its own group.
const Partitions = state.Partitions

const (
	// pluginName is the plug-in's name in the kernel. Operators see a replica as a "seat": files, counters and keys on
	// the wire use this word.
	pluginName = "seats"
	// timerTick is the key of the only timer.
	timerTick = "tick"
)

// Host is the plug-in of a core process. It owns the replica's identity, its disk, and its state in the group of
// every partition. The identity is created on an empty disk and is lost with the disk.
type Host struct {
	kernel    *kernel.Kernel
	mesh      *mesh.Mesh
	members   *membership.Members
	replicaID string
	groups    []*Group
	startedAt clock.Micros
	// stopping is set once the process was asked to stop.
	stopping bool
	// clockOrigin is the origin of the clock that is sent to leaders: see contact.go.
	clockOrigin clock.Micros
	// largeSent records, for each connection, the large versions that were sent on it in replies to pulls.
	largeSent map[uint64]sentVersions

	disk
	bootstrapping

	// pullers are the cores that recently pulled from this one, by mesh address. cachedCores is the last result of
	// liveCores, and cachedCoresAt is when it was computed.
	pullers       map[string]puller
	cachedCores   []membership.Member
	cachedCoresAt clock.Micros
}

func init() {
	kernel.Register(kernel.Registration{Rank: 30, Roles: []string{"core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		h := &Host{
			kernel: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k), pullers: map[string]puller{},
			disk:          disk{onWritten: map[string]writeDone{}, writeStartedAt: map[string]clock.Micros{}},
			bootstrapping: bootstrapping{consents: map[string]bool{}, refusers: map[string]bool{}},
		}
		for p := range Partitions {
			h.groups = append(h.groups, newGroup(h, p))
		}
		return h
	}})
}

// Name returns the plug-in's name.
func (h *Host) Name() string { return pluginName }

// Kinds returns the kinds of messages that the plug-in handles.
func (h *Host) Kinds() []uint8 {
	return []uint8{
		wire.KindVote, wire.KindVoteReply, wire.KindAccept, wire.KindAcceptReply, wire.KindLeaderHeartbeat, wire.KindLeaderHeartbeatReply,
		wire.KindBootstrap, wire.KindBootstrapReply, wire.KindPull, wire.KindEdit, wire.KindLeaseRequest, wire.KindRebuild, wire.KindLeave,
		wire.KindStatusRequest,
	}
}

// Step handles one input.
func (h *Host) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		h.start(ctx)
	case kernel.Tick:
		h.tick(ctx)
	case kernel.Written:
		h.handleWritten(ctx, v)
	case kernel.Thawed:
		for _, g := range h.groups {
			g.handleThawed(ctx)
		}
	case kernel.Stopping:
		h.stopping = true
		for _, g := range h.groups {
			g.handleStopping(ctx)
		}
	case kernel.Message:
		h.handleMessage(ctx, v)
	case configsync.Pulled:
		h.relayContact(v)
	case Committed:
		h.publishCommitted(ctx, v)
	}
}

// start loads the files on the disk, and creates the replica's identity if the disk is empty.
func (h *Host) start(ctx *kernel.Context) {
	h.startedAt, h.clockOrigin = ctx.Now, 1+ctx.Rand.Int64N(clockOrigins)
	if h.kernel.Boot.Settings.DataDir == "" && len(h.kernel.Boot.Files) == 0 {
		// Without a disk this process has no replica and only relays committed versions.
		ctx.Log(kernel.LevelInfo, "core_without_disk")
		return
	}
	h.load(ctx)
	if h.diskDamaged {
		h.setDiskProblem(ctx, diskIsDamaged)
		ctx.Log(kernel.LevelError, "disk_damaged", "action", "stop this core, empty its data folder, start it again: it comes back as a new replica", "reason", h.futureFormat)
		return
	}
	if h.replicaID == "" {
		h.identify(ctx)
	} else {
		h.publishMember()
	}
	ctx.After(TickInterval, pluginName, timerTick)
}

// tick checks the disk, advances the bootstrap or the groups, and sets the timer of the next tick.
func (h *Host) tick(ctx *kernel.Context) {
	ctx.After(TickInterval, pluginName, timerTick)
	h.checkDisk(ctx)
	if !h.bootstrapped {
		h.bootstrapTick(ctx)
		return
	}
	ledPartitions, inContact := int64(0), int64(0)
	for _, g := range h.groups {
		g.tick(ctx)
		if g.role == leader {
			ledPartitions++
		}
		if g.inContact(ctx.Now, g.committed.Version) {
			inContact++
		}
	}
	ctx.Counts.Set("part_owned_now", ledPartitions)
	ctx.Counts.Set("part_in_contact_now", inContact)
}

// publishCommitted announces a committed version over the mesh, and publishes in this process's member entry which
// version of the configuration is in force here.
func (h *Host) publishCommitted(ctx *kernel.Context, v Committed) {
	h.mesh.AnnounceVersion(ctx, v.Version)
	if v.Version.Version.Partition == state.ConfigPartition {
		h.members.Update(func(m *wire.Member) { m.InForce = []wire.Version{v.Version.Version} })
	}
}

// publishMember publishes the replica's identity and the condition of its disk in this process's member entry.
func (h *Host) publishMember() {
	h.members.Update(func(m *wire.Member) {
		m.Replica, m.Bootstrapped, m.UnhealthyReason = h.replicaID, h.bootstrapped, string(h.diskProblem)
	})
}

// wantedVoters returns the number of voters that a group should have.
func (h *Host) wantedVoters() int { return h.kernel.Boot.Settings.Voters() }

// Leads reports whether this process leads a partition and is ready to serve.
func (h *Host) Leads(partition int) bool {
	return h.groups[partition].role == leader && h.groups[partition].ready
}

// ReplicaID returns the replica's identity. It is empty until the identity is synced, and in a process without a
// disk.
func (h *Host) ReplicaID() string { return h.replicaID }

// CommittedVersion returns the newest version of a partition that this process knows to be committed.
func (h *Host) CommittedVersion(partition int) wire.Version {
	return h.groups[partition].committed.Version
}

// VotersOf returns the voters of the newest version of a partition that this process knows to be committed.
func (h *Host) VotersOf(partition int) []wire.Replica { return h.groups[partition].committed.Voters }

// Leader returns the mesh address of the core that leads a partition. It is empty if no message from a leader has
// arrived within StepDownAfter.
func (h *Host) Leader(partition int, now clock.Micros) string {
	g := h.groups[partition]
	if g.role == leader || g.leader != "" && now-g.leaderSeen < StepDownAfter {
		return g.leaderAddress
	}
	return ""
}

// Replied is emitted in the process that called Edit, with the reply.
type Replied struct {
	ID    uint64
	Reply wire.EditReply
}

// Edit handles an edit, or a read confirmed by a majority, from this same process. The reply is emitted as Replied.
func (h *Host) Edit(ctx *kernel.Context, id uint64, edit wire.Edit) {
	if edit.Partition < 0 || edit.Partition >= Partitions || h.diskDamaged {
		ctx.Emit(Replied{ID: id, Reply: wire.EditReply{Code: wire.CodeNotLeader}})
		return
	}
	h.groups[edit.Partition].handleEdit(ctx, sameProcess, id, edit)
}
