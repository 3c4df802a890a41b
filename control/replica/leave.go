package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A voter whose process is to stop asks the leader to be replaced, and stays a voter until a committed change
// has given its place to a replica that holds the newest version. Where none can take its place it stays a
// voter until its process ends. Meanwhile it votes and syncs, but does not stand for leader.

const (
	// LeaveInterval is how often a voter that stops asks to be replaced.
	LeaveInterval = 100 * clock.Millisecond
	// LeaveRequestTimeout is how long a request counts that isn't repeated: its process has ended.
	LeaveRequestTimeout = 500 * clock.Millisecond
	// LeaveTimeout is how long a process that stops waits until it is replaced.
	LeaveTimeout = 2500 * clock.Millisecond
)

// HasLeft reports whether this process may end without a group losing a voter or its leader.
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

// handleStopping begins a planned stop: a leader commits its proposal, takes nothing new and transfers its
// leadership.
func (g *Group) handleStopping(ctx *kernel.Context) {
	g.transferring = true
	if g.role == leader {
		g.leaderTick(ctx)
	}
	g.requestLeave(ctx)
}

// requestLeave asks the leader, or every voter where it isn't known, to replace this voter.
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

// handleLeave records that a voter stops. A replica that is no voter any more is sent the version that says so.
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

// isLeaving reports whether a replica has asked lately to be replaced.
func (g *Group) isLeaving(ctx *kernel.Context, id string) bool {
	at, requested := g.leaveRequestedAt[id]
	return requested && ctx.Now-at < LeaveRequestTimeout
}
