package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A voter whose process is to stop asks the leader to replace it. It remains a voter until the group has committed a
// change that replaces it by a replica with the newest version. If no replica can replace it, it remains a voter until
// its process ends. In the meantime it votes and syncs versions, but starts no elections.

const (
	// LeaveInterval is the time between two requests of a leaving voter to be replaced.
	LeaveInterval = 100 * clock.Millisecond
	// LeaveRequestTimeout is how long a request is valid without being repeated. After that the leader assumes that
	// the process has ended.
	LeaveRequestTimeout = 500 * clock.Millisecond
	// LeaveTimeout is how long a stopping process waits to be replaced.
	LeaveTimeout = 2500 * clock.Millisecond
)

// HasLeft reports whether this process may end without any group losing a voter or its leader.
func (h *Host) HasLeft() bool {
	if h.diskDamaged {
		return true
	}
	for _, g := range h.groups {
		if g.role == leader || g.isVoter() {
			return false
		}
	}
	return true
}

// handleStopping starts a planned stop. A leader first commits its proposal, accepts no further edits and transfers
// its leadership.
func (g *Group) handleStopping(ctx *kernel.Context) {
	g.transferring = true
	if g.role == leader {
		g.leaderTick(ctx)
	}
	g.requestLeave(ctx)
}

// requestLeave asks the leader, or all voters if the leader isn't known, to replace this voter.
func (g *Group) requestLeave(ctx *kernel.Context) {
	if g.role == leader || !g.isVoter() || g.leaveRequestSentAt > 0 && ctx.Now-g.leaveRequestSentAt < LeaveInterval {
		return
	}
	g.leaveRequestSentAt = ctx.Now
	leaderKnown := g.leader != "" && ctx.Now-g.leaderSeen < StepDownAfter
	for _, voter := range allVoters(g.accepted) {
		if voter.ID != g.self() && (!leaderKnown || voter.ID == g.leader) {
			g.host.sendReplica(ctx, voter, wire.KindLeave, &wire.Leave{Partition: g.partition, From: g.self()})
		}
	}
}

// handleLeave records that a voter is stopping. A replica that is no longer a voter is sent the committed version,
// which shows it that it was removed.
func (g *Group) handleLeave(ctx *kernel.Context, conn uint64, request wire.Leave) {
	if g.role != leader || !g.ready || request.From == g.self() {
		return
	}
	if !contains(allVoters(g.newestVersion()), request.From) {
		accept := g.newAccept(g.committed)
		accept.To = request.From
		ctx.Send(conn, wire.KindAccept, 0, &accept)
		return
	}
	g.leaveRequestedAt[request.From] = ctx.Now
	g.proposeNext(ctx)
}

// isLeaving reports whether a replica has asked to be replaced within LeaveRequestTimeout.
func (g *Group) isLeaving(ctx *kernel.Context, id string) bool {
	at, requested := g.leaveRequestedAt[id]
	return requested && ctx.Now-at < LeaveRequestTimeout
}
