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
	k            *kernel.Kernel
	mesh         *mesh.Mesh
	members      *membership.Members
	replicaID    string
	groups       []*Group
	diskDamaged  bool
	futureFormat string
	diskProblem  string
	pullsSent    map[uint64]sentVersions
	stopping     bool

	formation    wire.Bootstrap
	bootstrapped bool
	consents     map[string]bool
	refused      map[string]bool
	synced       bool
	completing   bool
	plannedAt    int64
	proposedAt   int64
	started      int64
	nextWrite    uint64
	// clockOrigin is where the clock begins that leaders are told.
	clockOrigin int64
	writes      map[string]func(ctx *kernel.Context, err string)
	writeSince  map[string]int64
	probing     bool
	probeAt     int64

	pullers map[string]puller
	rowsNow []membership.Member
	rowsAt  int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 30, Roles: []string{"core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		s := &Host{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			writes: map[string]func(*kernel.Context, string){}, writeSince: map[string]int64{}, consents: map[string]bool{},
			refused: map[string]bool{}, pullers: map[string]puller{},
		}
		for p := range Partitions {
			s.groups = append(s.groups, newGroup(s, p))
		}
		return s
	}})
}

// Name is the plug-in's name.
func (s *Host) Name() string { return "seats" }

// Kinds are the frames that it takes.
func (s *Host) Kinds() []uint8 {
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
func (s *Host) load(ctx *kernel.Context) {
	for _, name := range sortedKeys(s.k.Boot.Files) {
		b, err := diskfile.Unpack(s.k.Boot.Files[name])
		if f, ok := err.(diskfile.FutureFormatError); ok {
			s.diskDamaged, s.futureFormat = true, f.Error()
			continue
		}
		isStamped := strings.Contains(name, ".stamp-")
		if err != nil {
			ctx.Counts.Add("disk_torn", 1)
			ctx.Log(kernel.LevelWarn, "disk_torn", "file", name)
			// A version that was not whole was never acknowledged; any other file is needed whole.
			s.diskDamaged = s.diskDamaged || !isStamped
			continue
		}
		switch {
		case name == "seat":
			s.replicaID = string(b)
		case name == "formation":
			s.diskDamaged = wire.Decode(b, &s.formation) != nil || s.diskDamaged
			s.bootstrapped, s.synced = s.formation.Commit, true
			if len(s.formation.Voters) > 0 && s.formation.Proposer.ID == "" {
				// Releases before 2 did not write down who proposed: it was the first.
				s.formation.Proposer = s.formation.Voters[0]
			}
		case isStamped:
			var v wire.Versioned
			if wire.Decode(b, &v) != nil || v.Version.Partition < 0 || v.Version.Partition >= Partitions {
				s.diskDamaged = true
				continue
			}
			g := s.groups[v.Version.Partition]
			g.versionFiles = append(g.versionFiles, v.Version)
			if mesh.Newer(v.Version, g.accepted.Version) {
				g.accepted = v
			}
		case strings.HasSuffix(name, ".promise"):
			var partition int
			var v wire.Vote
			if _, err := fmt.Sscanf(name, "part-%d.promise", &partition); err != nil || partition < 0 || partition >= Partitions || wire.Decode(b, &v) != nil {
				s.diskDamaged = true
				continue
			}
			s.groups[partition].votedTerm, s.groups[partition].votedFor = v.Term, v.From
		}
	}
	for _, g := range s.groups {
		if g.accepted.Version.Term > g.votedTerm {
			g.votedTerm, g.votedFor = g.accepted.Version.Term, ""
		}
		s.bootstrapped = s.bootstrapped || g.accepted.Version.Term > 0
	}
	if s.formation.Commit {
		s.adoptFormation()
	}
	if s.replicaID == "" && len(s.k.Boot.Files) > 0 {
		s.diskDamaged = true
	}
}

// wantedVoters is how many replicas a partition's group should have.
func (s *Host) wantedVoters() int { return s.k.Boot.Settings.Voters() }

// listenPeriod is how long a process that just started does not stand for leader.
func (s *Host) listenPeriod() int64 {
	if s.k.Boot.Settings.BootstrapKnown {
		return ListenOnPlatform
	}
	return ListenBeforeElection
}

func (s *Host) start(ctx *kernel.Context) {
	s.started, s.clockOrigin = ctx.Now, 1+ctx.Rand.Int64N(clockOrigins)
	if s.k.Boot.Settings.DataDir == "" && len(s.k.Boot.Files) == 0 {
		// Without a disk it has no replica; it hands on what it is asked.
		ctx.Log(kernel.LevelInfo, "core_without_disk")
		return
	}
	s.load(ctx)
	if s.diskDamaged {
		s.setSick(ctx, "damaged")
		ctx.Log(kernel.LevelError, "disk_damaged", "do", "stop this core, empty its data folder, start it again: it comes back as a new seat", "why", s.futureFormat)
		return
	}
	if s.replicaID == "" {
		s.identify(ctx)
	} else {
		s.publishMember()
	}
	ctx.After(TickInterval, "seats", "tick")
}

func (s *Host) publishMember() {
	s.members.Update(func(m *wire.Member) {
		m.Replica, m.Bootstrapped, m.UnhealthyReason = s.replicaID, s.bootstrapped, s.diskProblem
	})
}

// addressOf is where a replica's disk is now, as the mesh tells it.
func (s *Host) addressOf(id string, now int64) string {
	if id == s.replicaID {
		return s.k.Boot.Settings.Mesh
	}
	if r, ok := s.row(id, now); ok {
		return r.Addr
	}
	return ""
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
