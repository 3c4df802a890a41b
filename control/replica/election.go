package replica

import (
	"cmp"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// ElectionTimeout is how long the first-ranked voter waits for a leader before it starts an election. Each further
	// rank waits ElectionStagger longer, so that two voters rarely start an election at the same time, and every voter
	// adds a random time of up to ElectionJitter.
	ElectionTimeout = 500 * clock.Millisecond
	ElectionStagger = 150 * clock.Millisecond
	ElectionJitter  = 60 * clock.Millisecond
	// ElectionTimeoutAtStart replaces ElectionTimeout on a platform within StartPeriod of the start of the process, as
	// long as no leader is known.
	ElectionTimeoutAtStart = 60 * clock.Millisecond
	StartPeriod            = 3 * clock.Second
	// ListenBeforeElection is how long a process that has just started waits before it starts an election: by then it
	// has learned from the mesh whether an operator has rebuilt the group without it. On a platform, where groups are
	// not rebuilt, ListenOnPlatform is sufficient.
	ListenBeforeElection = 1500 * clock.Millisecond
	ListenOnPlatform     = 200 * clock.Millisecond
)

// electionTick starts an election when no message from a leader has arrived within the election timeout.
func (g *Group) electionTick(ctx *kernel.Context) {
	if g.electionAt == 0 {
		g.scheduleElection(ctx)
	}
	at := g.electionAt
	if g.host.diskProblem != diskHealthy {
		// Replicas with a healthy disk start elections first. If there is no such replica, this one starts an
		// election, because a leader with a slow disk is better than no leader.
		at += 2 * ElectionTimeout
	}
	if ctx.Now >= at && ctx.Now-g.host.startedAt >= g.host.listenPeriod() {
		g.startElection(ctx, false)
	}
}

