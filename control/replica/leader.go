// The leader's side of a partition: win, re-commit what was found, batch edits into
// one version at a time, heartbeat, step down when a majority no longer answers.

package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func (g *Group) becomeLeader(ctx *kernel.Context, best wire.Versioned) {
	g.role, g.leader, g.leaderAddress = leader, g.self(), g.host.kernel.Boot.Settings.Mesh
	g.ready, g.transferring = false, g.host.stopping
	g.confirmedRounds, g.wallOffsets = map[string]uint64{}, map[string]int64{}
	g.synced = map[string]syncedVersion{}
	g.voterDiskProblem, g.successors, g.caughtUpAt, g.reachableSince = map[string]bool{}, map[string]wire.Replica{}, map[string]int64{}, map[string]int64{}
	g.heartbeatAt, g.leaderSince = 0, ctx.Now
	g.contact.reset()
	g.leases = map[string]*lease{}
	g.change, g.learnerFailedAt, g.leaveRequestedAt = nil, map[string]int64{}, map[string]int64{}
	for _, s := range allVoters(best) {
		g.heardAt[s.ID] = ctx.Now
	}
	ctx.Log(kernel.LevelInfo, "part_owner", "part", g.partition, "term", g.term, "adopts_term", best.Version.Term, "adopts_seq", best.Version.Seq)
	ctx.Counts.Add("part_owned", 1)
	v := best
	v.Version = wire.Version{Partition: g.partition, Term: g.term, Seq: best.Version.Seq + 1}
	g.recordVoterVersions(g.votes)
	g.propose(ctx, v, best.Version)
	g.leaderTick(ctx)
}

// stepDown ends leadership or candidature. What was in flight has an unknown outcome.
func (g *Group) stepDown(ctx *kernel.Context, why string) {
	if g.role == leader {
		ctx.Log(kernel.LevelWarn, "part_retired", "part", g.partition, "term", g.term, "why", why)
		for _, w := range g.proposedEdits {
			g.replyToEdit(ctx, w.conn, w.id, wire.EditReply{Code: "unknown"})
		}
		for _, w := range append(g.queue, g.unconfirmed...) {
			g.replyToEdit(ctx, w.conn, w.id, wire.EditReply{Code: "not_owner"})
		}
		g.leader, g.leaderAddress = "", ""
	}
	g.proposedEdits, g.queue, g.unconfirmed, g.proposal = nil, nil, nil, nil
	g.role = follower
	g.ready = false
	g.scheduleElection(ctx)
}

// propose has the voters hold a version. Its body is that of the version base, if that is one:
// who holds that already needs not be sent it.
func (g *Group) propose(ctx *kernel.Context, v wire.Versioned, base wire.Version) {
	g.proposal, g.proposedAt = &v, ctx.Now
	g.acked = map[string]bool{}
	g.sendProposal(ctx, base)
}

// newAccept is the message that brings a version to a replica, in this leader's term.
func (g *Group) newAccept(v wire.Versioned) wire.Accept {
	return wire.Accept{Partition: g.partition, Term: g.term, From: g.self(), Versioned: v}
}

// sendVersion brings a version, whole, to a replica.
func (g *Group) sendVersion(ctx *kernel.Context, to wire.Replica, v wire.Versioned) {
	a := g.newAccept(v)
	g.host.sendReplica(ctx, to, wire.KindAccept, &a)
}

// sendProposal sends the version under way to those who have not synced it yet.
func (g *Group) sendProposal(ctx *kernel.Context, base wire.Version) {
	g.proposalSentAt = ctx.Now
	a := g.newAccept(*g.proposal)
	for _, s := range allVoters(*g.proposal) {
		if g.acked[s.ID] {
			continue
		}
		if s.ID == g.self() {
			g.handleAccept(ctx, 0, 0, a)
			continue
		}
		one := g.withBase(a, s.ID, base)
		g.host.sendReplica(ctx, s, wire.KindAccept, &one)
	}
	g.sendToLearners(ctx, *g.proposal)
}

