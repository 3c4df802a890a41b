package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// TickInterval is the time between two ticks. A tick performs all periodic work, such as heartbeats, elections and
// disk checks.
const TickInterval = 50 * clock.Millisecond

// role is a replica's role in its group, as in the Raft paper.
type role uint8

const (
	follower role = iota
	// A preCandidate asks the voters whether they would vote for it in the next term.
	preCandidate
	candidate
	leader
)

// Committed is emitted in a replica's process when the replica learns that a version is committed.
type Committed struct{ Version wire.Versioned }

// Group is one replica's state in the consensus group of one partition.
type Group struct {
	partition int
	host      *Host

	// The state on disk: the newest vote, the newest synced version, and the versions that have a file. pending is the
	// newest version that is being written.
	votedTerm    uint64
	votedFor     string
	accepted     wire.Versioned
	pending      wire.Version
	versionFiles []wire.Version

	// committed is the newest version that this replica knows to be committed.
	committed wire.Versioned

	// The role, and the leader that this replica follows: its identity, its mesh address, and when a message from it
	// last arrived. lastLeader is used to check an invariant.
	role          role
	leader        string
	leaderAddress string
	leaderSeen    clock.Micros
	lastLeader    electedLeader
	// electionAt is when this replica starts an election, unless a message from a leader arrives before then.
	electionAt clock.Micros

	// The term of a candidate or leader, and the votes for a candidate, by voter.
	term  uint64
	votes map[string]wire.VoteReply

	// A leader's proposal in flight, the voters that have synced it, when it was last sent, and when it was first
	// sent.
	proposal       *wire.Versioned
	acked          map[string]bool
	proposalSentAt clock.Micros
	proposedAt     clock.Micros
	// queue holds the edits for the next proposal, and proposedEdits holds the edits of the proposal in flight.
	// unconfirmed holds the reads and rejections that wait until a majority confirms this leader.
	queue         []pendingEdit
	proposedEdits []pendingEdit
	unconfirmed   []pendingEdit

	// A leader's heartbeats: when the last round was sent and its number, and the newest round of this term that each
	// voter has answered.
	heartbeatAt     clock.Micros
	heartbeatRound  uint64
	confirmedRounds map[string]uint64
	contact         contact
	// relayedAt is when this core sent its latest pull whose reply reported contact with a majority.
	relayedAt clock.Micros
	// contactLost is set while a leader is without contact, so that the loss is logged only once.
	contactLost bool

	// What a leader knows about each voter: when a message from the voter last arrived, since when the voter has been
	// reachable without interruption, whether its disk has a problem, which replica now runs at its address if its
	// disk is lost, when the leader last sent it the newest committed version, which version it has synced, and the
	// offset of its wall clock from the leader's monotonic clock.
	heardAt          map[string]clock.Micros
	reachableSince   map[string]clock.Micros
	voterDiskProblem map[string]bool
	successors       map[string]wire.Replica
	caughtUpAt       map[string]clock.Micros
	synced           map[string]syncedVersion
	wallOffsets      map[string]clock.Micros

	leaderSince clock.Micros
	// clockCheckedAt is when a leader last checked whether a scheduled update, such as the start of a booking, is due.
	clockCheckedAt clock.Micros
	// ready is set once a leader has committed a version in its own term. It does not serve before.
	ready bool
	// transferring is set while a leader hands over its leadership. It then accepts no edits.
	transferring bool

	leases     map[string]*lease
	leaseCount uint64

	// change is the membership change whose learners are catching up; nil if there is none.
	change          *memberChange
	learnerFailedAt map[string]clock.Micros
	// leaveRequestedAt is when each voter last asked to be replaced; leaveRequestSentAt is when this voter last sent
	// such a request.
	leaveRequestedAt   map[string]clock.Micros
	leaveRequestSentAt clock.Micros
}

func newGroup(h *Host, partition int) *Group {
	return &Group{partition: partition, host: h, leases: map[string]*lease{}, heardAt: map[string]clock.Micros{}}
}

// self returns the identity of this replica.
func (g *Group) self() string { return g.host.replicaID }

// isVoter reports whether this replica is a voter by the newest version that it holds.
func (g *Group) isVoter() bool { return contains(allVoters(g.accepted), g.self()) }

// tick performs the periodic work of a voter: a leader sends heartbeats and proposals, a voter whose process is
// stopping asks to be replaced, and any other voter starts an election if one is due.
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

// handleThawed ends leadership or candidacy after the process was suspended: another leader may have been elected in
// the meantime.
func (g *Group) handleThawed(ctx *kernel.Context) {
	if g.role != follower {
		g.stepDown(ctx, reasonSuspended)
	}
	g.scheduleElection(ctx)
}
