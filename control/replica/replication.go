package replica

import (
	"bytes"

	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// ProposalTimeout is how long a proposal may be in flight, in addition to the time for transferring it
// (transferTime).
const ProposalTimeout = 10 * clock.Second

// propose sends a version to the voters to be synced. base is the version that has the same body and edit log, if
// there is one: the body and the edit log need not be sent to voters that hold base.
func (g *Group) propose(ctx *kernel.Context, v wire.Versioned, base wire.Version) {
	g.proposal, g.proposedAt = &v, ctx.Now
	g.acked = map[string]bool{}
	g.sendProposal(ctx, base)
}

// proposalIsOverdue reports whether the proposal was not synced by a majority in time. This leader then gives up; the
// next leader may or may not find the proposal on a voter.
func (g *Group) proposalIsOverdue(now clock.Micros) bool {
	if g.proposal == nil {
		return false
	}
	return now-g.proposedAt > ProposalTimeout+transferTime(versionSize(*g.proposal))
}

// sendProposal sends the proposal to the voters that have not synced it yet, and to the learners.
func (g *Group) sendProposal(ctx *kernel.Context, base wire.Version) {
	g.proposalSentAt = ctx.Now
	accept := g.newAccept(*g.proposal)
	for _, voter := range allVoters(*g.proposal) {
		if g.acked[voter.ID] {
			continue
		}
		if voter.ID == g.self() {
			g.handleAccept(ctx, sameProcess, 0, accept)
			continue
		}
		forVoter := g.withBase(accept, voter.ID, base)
		g.host.sendReplica(ctx, voter, wire.KindAccept, &forVoter)
	}
	g.sendToLearners(ctx, *g.proposal)
}

// sendFullProposal sends the proposal with its body to a voter that does not hold the base version.
func (g *Group) sendFullProposal(ctx *kernel.Context, reply wire.AcceptReply) {
	if g.proposal == nil || reply.Version != g.proposal.Version {
		return
	}
	delete(g.synced, reply.From)
	for _, voter := range allVoters(*g.proposal) {
		if voter.ID == reply.From {
			g.sendVersion(ctx, voter, *g.proposal)
		}
	}
}

// sendVersion sends a version, including its body, to a replica.
func (g *Group) sendVersion(ctx *kernel.Context, to wire.Replica, v wire.Versioned) {
	accept := g.newAccept(v)
	g.host.sendReplica(ctx, to, wire.KindAccept, &accept)
}

// newAccept returns the message that sends a version to a replica in this leader's term.
func (g *Group) newAccept(v wire.Versioned) wire.Accept {
	return wire.Accept{Partition: g.partition, Term: g.term, From: g.self(), Versioned: v}
}

// handleAcceptReply counts an acknowledgement of the proposal, or handles a refusal.
func (g *Group) handleAcceptReply(ctx *kernel.Context, reply wire.AcceptReply) {
	if g.role != leader {
		return
	}
	if !reply.OK {
		switch {
		case reply.Term > g.term:
			g.fence(ctx, reply.Term)
		case reply.LacksBase:
			g.sendFullProposal(ctx, reply)
		default:
			g.handleLearnerReply(ctx, reply)
		}
		return
	}
	g.heardAt[reply.From] = ctx.Now
	g.recordSynced(reply)
	g.handleLearnerReply(ctx, reply)
	if g.proposal == nil || reply.Version != g.proposal.Version {
		return
	}
	g.acked[reply.From] = true
	if quorum(*g.proposal, func(id string) bool { return g.acked[id] }) {
		g.commitProposal(ctx)
	}
}

// commitProposal commits a proposal that a quorum has synced: it answers the proposal's edits, notifies the
// followers, and proposes the edits that have arrived in the meantime.
func (g *Group) commitProposal(ctx *kernel.Context) {
	v, edits := *g.proposal, g.proposedEdits
	g.proposal, g.proposedEdits = nil, nil
	// The first proposal of a term is the adopted version. Once it is committed the leader may serve.
	g.ready = true
	g.checkLeaderTerm(ctx, v)
	g.commit(ctx, v)
	for _, edit := range edits {
		if edit.applied {
			edit.reply.Version = v.Version
		}
		g.replyToEdit(ctx, edit.conn, edit.id, edit.reply)
	}
	g.sendHeartbeats(ctx)
	g.proposeNext(ctx)
}

// commit records that a version is committed, and emits Committed.
func (g *Group) commit(ctx *kernel.Context, v wire.Versioned) {
	if !mesh.Newer(v.Version, g.committed.Version) {
		return
	}
	before := g.committed
	g.checkRevisionIncreases(ctx, before, v)
	g.committed = v
	if g.role == leader {
		g.endChange(ctx, before, v)
	}
	ctx.Emit(Committed{Version: v})
}

// syncedVersion is the newest version that a replica has acknowledged, and the newest heartbeat round at that time.
type syncedVersion struct {
	version        wire.Version
	heartbeatRound uint64
	// supportsBase is set if the replica accepts a version without its body. Releases before 3 do not.
	supportsBase bool
}

// recordSynced records the newest version that a replica has acknowledged.
func (g *Group) recordSynced(reply wire.AcceptReply) {
	if mesh.Newer(reply.Version, g.synced[reply.From].version) {
		g.synced[reply.From] = syncedVersion{reply.Version, g.heartbeatRound, reply.SupportsBase}
	}
}

// recordVoterVersions records the versions that the voters of an election hold.
func (g *Group) recordVoterVersions(votes map[string]wire.VoteReply) {
	for id, v := range votes {
		g.synced[id] = syncedVersion{v.Stored.Version, g.heartbeatRound, v.SupportsBase}
	}
}

// detectRollback reports a replica that holds an older version than it has acknowledged in this term: its disk has
// reverted to an older state. The algorithm assumes that this never happens.
func (g *Group) detectRollback(ctx *kernel.Context, reply wire.LeaderHeartbeatReply) {
	was, known := g.synced[reply.From]
	if !known || reply.Round <= was.heartbeatRound || !mesh.Newer(was.version, reply.Stored) {
		return
	}
	delete(g.synced, reply.From)
	ctx.Counts.Add("replicas_rolled_back", 1)
	ctx.Log(kernel.LevelError, "replica_rolled_back", "partition", g.partition, "replica", reply.From, "had_seq", was.version.Seq, "has_seq", reply.Stored.Seq,
		"action", "stop this core, empty its data folder, start it again: it comes back as a new replica")
}

// baseFor returns the committed version if the new value has the same body and edit log, so that only the voters
// change; otherwise the zero version.
func (g *Group) baseFor(value state.Value) (base wire.Version) {
	if bytes.Equal(value.Body, g.committed.Body) && bytes.Equal(value.EditLog, g.committed.EditLog) {
		base = g.committed.Version
	}
	return base
}

// withBase omits a large body from a message to a replica that holds the same body as version base.
func (g *Group) withBase(accept wire.Accept, id string, base wire.Version) wire.Accept {
	held := g.synced[id]
	if isLarge(versionSize(accept.Versioned)) && base.Term > 0 && held.supportsBase && held.version == base {
		accept.Base, accept.Versioned.Body, accept.Versioned.EditLog = base, nil, nil
	}
	return accept
}
