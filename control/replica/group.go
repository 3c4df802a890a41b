// Package replica holds the control state: each partition is a register of versions
// kept by a small group of replicas on disk machines. A group elects a leader by
// majority in a term; a leader's version counts once a majority synced it; a
// replica that has voted a term takes nothing of an older one, which is the
// fence against leaders that were frozen or cut off.
package replica

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the groups.
const (
	TickInterval      = 50_000
	HeartbeatInterval = 150_000
	StepDownAfter     = 1_000_000
	RebalanceAfter    = 4_000_000
	VersionsKept      = 3
	MaxQueued         = 256
	// ElectionTimeout is how long the first of the replicas does without a leader before it stands; each
	// further one waits ElectStep longer, so that two seldom stand at once.
	ElectionTimeout = 500_000
	// ElectionTimeoutAtStart campaigns for it while a process has just started; StartsFor is how long it has.
	ElectionTimeoutAtStart = 60_000
	StartPeriod            = 3_000_000
	ElectionStagger        = 150_000
	ElectionJitter         = 60_000
	// ClockInterval is how often a leader looks whether something is due by the clock.
	ClockInterval = 200_000
	// DiskCheckInterval is how often a sick disk is tried.
	DiskCheckInterval = 200_000
	// SlowDiskAfter is how long a write may take before the disk counts as sick.
	SlowDiskAfter = 300_000
	// ReplaceAfter is how long a replica must be silent before a standby core takes its place.
	ReplaceAfter = 2_000_000
	// CatchUpInterval is how often a replica that lacks the newest version is given it.
	CatchUpInterval = 600_000
	// ListenBeforeElection is how long a process that just started listens before it campaigns for
	// leader: a group that was rebuilt without it is heard of meanwhile. Where a platform runs
	// the fleet nobody rebuilds a group, and ListenBriefly is enough.
	ListenBeforeElection = 1_500_000
	ListenOnPlatform     = 200_000
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Committed is emitted in a replica's process when it knows a version to be committed.
type Committed struct{ Version wire.Versioned }

type pendingEdit struct {
	conn  uint64
	id    uint64
	edit  wire.Edit
	reply wire.EditReply
	// applied tells that the edit is part of the version under way; round is the heartbeat that must be confirmed before the reply is sent.
	applied      bool
	confirmRound uint64
}

// Group is one replica's side of one partition.
type Group struct {
	partition int
	host      *Host

	votedTerm    uint64
	votedFor     string
	accepted     wire.Versioned
	pending      wire.Version
	versionFiles []wire.Version

	committed wire.Versioned

	role          role
	leader        string
	leaderAddress string
	leaderSeen    int64
	lastLeader    electedLeader
	electionAt    int64

	term             uint64
	votes            map[string]wire.VoteReply
	acked            map[string]bool
	proposal         *wire.Versioned
	proposalSentAt   int64
	proposedAt       int64
	queue            []pendingEdit
	proposedEdits    []pendingEdit
	unconfirmed      []pendingEdit
	heartbeatAt      int64
	heartbeatRound   uint64
	confirmedRounds  map[string]uint64
	heardAt          map[string]int64
	reachableSince   map[string]int64
	voterDiskProblem map[string]bool
	successors       map[string]wire.Replica
	caughtUpAt       map[string]int64
	synced           map[string]syncedVersion
	wallOffsets      map[string]int64
	contact          contact
	relayedAt        int64
	// contactLost is that a leader's loss of contact is logged.
	contactLost  bool
	leaderSince  int64
	clockworkAt  int64
	ready        bool
	transferring bool
	leases       map[string]*lease
	leaseCount   uint64

	// change is the change of membership whose learners are catching up, if there is one.
	change          *memberChange
	learnerFailedAt map[string]int64
	// leaveRequestedAt is when each voter asked last to be moved out; leaveRequestSentAt is when this one did.
	leaveRequestedAt   map[string]int64
	leaveRequestSentAt int64
}

func newGroup(h *Host, partition int) *Group {
	return &Group{partition: partition, host: h, leases: map[string]*lease{}, heardAt: map[string]int64{}}
}

func (g *Group) self() string { return g.host.replicaID }

func (g *Group) isVoter() bool { return contains(allVoters(g.accepted), g.self()) }

func (g *Group) tick(ctx *kernel.Context) {
	if !g.isVoter() {
		return
	}
	if g.role == leader {
		g.leaderTick(ctx)
		return
	}
	if g.host.stopping {
		g.requestLeave(ctx)
		return
	}
	if g.electionAt == 0 {
		g.scheduleElection(ctx)
	}
	at := g.electionAt
	if g.host.diskProblem != "" {
		// A healthy replica goes first; where there is none, a slow leader is better than none.
		at += 2 * ElectionTimeout
	}
	if ctx.Now >= at && ctx.Now-g.host.startedAt >= g.host.listenPeriod() {
		g.startElection(ctx, false)
	}
}
