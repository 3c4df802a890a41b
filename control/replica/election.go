// Standing for leader: the replicas take turns, ask first whether a term would be
// given, and vote nothing that is not synced.

package replica

import (
	"cmp"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// scheduleElection puts the next try for a term off: the replicas take turns, each partition beginning with another.
func (g *Group) scheduleElection(ctx *kernel.Context) {
	rank, after := int64(0), int64(ElectionTimeout)
	if g.justStarted(ctx) {
		after = ElectionTimeoutAtStart
	}
	voters := allVoters(g.accepted)
	slices.SortFunc(voters, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for i := range voters {
		switch voters[(i+g.partition)%len(voters)].ID {
		case g.self():
			g.electionAt = ctx.Now + after + rank*ElectionStagger + ctx.Rand.Int64N(ElectionJitter)
			return
		case g.leader:
		default:
			rank++
		}
	}
	g.electionAt = ctx.Now + ElectionTimeout + ctx.Rand.Int64N(ElectionTimeout)
}

// justStarted tells that this process has just started, on a platform, and has heard no leader yet:
// after a loss of everything there is none to wait for, and where there is one the other replicas,
// who hear it, deny the first question, which binds nobody.
func (g *Group) justStarted(ctx *kernel.Context) bool {
	return g.host.kernel.Boot.Settings.BootstrapKnown && g.leader == "" && g.role != leader && ctx.Now-g.host.startedAt < StartPeriod
}

// startElection begins a try: first whether a term would be given, then for the term.
func (g *Group) startElection(ctx *kernel.Context, named bool) {
	g.scheduleElection(ctx)
	g.role = preCandidate
	g.term = g.votedTerm + 1
	g.votes = map[string]wire.VoteReply{}
	if named {
		g.becomeCandidate(ctx, true)
		return
	}
	for _, s := range allVoters(g.accepted) {
		v := wire.Vote{Partition: g.partition, Term: g.term, From: g.self(), Pre: true, Stored: g.accepted.Version}
		if s.ID == g.self() {
			g.handleVoteReply(ctx, wire.VoteReply{Partition: g.partition, Term: g.term, From: s.ID, Pre: true, Granted: true, Stored: g.accepted})
			continue
		}
		g.host.sendReplica(ctx, s, wire.KindVote, &v)
	}
}

func (g *Group) becomeCandidate(ctx *kernel.Context, named bool) {
	g.role = candidate
	g.votes = map[string]wire.VoteReply{}
	ctx.Counts.Add("part_elections", 1)
	for _, s := range allVoters(g.accepted) {
		v := wire.Vote{Partition: g.partition, Term: g.term, From: g.self(), Designated: named, Stored: g.accepted.Version}
		if s.ID == g.self() {
			g.handleVote(ctx, 0, 0, v)
			continue
		}
		g.host.sendReplica(ctx, s, wire.KindVote, &v)
	}
}

// handleVote answers a request for a term, after the vote is synced.
func (g *Group) handleVote(ctx *kernel.Context, conn, id uint64, request wire.Vote) {
	reply := func(ctx *kernel.Context, granted bool) {
		r := wire.VoteReply{Partition: g.partition, Term: request.Term, From: g.self(), Pre: request.Pre, Granted: granted, Stored: g.accepted, SupportsBase: true}
		if !granted {
			r.Term = g.votedTerm
		}
		if !granted || request.Pre || !mesh.Newer(g.accepted.Version, request.Stored) {
			// Only who is given the term and holds an older version needs what is held; the others
			// need to know how new it is.
			r.Stored.Body, r.Stored.EditLog = nil, nil
		}
		if request.From == g.self() {
			g.handleVoteReply(ctx, r)
			return
		}
		ctx.Send(conn, wire.KindVoteReply, id, &r)
	}
	if g.host.diskDamaged {
		return
	}
	fresh := request.Term > g.votedTerm || request.Term == g.votedTerm && g.votedFor == request.From
	if request.Pre {
		quiet := g.role != leader && ctx.Now-g.leaderSeen > ElectionTimeout/2
		reply(ctx, request.Term > g.votedTerm && quiet && !g.outranks(request) && (g.host.diskProblem == "" || g.host.diskProblem == "slow"))
		return
	}
	if !fresh {
		reply(ctx, false)
		return
	}
	if request.From != g.self() {
		g.stepDown(ctx, "promised another")
	}
	g.votedTerm, g.votedFor = request.Term, request.From
	g.scheduleElection(ctx)
	g.host.save(ctx, voteFile(g.partition), wire.Encode(&wire.Vote{Term: request.Term, From: request.From}), func(ctx *kernel.Context, err string) {
		if err == "" && g.votedTerm == request.Term && g.votedFor == request.From {
			reply(ctx, true)
		}
	})
}

// outranks tells that this replica should lead rather than the candidate: it holds a newer version,
// which the candidate would have to be sent first, and it can stand itself.
func (g *Group) outranks(request wire.Vote) bool {
	return mesh.Newer(g.accepted.Version, request.Stored) && g.isVoter() && !g.host.stopping
}

func (g *Group) handleVoteReply(ctx *kernel.Context, r wire.VoteReply) {
	if r.Pre && g.role != preCandidate || !r.Pre && g.role != candidate {
		return
	}
	if !r.Granted {
		if r.Term > g.term {
			g.role = follower
			g.votedTerm = max(g.votedTerm, r.Term)
		}
		if mesh.Newer(r.Stored.Version, g.accepted.Version) && !contains(allVoters(r.Stored), g.self()) {
			// Most likely this replica was replaced meanwhile: it need not ask again at once.
			g.electionAt = ctx.Now + ReplaceAfter
		}
		return
	}
	if r.Term != g.term {
		return
	}
	g.votes[r.From] = r
	best := g.accepted
	for _, v := range g.votes {
		if mesh.Newer(v.Stored.Version, best.Version) {
			best = v.Stored
		}
	}
	if !quorum(best, func(id string) bool { _, ok := g.votes[id]; return ok }) {
		return
	}
	if r.Pre {
		g.becomeCandidate(ctx, false)
		return
	}
	if _, synced := g.votes[g.self()]; !synced {
		// Killed now, it would ask for the same term again and give one number to two versions.
		return
	}
	if g.isSuperseded(ctx, best) {
		g.role = follower
		return
	}
	g.becomeLeader(ctx, best)
}
