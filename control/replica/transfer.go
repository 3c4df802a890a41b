package replica

import (
	"cmp"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// RebalanceAfter is how long a leader leads, and a voter has been reachable without a gap, before leadership is
// transferred, or voters are changed, only to spread them better.
const RebalanceAfter = 4 * clock.Second

// bestSuccessor is the healthy voter that was heard last; empty where there is none.
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

// preferredLeader is the voter that should lead instead, so that the partitions' leaders are spread over the
// cores: each partition prefers another one of its voters. It is empty where this one is preferred, has not
// led for long enough or has something under way, or where the preferred one isn't well for long enough.
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

// transferLeadership transfers the leadership to the best successor, if there is one.
func (g *Group) transferLeadership(ctx *kernel.Context) {
	if successor := g.bestSuccessor(ctx); g.role == leader && successor != "" {
		g.transferTo(ctx, successor)
	}
}

// transferTo steps down and designates a successor, which stands for leader at once.
func (g *Group) transferTo(ctx *kernel.Context, successor string) {
	heartbeat := wire.LeaderHeartbeat{Partition: g.partition, Term: g.term, From: g.self(), Committed: g.committed.Version, TransferTo: successor}
	for _, voter := range allVoters(g.committed) {
		if voter.ID != g.self() {
			g.host.sendReplica(ctx, voter, wire.KindLeaderHeartbeat, &heartbeat)
		}
	}
	ctx.Counts.Add("part_yielded", 1)
	g.stepDown(ctx, "transferred to "+stepDownReason(successor))
	// Callers that ask meanwhile are sent to the successor.
	g.leader, g.leaderAddress, g.leaderSeen = successor, g.host.addressOf(successor, ctx.Now), ctx.Now
}