// scheduleElection sets when this replica starts an election. The voters are ranked by identity, and each partition
// starts the ranking at a different voter, so that the leaders are spread over the cores.
func (g *Group) scheduleElection(ctx *kernel.Context) {
	rank, timeout := int64(0), ElectionTimeout
	if g.justStarted(ctx) {
		timeout = ElectionTimeoutAtStart
	}
	voters := allVoters(g.accepted)
	slices.SortFunc(voters, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for i := range voters {
		switch voters[(i+g.partition)%len(voters)].ID {
		case g.self():
			g.electionAt = ctx.Now + timeout + rank*ElectionStagger + ctx.Rand.Int64N(ElectionJitter)
			return
		case g.leader:
			// The lost leader is left out of the ranking.
		default:
			rank++
		}
	}
	g.electionAt = ctx.Now + ElectionTimeout + ctx.Rand.Int64N(ElectionTimeout)
}

// justStarted reports whether this process has just started on a platform and has not received a message from a leader
// yet. Such a replica starts an election early, since there is no leader to wait for after a loss of all processes. If
// there is a leader, the early election does no harm: the voters that receive the leader's heartbeats deny the
// pre-vote, and a pre-vote binds no voter.
func (g *Group) justStarted(ctx *kernel.Context) bool {
	return g.host.kernel.Boot.Settings.BootstrapKnown && g.leader == "" && g.role != leader && ctx.Now-g.host.startedAt < StartPeriod
}

// listenPeriod returns how long a process that has just started waits before it may start an election.
func (h *Host) listenPeriod() clock.Micros {
	if h.kernel.Boot.Settings.BootstrapKnown {
		return ListenOnPlatform
	}
	return ListenBeforeElection
}

// startElection starts an election. A successor designated by the leader skips the pre-vote: the voters would deny it,
// since they have just received messages from that leader.
func (g *Group) startElection(ctx *kernel.Context, designated bool) {
	g.scheduleElection(ctx)
	g.becomePreCandidate()
	if designated {
		g.becomeCandidate(ctx, true)
		return
	}
	for _, voter := range allVoters(g.accepted) {
		if voter.ID == g.self() {
			g.handleVoteReply(ctx, wire.VoteReply{Partition: g.partition, Term: g.term, From: voter.ID, Pre: true, Granted: true, Stored: g.accepted})
			continue
		}
		request := wire.Vote{Partition: g.partition, Term: g.term, From: g.self(), Pre: true, Stored: g.accepted.Version}
		g.host.sendReplica(ctx, voter, wire.KindVote, &request)
	}
}

// becomePreCandidate starts the pre-vote for the next term. A pre-vote binds no voter and is not stored.
func (g *Group) becomePreCandidate() {
	g.role = preCandidate
	g.term = g.votedTerm + 1
	g.votes = map[string]wire.VoteReply{}
}

// becomeCandidate requests votes for the term from all voters, including itself.
func (g *Group) becomeCandidate(ctx *kernel.Context, designated bool) {
	g.role = candidate
	g.votes = map[string]wire.VoteReply{}
	ctx.Counts.Add("part_elections", 1)
	for _, voter := range allVoters(g.accepted) {
		request := wire.Vote{Partition: g.partition, Term: g.term, From: g.self(), Designated: designated, Stored: g.accepted.Version}
		if voter.ID == g.self() {
			g.handleVote(ctx, sameProcess, 0, request)
			continue
		}
		g.host.sendReplica(ctx, voter, wire.KindVote, &request)
	}
}

// handleVote answers a pre-vote immediately. It denies a vote immediately, and grants a vote only after that vote is
// synced.
func (g *Group) handleVote(ctx *kernel.Context, conn, id uint64, request wire.Vote) {
	reply := func(ctx *kernel.Context, granted bool) { g.replyToVote(ctx, conn, id, request, granted) }
	if g.host.diskDamaged {
		return
	}
	if request.Pre {
		reply(ctx, g.grantsPreVote(ctx, request))
		return
	}
	mayGrant := request.Term > g.votedTerm || request.Term == g.votedTerm && g.votedFor == request.From
	if !mayGrant {
		reply(ctx, false)
		return
	}
	if request.From != g.self() {
		g.stepDown(ctx, reasonVotedForOther)
	}
	g.votedTerm, g.votedFor = request.Term, request.From
	g.scheduleElection(ctx)
	g.host.save(ctx, voteFile(g.partition), wire.Encode(&wire.Vote{Term: request.Term, From: request.From}), func(ctx *kernel.Context, err string) {
		if err == "" && g.votedTerm == request.Term && g.votedFor == request.From {
			reply(ctx, true)
		}
	})
}

// grantsPreVote reports whether this replica would vote for a candidate: it has not recently received a message from a
// leader, has not voted in this term or a later one, should not lead instead of the candidate (see outranks), and its
// disk can sync a vote.
func (g *Group) grantsPreVote(ctx *kernel.Context, request wire.Vote) bool {
	hearsNoLeader := g.role != leader && ctx.Now-g.leaderSeen > ElectionTimeout/2
	canSync := g.host.diskProblem == diskHealthy || g.host.diskProblem == diskIsSlow
	return request.Term > g.votedTerm && hearsNoLeader && !g.outranks(request) && canSync
}

// outranks reports whether this replica should lead instead of a candidate: it holds a newer version, which would
// first have to be sent to the candidate, and it is able to start an election itself.
func (g *Group) outranks(request wire.Vote) bool {
	return mesh.Newer(g.accepted.Version, request.Stored) && g.isVoter() && !g.host.stopping
}

// replyToVote replies to a vote or pre-vote request.
func (g *Group) replyToVote(ctx *kernel.Context, conn, id uint64, request wire.Vote, granted bool) {
	reply := wire.VoteReply{Partition: g.partition, Term: request.Term, From: g.self(), Pre: request.Pre, Granted: granted, Stored: g.accepted, SupportsBase: true}
	if !granted {
		reply.Term = g.votedTerm
	}
	if !granted || request.Pre || !mesh.Newer(g.accepted.Version, request.Stored) {
		// Only a candidate that is granted the term and holds an older version needs the body. All others need only the
		// version number.
		reply.Stored.Body, reply.Stored.EditLog = nil, nil
	}
	if request.From == g.self() {
		g.handleVoteReply(ctx, reply)
		return
	}
	ctx.Send(conn, wire.KindVoteReply, id, &reply)
}

// handleVoteReply counts a vote or a pre-vote. The votes are counted against the voters of the newest version among
// those in the votes and this replica's own.
func (g *Group) handleVoteReply(ctx *kernel.Context, reply wire.VoteReply) {
	if reply.Pre && g.role != preCandidate || !reply.Pre && g.role != candidate {
		return
	}
	if !reply.Granted {
		g.handleVoteDenied(ctx, reply)
		return
	}
	if reply.Term != g.term {
		return
	}
	g.votes[reply.From] = reply
	best := g.newestVotedVersion()
	if !quorum(best, func(id string) bool { _, ok := g.votes[id]; return ok }) {
		return
	}
	if reply.Pre {
		g.becomeCandidate(ctx, false)
		return
	}
	if _, synced := g.votes[g.self()]; !synced {
		// If this process were killed and restarted now, it would request votes for the same term again and could
		// assign one version number to two different contents.
		return
	}
	if g.isSuperseded(ctx, best) {
		g.role = follower
		return
	}
	g.becomeLeader(ctx, best)
}

// handleVoteDenied ends the candidacy if the reply shows a newer term.
func (g *Group) handleVoteDenied(ctx *kernel.Context, reply wire.VoteReply) {
	if reply.Term > g.term {
		g.role = follower
		g.votedTerm = max(g.votedTerm, reply.Term)
	}
	if mesh.Newer(reply.Stored.Version, g.accepted.Version) && !contains(allVoters(reply.Stored), g.self()) {
		// This replica was most likely removed from the group while it was down, so it delays its next election.
		g.electionAt = ctx.Now + ReplaceAfter
	}
}

// newestVotedVersion returns the newest version among this replica's own and those in the votes.
func (g *Group) newestVotedVersion() wire.Versioned {
	best := g.accepted
	for _, v := range g.votes {
		if mesh.Newer(v.Stored.Version, best.Version) {
			best = v.Stored
		}
	}
	return best
}
