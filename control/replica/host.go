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

// Partitions is the number of partitions, each with a group of its own.
const Partitions = state.Partitions

const (
	// pluginName is the name under which the kernel knows the plug-in. "Seat" is what users read for a
	// replica: files, counters and keys on the wire keep the word.
	pluginName = "seats"
	// timerTick is the key of the only timer.
	timerTick = "tick"
)

// Host is the plug-in of a core process: the replica's identity, its disk, and its side of every
// partition's group. The identity is made on an empty disk and is lost with it.
type Host struct {
	kernel    *kernel.Kernel
	mesh      *mesh.Mesh
	members   *membership.Members
	replicaID string
	groups    []*Group
	startedAt clock.Micros
	// stopping is set once the process was told to end.
	stopping bool
	// clockOrigin is where the clock begins that leaders are told: see contact.go.
	clockOrigin clock.Micros
	// largeSent is what large versions each connection was sent in answer to pulls.
	largeSent map[uint64]sentVersions

	disk
	bootstrapping

	// pullers are the cores that pulled here lately, by mesh address. cachedCores is what liveCores looked
	// up last, and cachedCoresAt when.
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

// Name is the plug-in's name.
func (h *Host) Name() string { return pluginName }

// Kinds are the kinds of messages that it takes.
func (h *Host) Kinds() []uint8 {
	return []uint8{
		wire.KindVote, wire.KindVoteReply, wire.KindAccept, wire.KindAcceptReply, wire.KindLeaderHeartbeat, wire.KindLeaderHeartbeatReply,
		wire.KindBootstrap, wire.KindBootstrapReply, wire.KindPull, wire.KindEdit, wire.KindLeaseRequest, wire.KindRebuild, wire.KindLeave,
		wire.KindStatusRequest,
	}
}

// Step takes one input.
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

// start loads the disk, and makes the identity of the replica where the disk is empty.
func (h *Host) start(ctx *kernel.Context) {
	h.startedAt, h.clockOrigin = ctx.Now, 1+ctx.Rand.Int64N(clockOrigins)
	if h.kernel.Boot.Settings.DataDir == "" && len(h.kernel.Boot.Files) == 0 {
		// Without a disk there is no replica here: the process only hands on committed versions.
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

// tick checks the disk, and takes the bootstrap or the groups further. It sets the next tick.
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

// publishCommitted announces a committed version over the mesh, and shows in this process's member entry
// which configuration is in force here.
func (h *Host) publishCommitted(ctx *kernel.Context, v Committed) {
	h.mesh.AnnounceVersion(ctx, v.Version)
	if v.Version.Version.Partition == state.ConfigPartition {
		h.members.Update(func(m *wire.Member) { m.InForce = []wire.Version{v.Version.Version} })
	}
}

// publishMember shows the replica, and how its disk is, in this process's member entry.
func (h *Host) publishMember() {
	h.members.Update(func(m *wire.Member) {
		m.Replica, m.Bootstrapped, m.UnhealthyReason = h.replicaID, h.bootstrapped, string(h.diskProblem)
	})
}

// wantedVoters is how many voters a group should have.
func (h *Host) wantedVoters() int { return h.kernel.Boot.Settings.Voters() }

// Leads reports whether this process leads a partition and may take its edits.
func (h *Host) Leads(partition int) bool {
	return h.groups[partition].role == leader && h.groups[partition].ready
}

// ReplicaID is the replica's identity; empty until it is synced, and where there is no disk.
func (h *Host) ReplicaID() string { return h.replicaID }

// CommittedVersion is the newest version of a partition that is known here to be committed.
func (h *Host) CommittedVersion(partition int) wire.Version {
	return h.groups[partition].committed.Version
}

// VotersOf lists the voters of the newest version of a partition that is known here to be committed.
func (h *Host) VotersOf(partition int) []wire.Replica { return h.groups[partition].committed.Voters }

// Leader is the mesh address of the core that leads a partition; empty where this replica has not heard
// a leader within StepDownAfter.
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

// Edit takes an edit, or a read that a majority confirms, of this same process; Replied follows.
func (h *Host) Edit(ctx *kernel.Context, id uint64, edit wire.Edit) {
	if edit.Partition < 0 || edit.Partition >= Partitions || h.diskDamaged {
		ctx.Emit(Replied{ID: id, Reply: wire.EditReply{Code: wire.CodeNotLeader}})
		return
	}
	h.groups[edit.Partition].handleEdit(ctx, sameProcess, id, edit)
}
