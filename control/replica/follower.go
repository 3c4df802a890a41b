package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// handleAccept syncs a version and acknowledges it, unless a newer term was voted in.
func (g *Group) handleAccept(ctx *kernel.Context, conn, id uint64, a wire.Accept) {
	reply := func(ctx *kernel.Context, r wire.AcceptReply) {
		r.Partition, r.From, r.SupportsBase = g.partition, g.self(), true
		if a.From == g.self() {
			g.handleAcceptReply(ctx, r)
			return
		}
		ctx.Send(conn, wire.KindAcceptReply, id, &r)
	}
	if g.host.diskDamaged {
		return
	}
	if g.host.stopping && !g.isVoter() && !contains(allVoters(a.Versioned), g.self()) {
		// A learner that stops would be gone before it could be a voter.
		reply(ctx, wire.AcceptReply{Term: a.Term, Err: errLeaving})
		return
	}
	if a.Term < g.votedTerm || a.Versioned.Version.Term > a.Term {
		reply(ctx, wire.AcceptReply{Term: g.votedTerm})
		return
	}
	if a.From != g.self() {
		g.followLeader(ctx, a.From, a.Term)
	}
	g.votedTerm = a.Term
	v := a.Versioned
	if v.Version == g.accepted.Version {
		g.checkVersionContent(ctx, a)
		reply(ctx, wire.AcceptReply{OK: true, Term: a.Term, Version: v.Version})
		return
	}
	if !mesh.Newer(v.Version, g.accepted.Version) || !mesh.Newer(v.Version, g.pending) {
		return
	}
	if a.Base != (wire.Version{}) {
		if a.Base != g.accepted.Version {
			reply(ctx, wire.AcceptReply{Term: a.Term, Version: v.Version, LacksBase: true})
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
			reply(ctx, wire.AcceptReply{Term: a.Term, Err: err})
			return
		}
		if mesh.Newer(v.Version, g.accepted.Version) {
			g.accepted = v
		}
		g.versionFiles = append(g.versionFiles, v.Version)
		g.removeOldVersions(ctx)
		reply(ctx, wire.AcceptReply{OK: true, Term: a.Term, Version: v.Version})
	})
}

// errLeaving is the error of a learner that refuses a version since its process stops.
const errLeaving = "leaving"

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

// followLeader takes a replica for the leader of a term.
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

// knowsLeader reports whether callers may be sent to the leader that this replica knows.
func (g *Group) knowsLeader(now clock.Micros) bool {
	if g.role == leader {
		return g.contact.confirmedWithin(now, ContactFor)
	}
	return now-g.leaderSeen < StepDownAfter
}

func (g *Group) handleHeartbeat(ctx *kernel.Context, conn, id uint64, b wire.LeaderHeartbeat) {
	r := wire.LeaderHeartbeatReply{
		Partition: g.partition, Term: g.votedTerm, From: g.self(), Round: b.Round, Stored: g.accepted.Version,
		Wall: ctx.Wall, Clock: g.host.clock(ctx.Now), DiskProblem: g.host.diskProblem != diskHealthy,
	}
	if b.Term < g.votedTerm || g.host.diskDamaged {
		ctx.Send(conn, wire.KindLeaderHeartbeatReply, id, &r)
		return
	}
	if b.TransferTo != "" {
		g.handleTransfer(ctx, b)
		return
	}
	g.followLeader(ctx, b.From, b.Term)
	g.votedTerm = b.Term
	g.contact.recordProof(b.ContactAt-g.host.clockOrigin, ctx.Now, b.Committed)
	r.OK, r.Term = true, b.Term
	if b.Committed == g.accepted.Version {
		g.commit(ctx, g.accepted)
	}
	ctx.Send(conn, wire.KindLeaderHeartbeatReply, id, &r)
}

// handleTransfer takes note that the leader has stepped down, and stands at once if it is the successor.
func (g *Group) handleTransfer(ctx *kernel.Context, b wire.LeaderHeartbeat) {
	g.leaderSeen, g.leader, g.leaderAddress = 0, "", ""
	g.votedTerm = max(g.votedTerm, b.Term)
	if b.TransferTo == g.self() && g.isVoter() && g.host.diskProblem == diskHealthy && !g.host.stopping {
		g.startElection(ctx, true)
	}
}