func (g *Group) handleAcceptReply(ctx *kernel.Context, r wire.AcceptReply) {
	if g.role != leader {
		return
	}
	if !r.OK {
		if r.Term > g.term {
			g.votedTerm = max(g.votedTerm, r.Term)
			g.stepDown(ctx, "fenced by a newer term")
			return
		}
		if r.LacksBase {
			g.sendFullProposal(ctx, r)
			return
		}
		g.handleLearnerReply(ctx, r)
		return
	}
	g.heardAt[r.From] = ctx.Now
	g.recordSynced(r)
	g.handleLearnerReply(ctx, r)
	if g.proposal == nil || r.Version != g.proposal.Version {
		return
	}
	g.acked[r.From] = true
	if !quorum(*g.proposal, func(id string) bool { return g.acked[id] }) {
		return
	}
	v := *g.proposal
	g.proposal = nil
	done := g.proposedEdits
	g.proposedEdits = nil
	g.ready = true
	g.checkLeaderTerm(ctx, v)
	g.commit(ctx, v)
	for _, w := range done {
		if w.applied {
			w.reply.Version = v.Version
		}
		g.replyToEdit(ctx, w.conn, w.id, w.reply)
	}
	g.sendHeartbeats(ctx)
	g.proposeNext(ctx)
}

// commit takes note that a version is committed.
func (g *Group) commit(ctx *kernel.Context, v wire.Versioned) {
	if !mesh.Newer(v.Version, g.committed.Version) {
		return
	}
	before := g.committed
	g.checkRevisionRises(ctx, before, v)
	g.committed = v
	if g.role == leader {
		g.endChange(ctx, before, v)
	}
	ctx.Emit(Committed{Version: v})
}

func (g *Group) leaderTick(ctx *kernel.Context) {
	g.watchContact(ctx)
	switch {
	case g.isSuperseded(ctx, g.newestVersion()):
		g.stepDown(ctx, "another group has committed a newer version")
		return
	case ctx.Now-max(g.leaderSince, g.contact.confirmedAt) > StepDownAfter:
		g.stepDown(ctx, "no majority answers")
		return
	case g.proposalIsOverdue(ctx.Now):
		g.stepDown(ctx, "the version under way was not taken in time")
		return
	case (g.host.diskProblem != "" || g.transferring) && g.proposal == nil && g.bestSuccessor(ctx) != "":
		g.transferLeadership(ctx)
		return
	case ctx.Now-g.heartbeatAt >= HeartbeatInterval:
		g.sendHeartbeats(ctx)
	}
	if to := g.preferredLeader(ctx); to != "" {
		g.transferTo(ctx, to)
		return
	}
	if g.proposal != nil && ctx.Now-g.proposalSentAt > resendInterval(versionSize(*g.proposal)) {
		g.sendProposal(ctx, wire.Version{})
	}
	g.proposeNext(ctx)
}

// newestVersion is the version whose replicas a leader must hear from.
func (g *Group) newestVersion() wire.Versioned {
	if g.proposal != nil {
		return *g.proposal
	}
	return g.committed
}

func (g *Group) sendHeartbeats(ctx *kernel.Context) {
	g.heartbeatAt = ctx.Now
	g.heartbeatRound++
	g.contact.roundSent(g.heartbeatRound, ctx.Now)
	g.confirmRounds()
	b := wire.LeaderHeartbeat{Partition: g.partition, Term: g.term, From: g.self(), Round: g.heartbeatRound, Committed: g.committed.Version}
	for _, s := range allVoters(g.newestVersion()) {
		if s.ID != g.self() {
			b.ContactAt = g.contact.proofFor(s.ID)
			g.host.sendReplica(ctx, s, wire.KindLeaderHeartbeat, &b)
		}
	}
}

func (g *Group) handleHeartbeatReply(ctx *kernel.Context, r wire.LeaderHeartbeatReply) {
	if g.role != leader {
		return
	}
	if r.Successor != "" {
		g.successors[r.From] = wire.Replica{ID: r.Successor, Zone: r.Zone}
		return
	}
	if !r.OK {
		if r.Term > g.term {
			g.votedTerm = max(g.votedTerm, r.Term)
			g.stepDown(ctx, "fenced by a newer term")
		}
		return
	}
	if r.Term != g.term {
		// It answers a heartbeat of an earlier term, held up on its way.
		return
	}
	if ctx.Now-g.heardAt[r.From] > StepDownAfter || g.reachableSince[r.From] == 0 {
		g.reachableSince[r.From] = ctx.Now
	}
	g.heardAt[r.From], g.voterDiskProblem[r.From] = ctx.Now, r.DiskProblem
	g.wallOffsets[r.From] = r.Wall - ctx.Now
	g.confirmedRounds[r.From] = max(g.confirmedRounds[r.From], r.Round)
	g.detectRollback(ctx, r)
	g.contact.recordClock(r, ctx.Now)
	g.confirmRounds()
	g.catchUp(ctx, r)
	g.replyConfirmed(ctx)
}
