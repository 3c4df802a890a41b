// A voter that is told to stop asks the leader to be moved out, and stays a
// voter until a committed change has given its place to a replica that holds the
// newest version; where there is none to take its place it stays until its
// process ends. It votes and syncs meanwhile, and stands for leader no more.

package replica

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of leaving.
const (
	// LeaveInterval is how often a voter that stops asks to be moved out.
	LeaveInterval = 100_000
	// LeaveRequestTimeout is how long a request counts that is not repeated: its process has ended.
	LeaveRequestTimeout = 500_000
	// LeaveTimeout is how long a process that stops waits until it is moved out.
	LeaveTimeout = 2_500_000
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

// requestLeave asks the leader, or whoever may be the leader, to move this voter out.
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

// handleLeave takes note that a voter stops; one that is no voter any more is told so.
func (g *Group) handleLeave(ctx *kernel.Context, conn uint64, m wire.Leave) {
	if g.role != leader || !g.ready || m.From == g.self() {
		return
	}
	if !contains(allVoters(g.newestVersion()), m.From) {
		a := g.newAccept(g.committed)
		a.To = m.From
		ctx.Send(conn, wire.KindAccept, 0, &a)
		return
	}
	g.leaveRequestedAt[m.From] = ctx.Now
	g.proposeNext(ctx)
}

// isLeaving reports whether a replica has asked to be moved out of late.
func (g *Group) isLeaving(ctx *kernel.Context, id string) bool {
	at, asked := g.leaveRequestedAt[id]
	return asked && ctx.Now-at < LeaveRequestTimeout
}
