package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// TickInterval is the time between two ticks, on which everything here rests that happens by the clock.
const TickInterval = 50 * clock.Millisecond

// role is what a replica is in its group, as in the Raft paper.
type role uint8

const (
	follower role = iota
	// preCandidate asks whether it would be given a term.
	preCandidate
	candidate
	leader
)

// Committed is emitted in a replica's process when it knows a version to be committed.
type Committed struct{ Version wire.Versioned }

// Group is one replica's side of one partition's group.
type Group struct {
	partition int
	host      *Host

	// What is on the disk: the newest vote, the newest version that is synced, and the versions that have a
	// file. pending is the newest version whose write is under way.
	votedTerm    uint64
	votedFor     string
	accepted     wire.Versioned
	pending      wire.Version
	versionFiles []wire.Version

	// committed is the newest version that is known here to be committed.
	committed wire.Versioned

	// role, and the leader that is followed: its replica, its mesh address, and when it was heard last.
	role          role
	leader        string
	leaderAddress string
	leaderSeen    clock.Micros
	lastLeader    electedLeader
	// electionAt is when this replica stands for leader if it hears none.
	electionAt clock.Micros

	// A candidate's or leader's term, and the votes of a candidate by voter.
	term  uint64
	votes map[string]wire.VoteReply

	// A leader's proposal under way, which voters have synced it, when it was sent last and when first.
	proposal       *wire.Versioned
	acked          map[string]bool
	proposalSentAt clock.Micros
	proposedAt     clock.Micros
	// queue holds the edits for the next proposal, proposedEdits those of the one under way, and unconfirmed
	// the reads and rejections that wait for a majority to confirm this leader.
	queue         []pendingEdit
	proposedEdits []pendingEdit
	unconfirmed   []pendingEdit

	// A leader's heartbeats: when and in which round the last was sent, and the newest round of this term
	// that each voter has answered.
	heartbeatAt     clock.Micros
	heartbeatRound  uint64
	confirmedRounds map[string]uint64
	contact         contact
	// relayedAt is when this core sent the newest pull that a core in contact has answered.
	relayedAt clock.Micros
	// contactLost is set once the loss of a leader's contact is logged.
	contactLost bool

	// What a leader knows of each voter: when it was heard last, since when without a gap, whether its disk
	// has a problem, which replica is at its address now where its disk is lost, when it was brought the
	// newest version last, what it has synced, and how far its time of day is from this process's clock.
	heardAt          map[string]clock.Micros
	reachableSince   map[string]clock.Micros
	voterDiskProblem map[string]bool
	successors       map[string]wire.Replica
	caughtUpAt       map[string]clock.Micros
	synced           map[string]syncedVersion
	wallOffsets      map[string]clock.Micros

	leaderSince clock.Micros
	// clockCheckedAt is when a leader looked last whether something is due by the time of day.
	clockCheckedAt clock.Micros
	// ready is set once a leader has committed a version in its own term: only then it serves.
	ready bool
	// transferring is set while a leader hands its leadership on, and takes no edits.
	transferring bool

	leases     map[string]*lease
	leaseCount uint64

	// change is the change of membership whose learners are catching up, if there is one.
	change          *memberChange
	learnerFailedAt map[string]clock.Micros
	// leaveRequestedAt is when each voter asked last to be replaced; leaveRequestSentAt is when this one did.
	leaveRequestedAt   map[string]clock.Micros
	leaveRequestSentAt clock.Micros
}

func newGroup(h *Host, partition int) *Group {
	return &Group{partition: partition, host: h, leases: map[string]*lease{}, heardAt: map[string]clock.Micros{}}
}

// self is the identity of this replica.
func (g *Group) self() string { return g.host.replicaID }

// isVoter reports whether this replica has a vote on the newest version that it holds.
func (g *Group) isVoter() bool { return contains(allVoters(g.accepted), g.self()) }

// tick does what is due by the clock, for a voter.
func (g *Group) tick(ctx *kernel.Context) {
	switch {
	case !g.isVoter():
	case g.role == leader:
		g.leaderTick(ctx)
	case g.host.stopping:
		g.requestLeave(ctx)
	default:
		g.electionTick(ctx)
	}
}

// handleThawed ends leadership after the process did not run for a while: it can't know whether another
// leader was elected meanwhile.
func (g *Group) handleThawed(ctx *kernel.Context) {
	if g.role != follower {
		g.stepDown(ctx, reasonSuspended)
	}
	g.scheduleElection(ctx)
}
