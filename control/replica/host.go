// Host is the plug-in of a core process: its disk, its identity and its side
// of every partition's group. The replica's id is made on an empty disk and is lost
// with it; a disk that cannot be trusted takes no partition at all.

package replica

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Host is the plug-in.
type Host struct {
	kernel       *kernel.Kernel
	mesh         *mesh.Mesh
	members      *membership.Members
	replicaID    string
	groups       []*Group
	diskDamaged  bool
	futureFormat string
	diskProblem  string
	largeSent    map[uint64]sentVersions
	stopping     bool

	bootstrap          wire.Bootstrap
	bootstrapped       bool
	consents           map[string]bool
	refusers           map[string]bool
	consentSynced      bool
	completing         bool
	bootstrapPlannedAt int64
	bootstrapSentAt    int64
	startedAt          int64
	lastWriteID        uint64
	// clockOrigin is where the clock begins that leaders are told.
	clockOrigin    int64
	onWritten      map[string]func(ctx *kernel.Context, err string)
	writeStartedAt map[string]int64
	checkingDisk   bool
	diskCheckedAt  int64

	pullers       map[string]puller
	cachedCores   []membership.Member
	cachedCoresAt int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 30, Roles: []string{"core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		h := &Host{
			kernel: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			onWritten: map[string]func(*kernel.Context, string){}, writeStartedAt: map[string]int64{}, consents: map[string]bool{},
			refusers: map[string]bool{}, pullers: map[string]puller{},
		}
		for p := range Partitions {
			h.groups = append(h.groups, newGroup(h, p))
		}
		return h
	}})
}

// Name is the plug-in's name.
func (h *Host) Name() string { return "seats" }

// Kinds are the frames that it takes.
func (h *Host) Kinds() []uint8 {
	return []uint8{
		wire.KindVote, wire.KindVoteReply, wire.KindAccept, wire.KindAcceptReply, wire.KindLeaderHeartbeat, wire.KindLeaderHeartbeatReply,
		wire.KindBootstrap, wire.KindBootstrapReply, wire.KindPull, wire.KindEdit, wire.KindLeaseRequest, wire.KindRebuild, wire.KindLeave,
		wire.KindStatusRequest,
	}
}

func voteFile(partition int) string { return fmt.Sprintf("part-%d.promise", partition) }

func versionFile(s wire.Version) string {
	return fmt.Sprintf("part-%d.stamp-%012d-%012d", s.Partition, s.Term, s.Seq)
}

// Load reads the disk as it was at the start of the process.
func (h *Host) load(ctx *kernel.Context) {
	for _, name := range sortedKeys(h.kernel.Boot.Files) {
		b, err := diskfile.Unpack(h.kernel.Boot.Files[name])
		if f, ok := err.(diskfile.FutureFormatError); ok {
			h.diskDamaged, h.futureFormat = true, f.Error()
			continue
		}
		isStamped := strings.Contains(name, ".stamp-")
		if err != nil {
			ctx.Counts.Add("disk_torn", 1)
			ctx.Log(kernel.LevelWarn, "disk_torn", "file", name)
			// A version that was not whole was never acknowledged; any other file is needed whole.
			h.diskDamaged = h.diskDamaged || !isStamped
			continue
		}
		switch {
		case name == "seat":
			h.replicaID = string(b)
		case name == "formation":
			h.diskDamaged = wire.Decode(b, &h.bootstrap) != nil || h.diskDamaged
			h.bootstrapped, h.consentSynced = h.bootstrap.Commit, true
			if len(h.bootstrap.Voters) > 0 && h.bootstrap.Proposer.ID == "" {
				// Releases before 2 did not write down who proposed: it was the first.
				h.bootstrap.Proposer = h.bootstrap.Voters[0]
			}
		case isStamped:
			var v wire.Versioned
			if wire.Decode(b, &v) != nil || v.Version.Partition < 0 || v.Version.Partition >= Partitions {
				h.diskDamaged = true
				continue
			}
			g := h.groups[v.Version.Partition]
			g.versionFiles = append(g.versionFiles, v.Version)
			if mesh.Newer(v.Version, g.accepted.Version) {
				g.accepted = v
			}
		case strings.HasSuffix(name, ".promise"):
			var partition int
			var v wire.Vote
			if _, err := fmt.Sscanf(name, "part-%d.promise", &partition); err != nil || partition < 0 || partition >= Partitions || wire.Decode(b, &v) != nil {
				h.diskDamaged = true
				continue
			}
			h.groups[partition].votedTerm, h.groups[partition].votedFor = v.Term, v.From
		}
	}
	for _, g := range h.groups {
		if g.accepted.Version.Term > g.votedTerm {
			g.votedTerm, g.votedFor = g.accepted.Version.Term, ""
		}
		h.bootstrapped = h.bootstrapped || g.accepted.Version.Term > 0
	}
	if h.bootstrap.Commit {
		h.adoptBootstrapVoters()
	}
	if h.replicaID == "" && len(h.kernel.Boot.Files) > 0 {
		h.diskDamaged = true
	}
}

// wantedVoters is how many replicas a partition's group should have.
func (h *Host) wantedVoters() int { return h.kernel.Boot.Settings.Voters() }

// listenPeriod is how long a process that just started does not stand for leader.
func (h *Host) listenPeriod() int64 {
	if h.kernel.Boot.Settings.BootstrapKnown {
		return ListenOnPlatform
	}
	return ListenBeforeElection
}

func (h *Host) start(ctx *kernel.Context) {
	h.startedAt, h.clockOrigin = ctx.Now, 1+ctx.Rand.Int64N(clockOrigins)
	if h.kernel.Boot.Settings.DataDir == "" && len(h.kernel.Boot.Files) == 0 {
		// Without a disk it has no replica; it hands on what it is asked.
		ctx.Log(kernel.LevelInfo, "core_without_disk")
		return
	}
	h.load(ctx)
	if h.diskDamaged {
		h.setDiskProblem(ctx, "damaged")
		ctx.Log(kernel.LevelError, "disk_damaged", "do", "stop this core, empty its data folder, start it again: it comes back as a new seat", "why", h.futureFormat)
		return
	}
	if h.replicaID == "" {
		h.identify(ctx)
	} else {
		h.publishMember()
	}
	ctx.After(TickInterval, "seats", "tick")
}

func (h *Host) publishMember() {
	h.members.Update(func(m *wire.Member) {
		m.Replica, m.Bootstrapped, m.UnhealthyReason = h.replicaID, h.bootstrapped, h.diskProblem
	})
}

// addressOf is where a replica's disk is now, as the mesh tells it.
func (h *Host) addressOf(id string, now int64) string {
	if id == h.replicaID {
		return h.kernel.Boot.Settings.Mesh
	}
	if r, ok := h.liveCore(id, now); ok {
		return r.Addr
	}
	return ""
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
