package replica

import (
	"cmp"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// RebalanceAfter is the minimum time that a leader has led, and that a voter has been reachable without interruption,
// before leadership is transferred or voters are changed for the sole purpose of a better spread.
const RebalanceAfter = 4 * clock.Second

// bestSuccessor returns the healthy voter from which a message has arrived most recently; empty if there is none.
func (g *Group) bestSuccessor(ctx *kernel.Context) string {
	best, bestHeardAt := "", clock.Micros(0)
	for _, voter := range g.committed.Voters {
		id, heardAt := voter.ID, g.heardAt[voter.ID]
		reachable := g.reachableSince[id] > 0 && ctx.Now-heardAt < 2*HeartbeatInterval
		if id != g.self() && reachable && heardAt > bestHeardAt && !g.voterDiskProblem[id] && !g.isLeaving(ctx, id) {
			best, bestHeardAt = id, heardAt
		}
	}
	return best
}

// preferredLeader returns the voter that should lead instead of this one. Each partition prefers a different one of
// its voters, so that the leaders are spread over the cores. The result is empty if this replica is the preferred
// one, has not led for RebalanceAfter or has work in progress, or if the preferred voter has not been healthy for
// long enough.
func (g *Group) preferredLeader(ctx *kernel.Context) string {
	if !g.ready || g.proposal != nil || len(g.queue)+len(g.unconfirmed) > 0 || ctx.Now-g.leaderSince < RebalanceAfter {
		return ""
	}
	voters := slices.Clone(g.committed.Voters)
	slices.SortFunc(voters, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	preferred := voters[g.partition%len(voters)].ID
	if preferred == g.self() || g.voterDiskProblem[preferred] || g.isLeaving(ctx, preferred) {
		return ""
	}
	if ctx.Now-g.heardAt[preferred] > 2*HeartbeatInterval || ctx.Now-g.reachableSince[preferred] < RebalanceAfter {
		return ""
	}
	if core, live := g.host.liveCore(preferred, ctx.Now); !live || core.UnhealthyReason != "" || core.Draining {
		return ""
	}
	return preferred
}

// transferLeadership transfers leadership to the best successor, if there is one.
func (g *Group) transferLeadership(ctx *kernel.Context) {
	if successor := g.bestSuccessor(ctx); g.role == leader && successor != "" {
		g.transferTo(ctx, successor)
	}
}

// transferTo steps down and designates a successor, which starts an election immediately.
func (g *Group) transferTo(ctx *kernel.Context, successor string) {
	heartbeat := wire.LeaderHeartbeat{Partition: g.partition, Term: g.term, From: g.self(), Committed: g.committed.Version, TransferTo: successor}
	for _, voter := range allVoters(g.committed) {
		if voter.ID != g.self() {
			g.host.sendReplica(ctx, voter, wire.KindLeaderHeartbeat, &heartbeat)
		}
	}
	ctx.Counts.Add("part_yielded", 1)
	g.stepDown(ctx, "transferred to "+stepDownReason(successor))
	// Callers that ask in the meantime are redirected to the successor.
	g.leader, g.leaderAddress, g.leaderSeen = successor, g.host.addressOf(successor, ctx.Now), ctx.Now
}
