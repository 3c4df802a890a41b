package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// errLeaving is the error with which a learner refuses a version because its process is stopping.
const errLeaving = "leaving"

// replyToAccept sends the reply to an Accept message back to its sender.
type replyToAccept func(ctx *kernel.Context, reply wire.AcceptReply)

// handleAccept syncs a version and acknowledges it, unless this replica voted in a newer term. It also refuses a
// version whose term is later than the sender's term: a leader that holds such a version has been fenced.
func (g *Group) handleAccept(ctx *kernel.Context, conn, id uint64, accept wire.Accept) {
	reply := func(ctx *kernel.Context, r wire.AcceptReply) {
		r.Partition, r.From, r.SupportsBase = g.partition, g.self(), true
		if accept.From == g.self() {
			g.handleAcceptReply(ctx, r)
			return
		}
		ctx.Send(conn, wire.KindAcceptReply, id, &r)
	}
	if g.host.diskDamaged {
		return
	}
	if g.host.stopping && !g.isVoter() && !contains(allVoters(accept.Versioned), g.self()) {
		// The process of a stopping learner would end before the learner could become a voter.
		reply(ctx, wire.AcceptReply{Term: accept.Term, Err: errLeaving})
		return
	}
	if accept.Term < g.votedTerm || accept.Versioned.Version.Term > accept.Term {
		reply(ctx, wire.AcceptReply{Term: g.votedTerm})
		return
	}
	if accept.From != g.self() {
		g.followLeader(ctx, accept.From, accept.Term)
	}
	g.votedTerm = accept.Term
	if accept.Versioned.Version == g.accepted.Version {
		g.checkVersionContent(ctx, accept)
		reply(ctx, wire.AcceptReply{OK: true, Term: accept.Term, Version: g.accepted.Version})
		return
	}
	g.syncVersion(ctx, accept, reply)
}

// syncVersion writes a version if it is newer than every version that this replica holds or is writing. If the
// message omits the body, the body of the version that this replica holds (Base) is used.
func (g *Group) syncVersion(ctx *kernel.Context, accept wire.Accept, reply replyToAccept) {
	v := accept.Versioned
	if !mesh.Newer(v.Version, g.accepted.Version) || !mesh.Newer(v.Version, g.pending) {
		// No reply is needed: no leader is still proposing an older version, and a version that is being written is
		// acknowledged when that write completes.
		return
	}
	if accept.Base != (wire.Version{}) {
		if accept.Base != g.accepted.Version {
			reply(ctx, wire.AcceptReply{Term: accept.Term, Version: v.Version, LacksBase: true})
			return
		}
		v.Body, v.EditLog = g.accepted.Body, g.accepted.EditLog
	}
	g.pending = v.Version
	g.host.save(ctx, versionFile(v.Version), wire.Encode(&v), func(ctx *kernel.Context, err string) {
		if err != "" {
			if g.pending == v.Version {
				g.pending = g.accepted.Version
			}
			reply(ctx, wire.AcceptReply{Term: accept.Term, Err: err})
			return
		}
		if mesh.Newer(v.Version, g.accepted.Version) {
			g.accepted = v
		}
		g.versionFiles = append(g.versionFiles, v.Version)
		g.removeOldVersions(ctx)
		reply(ctx, wire.AcceptReply{OK: true, Term: accept.Term, Version: v.Version})
	})
}

// removeOldVersions removes the files of all but the newest VersionsKept versions.
func (g *Group) removeOldVersions(ctx *kernel.Context) {
	slices.SortFunc(g.versionFiles, func(a, b wire.Version) int {
		if mesh.Newer(a, b) {
			return -1
		}
		return 1
	})
	for len(g.versionFiles) > VersionsKept {
		last := g.versionFiles[len(g.versionFiles)-1]
		g.versionFiles = g.versionFiles[:len(g.versionFiles)-1]
		g.host.remove(ctx, versionFile(last))
	}
}

// followLeader records a replica as the leader of a term.
func (g *Group) followLeader(ctx *kernel.Context, from string, term uint64) {
	g.checkOneLeader(ctx, from, term)
	if g.role != follower && term >= g.term {
		g.stepDown(ctx, reasonOtherLeader)
	}
	if g.leader != from {
		g.leader = from
		g.leaderAddress = g.host.addressOf(from, ctx.Now)
	}
	g.leaderSeen = ctx.Now
	g.scheduleElection(ctx)
}

// knowsLeader reports whether this replica may redirect callers to the leader that it knows.
func (g *Group) knowsLeader(now clock.Micros) bool {
	if g.role == leader {
		return g.contact.confirmedWithin(now, ContactFor)
	}
	return now-g.leaderSeen < StepDownAfter
}

// handleHeartbeat follows the leader, commits the version named in the heartbeat if this replica holds it, and
// replies with this replica's version and clock.
func (g *Group) handleHeartbeat(ctx *kernel.Context, conn, id uint64, heartbeat wire.LeaderHeartbeat) {
	reply := wire.LeaderHeartbeatReply{
		Partition: g.partition, Term: g.votedTerm, From: g.self(), Round: heartbeat.Round, Stored: g.accepted.Version,
		Wall: ctx.Wall, Clock: g.host.clock(ctx.Now), DiskProblem: g.host.diskProblem != diskHealthy,
	}
	if heartbeat.Term < g.votedTerm || g.host.diskDamaged {
		ctx.Send(conn, wire.KindLeaderHeartbeatReply, id, &reply)
		return
	}
	if heartbeat.TransferTo != "" {
		g.handleTransfer(ctx, heartbeat)
		return
	}
	g.followLeader(ctx, heartbeat.From, heartbeat.Term)
	g.votedTerm = heartbeat.Term
	g.contact.recordProof(heartbeat.ContactAt-g.host.clockOrigin, ctx.Now, heartbeat.Committed)
	reply.OK, reply.Term = true, heartbeat.Term
	if heartbeat.Committed == g.accepted.Version {
		g.commit(ctx, g.accepted)
	}
	ctx.Send(conn, wire.KindLeaderHeartbeatReply, id, &reply)
}

// handleTransfer records that the leader has stepped down. If this replica is the designated successor, it starts an
// election immediately.
func (g *Group) handleTransfer(ctx *kernel.Context, heartbeat wire.LeaderHeartbeat) {
	g.leaderSeen, g.leader, g.leaderAddress = 0, "", ""
	g.votedTerm = max(g.votedTerm, heartbeat.Term)
	if heartbeat.TransferTo == g.self() && g.isVoter() && g.host.diskProblem == diskHealthy && !g.host.stopping {
		g.startElection(ctx, true)
	}
}
