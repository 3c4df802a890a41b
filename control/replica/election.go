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
	// ElectionTimeout is how long the first of the voters does without a leader before it stands for leader.
	// Each further one waits ElectionStagger longer, so that two seldom stand at the same time, and all of
	// them up to ElectionJitter longer by chance.
	ElectionTimeout = 500 * clock.Millisecond
	ElectionStagger = 150 * clock.Millisecond
	ElectionJitter  = 60 * clock.Millisecond
	// ElectionTimeoutAtStart takes the place of ElectionTimeout during the StartPeriod of a process on a platform.
	ElectionTimeoutAtStart = 60 * clock.Millisecond
	StartPeriod            = 3 * clock.Second
	// ListenBeforeElection is how long a process that just started listens before it stands: by then it has
	// heard of a group that an operator rebuilt without it. Where a platform runs the fleet nobody rebuilds
	// a group, and ListenOnPlatform is enough.
	ListenBeforeElection = 1500 * clock.Millisecond
	ListenOnPlatform     = 200 * clock.Millisecond
)

// electionTick stands for leader when no leader was heard for the time-out.
func (g *Group) electionTick(ctx *kernel.Context) {
	if g.electionAt == 0 {
		g.scheduleElection(ctx)
	}
	at := g.electionAt
	if g.host.diskProblem != diskHealthy {
		// A healthy replica goes first; where there is none, a slow leader is better than none.
		at += 2 * ElectionTimeout
	}
	if ctx.Now >= at && ctx.Now-g.host.startedAt >= g.host.listenPeriod() {
		g.startElection(ctx, false)
	}
}

// scheduleElection sets when this replica stands for leader. The voters take turns in the order of their
// identities, and each partition begins with another voter, so that the leaders are spread over the cores.
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
			// The leader that was lost needs no turn.
		default:
			rank++
		}
	}
	g.electionAt = ctx.Now + ElectionTimeout + ctx.Rand.Int64N(ElectionTimeout)
}

// justStarted reports whether this process has just started on a platform and has heard no leader yet. After
// a loss of all processes there is no leader to wait for; where there is one, the voters that hear it deny
// the pre-vote, which binds nobody.
func (g *Group) justStarted(ctx *kernel.Context) bool {
	return g.host.kernel.Boot.Settings.BootstrapKnown && g.leader == "" && g.role != leader && ctx.Now-g.host.startedAt < StartPeriod
}

// listenPeriod is how long a process that just started does not stand for leader.
func (h *Host) listenPeriod() clock.Micros {
	if h.kernel.Boot.Settings.BootstrapKnown {
		return ListenOnPlatform
	}
	return ListenBeforeElection
}

// startElection stands for leader. A successor that the leader designated skips the pre-vote, which the
// voters would deny since they have just heard that leader.
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

// becomePreCandidate begins to ask for pre-votes for the next term. It binds nobody and is not stored.
func (g *Group) becomePreCandidate() {
	g.role = preCandidate
	g.term = g.votedTerm + 1
	g.votes = map[string]wire.VoteReply{}
}

// becomeCandidate asks all voters, itself included, for the term.
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

// handleVote answers a pre-vote at once, and a request for a term once the vote is synced.
func (g *Group) handleVote(ctx *kernel.Context, conn, id uint64, request wire.Vote) {
	reply := func(ctx *kernel.Context, granted bool) { g.replyToVote(ctx, conn, id, request, granted) }
	if g.host.diskDamaged {
		return
	}
	if request.Pre {
		reply(ctx, g.grantsPreVote(ctx, request))
		return
	}
	fresh := request.Term > g.votedTerm || request.Term == g.votedTerm && g.votedFor == request.From
	if !fresh {
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

// grantsPreVote reports whether this replica would vote for a candidate: it hears no leader, has voted in
// no such term yet, should not lead itself, and its disk can sync a vote.
func (g *Group) grantsPreVote(ctx *kernel.Context, request wire.Vote) bool {
	hearsNoLeader := g.role != leader && ctx.Now-g.leaderSeen > ElectionTimeout/2
	canSync := g.host.diskProblem == diskHealthy || g.host.diskProblem == diskIsSlow
	return request.Term > g.votedTerm && hearsNoLeader && !g.outranks(request) && canSync
}

// outranks reports whether this replica should lead rather than a candidate: it holds a newer version, which
// the candidate would have to be sent first, and it can stand itself.
func (g *Group) outranks(request wire.Vote) bool {
	return mesh.Newer(g.accepted.Version, request.Stored) && g.isVoter() && !g.host.stopping
}

// replyToVote sends a vote or a pre-vote, granted or denied.
func (g *Group) replyToVote(ctx *kernel.Context, conn, id uint64, request wire.Vote, granted bool) {
	reply := wire.VoteReply{Partition: g.partition, Term: request.Term, From: g.self(), Pre: request.Pre, Granted: granted, Stored: g.accepted, SupportsBase: true}
	if !granted {
		reply.Term = g.votedTerm
	}
	if !granted || request.Pre || !mesh.Newer(g.accepted.Version, request.Stored) {
		// Only a candidate that is given the term and holds an older version needs the body; the others
		// need to know how new this one is.
		reply.Stored.Body, reply.Stored.EditLog = nil, nil
	}
	if request.From == g.self() {
		g.handleVoteReply(ctx, reply)
		return
	}
	ctx.Send(conn, wire.KindVoteReply, id, &reply)
}

// handleVoteReply counts a vote or a pre-vote, by the voters of the newest version that was found.
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
		// Killed now and started again, it would ask for the same term and give one number to two versions.
		return
	}
	if g.isSuperseded(ctx, best) {
		g.role = follower
		return
	}
	g.becomeLeader(ctx, best)
}

// handleVoteDenied ends a candidature that met a newer term.
func (g *Group) handleVoteDenied(ctx *kernel.Context, reply wire.VoteReply) {
	if reply.Term > g.term {
		g.role = follower
		g.votedTerm = max(g.votedTerm, reply.Term)
	}
	if mesh.Newer(reply.Stored.Version, g.accepted.Version) && !contains(allVoters(reply.Stored), g.self()) {
		// Most likely this replica was replaced while it was away: it need not ask again at once.
		g.electionAt = ctx.Now + ReplaceAfter
	}
}

// newestVotedVersion is the newest version among this replica's and those that came with the votes.
func (g *Group) newestVotedVersion() wire.Versioned {
	best := g.accepted
	for _, v := range g.votes {
		if mesh.Newer(v.Stored.Version, best.Version) {
			best = v.Stored
		}
	}
	return best
}
