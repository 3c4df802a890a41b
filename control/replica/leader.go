package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval = 150 * clock.Millisecond
	// StepDownAfter is how long a leader continues to lead after it sent the newest heartbeat round that a majority
	// has answered; then it steps down. It is also how long a follower considers a leader to be known after a message
	// from it has arrived.
	StepDownAfter = 1 * clock.Second
)

// stepDownReason is the reason, as logged, why a leader stepped down.
type stepDownReason string

const (
	reasonFenced        stepDownReason = "fenced by a newer term"
	reasonVotedForOther stepDownReason = "voted for another candidate"
	reasonOtherLeader   stepDownReason = "another leader"
	reasonNoContact     stepDownReason = "no majority answers"
	reasonNotCommitted  stepDownReason = "the proposal was not committed in time"
	reasonSuperseded    stepDownReason = "another group has committed a newer version"
	reasonSuspended     stepDownReason = "the process was suspended"
)

// becomeLeader starts a term of leadership. It commits the newest version found by the election again under the new
// term, since that version may or may not have been committed already; the leader serves no requests before that
// commit.
func (g *Group) becomeLeader(ctx *kernel.Context, best wire.Versioned) {
	g.role, g.leader, g.leaderAddress = leader, g.self(), g.host.kernel.Boot.Settings.Mesh
	g.ready, g.transferring = false, g.host.stopping
	g.resetLeaderState(ctx)
	for _, voter := range allVoters(best) {
		g.heardAt[voter.ID] = ctx.Now
	}
	ctx.Log(kernel.LevelInfo, "leader_elected", "partition", g.partition, "term", g.term, "adopts_term", best.Version.Term, "adopts_seq", best.Version.Seq)
	ctx.Counts.Add("part_owned", 1)
	adopted := best
	adopted.Version = wire.Version{Partition: g.partition, Term: g.term, Seq: best.Version.Seq + 1}
	g.recordVoterVersions(g.votes)
	g.propose(ctx, adopted, best.Version)
	g.leaderTick(ctx)
}

// resetLeaderState discards what this replica knew about the voters from an earlier term of leadership.
func (g *Group) resetLeaderState(ctx *kernel.Context) {
	g.leaderSince, g.heartbeatAt = ctx.Now, 0
	g.confirmedRounds = map[string]uint64{}
	g.contact.reset()
	g.reachableSince = map[string]clock.Micros{}
	g.voterDiskProblem = map[string]bool{}
	g.successors = map[string]wire.Replica{}
	g.caughtUpAt = map[string]clock.Micros{}
	g.synced = map[string]syncedVersion{}
	g.wallOffsets = map[string]clock.Micros{}
	g.leases = map[string]*lease{}
	g.change = nil
	g.learnerFailedAt = map[string]clock.Micros{}
	g.leaveRequestedAt = map[string]clock.Micros{}
}

// stepDown ends leadership or candidacy. The outcome of the edits in the proposal in flight is unknown, because the
// next leader may or may not find that version.
func (g *Group) stepDown(ctx *kernel.Context, reason stepDownReason) {
	if g.role == leader {
		ctx.Log(kernel.LevelWarn, "leader_stepped_down", "partition", g.partition, "term", g.term, "reason", string(reason))
		for _, edit := range g.proposedEdits {
			g.replyToEdit(ctx, edit.conn, edit.id, wire.EditReply{Code: wire.CodeUnknown})
		}
		for _, edit := range append(g.queue, g.unconfirmed...) {
			g.replyToEdit(ctx, edit.conn, edit.id, wire.EditReply{Code: wire.CodeNotLeader})
		}
		g.leader, g.leaderAddress = "", ""
	}
	g.proposedEdits, g.queue, g.unconfirmed, g.proposal = nil, nil, nil, nil
	g.role = follower
	g.ready = false
	g.scheduleElection(ctx)
}

// leaderTick steps down if the leader must not continue, transfers leadership if another voter should lead, and
// otherwise sends the heartbeats and proposals that are due.
func (g *Group) leaderTick(ctx *kernel.Context) {
	g.watchContact(ctx)
	switch {
	case g.isSuperseded(ctx, g.newestVersion()):
		g.stepDown(ctx, reasonSuperseded)
		return
	case ctx.Now-max(g.leaderSince, g.contact.confirmedAt) > StepDownAfter:
		g.stepDown(ctx, reasonNoContact)
		return
	case g.proposalIsOverdue(ctx.Now):
		g.stepDown(ctx, reasonNotCommitted)
		return
	case (g.host.diskProblem != diskHealthy || g.transferring) && g.proposal == nil && g.bestSuccessor(ctx) != "":
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

// newestVersion returns the version whose voters must answer the leader: its proposal if there is one, otherwise the
// committed version.
func (g *Group) newestVersion() wire.Versioned {
	if g.proposal != nil {
		return *g.proposal
	}
	return g.committed
}

// sendHeartbeats starts a heartbeat round.
func (g *Group) sendHeartbeats(ctx *kernel.Context) {
	g.heartbeatAt = ctx.Now
	g.heartbeatRound++
	g.contact.recordRound(g.heartbeatRound, ctx.Now)
	g.confirmRounds()
	heartbeat := wire.LeaderHeartbeat{Partition: g.partition, Term: g.term, From: g.self(), Round: g.heartbeatRound, Committed: g.committed.Version}
	for _, voter := range allVoters(g.newestVersion()) {
		if voter.ID != g.self() {
			heartbeat.ContactAt = g.contact.proofFor(voter.ID)
			g.host.sendReplica(ctx, voter, wire.KindLeaderHeartbeat, &heartbeat)
		}
	}
}

// handleHeartbeatReply records the state that a voter reports, sends the voter the newest committed version if it
// lacks that version, and answers the reads and rejections that a majority has now confirmed.
func (g *Group) handleHeartbeatReply(ctx *kernel.Context, reply wire.LeaderHeartbeatReply) {
	if g.role != leader {
		return
	}
	if reply.Successor != "" {
		g.successors[reply.From] = wire.Replica{ID: reply.Successor, Zone: reply.Zone}
		return
	}
	if !reply.OK {
		if reply.Term > g.term {
			g.fence(ctx, reply.Term)
		}
		return
	}
	if reply.Term != g.term {
		// The reply is to a delayed heartbeat of an earlier term.
		return
	}
	if ctx.Now-g.heardAt[reply.From] > StepDownAfter || g.reachableSince[reply.From] == 0 {
		g.reachableSince[reply.From] = ctx.Now
	}
	g.heardAt[reply.From], g.voterDiskProblem[reply.From] = ctx.Now, reply.DiskProblem
	g.wallOffsets[reply.From] = reply.Wall - ctx.Now
	g.confirmedRounds[reply.From] = max(g.confirmedRounds[reply.From], reply.Round)
	g.detectRollback(ctx, reply)
	g.contact.recordClock(reply, ctx.Now)
	g.confirmRounds()
	g.catchUp(ctx, reply)
	g.replyConfirmed(ctx)
}

// fence ends leadership after a reply showed a newer term.
func (g *Group) fence(ctx *kernel.Context, term uint64) {
	g.votedTerm = max(g.votedTerm, term)
	g.stepDown(ctx, reasonFenced)
}
