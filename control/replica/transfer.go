// Where a partition's leader is: handed on purpose to a named successor, in a planned
// stop, when the own disk is sick, or to spread the partitions over the cores.

package replica

import (
	"cmp"
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// bestSuccessor picks the healthy replica that answered last.
func (g *Group) bestSuccessor(ctx *kernel.Context) string {
	best, at := "", int64(0)
	for _, s := range g.committed.Voters {
		if s.ID != g.self() && g.reachableSince[s.ID] > 0 && g.heardAt[s.ID] > at && ctx.Now-g.heardAt[s.ID] < 2*HeartbeatInterval && !g.voterDiskProblem[s.ID] && !g.isLeaving(ctx, s.ID) {
			best, at = s.ID, g.heardAt[s.ID]
		}
	}
	return best
}

// preferredLeader names the replica that should own the partition so that the partitions are spread, once
// this leader has served a while, nothing is under way, and that replica has long been well.
func (g *Group) preferredLeader(ctx *kernel.Context) string {
	if !g.ready || g.proposal != nil || len(g.queue)+len(g.unconfirmed) > 0 || ctx.Now-g.leaderSince < RebalanceAfter {
		return ""
	}
	voters := slices.Clone(g.committed.Voters)
	slices.SortFunc(voters, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	preferred := voters[g.partition%len(voters)].ID
	if preferred == g.self() || ctx.Now-g.heardAt[preferred] > 2*HeartbeatInterval || ctx.Now-g.reachableSince[preferred] < RebalanceAfter || g.voterDiskProblem[preferred] || g.isLeaving(ctx, preferred) {
		return ""
	}
	if r, live := g.host.liveCore(preferred, ctx.Now); !live || r.UnhealthyReason != "" || r.Draining {
		return ""
	}
	return preferred
}

// handleStopping hands the partition on in a planned stop, once the version under way is committed.
func (g *Group) handleStopping(ctx *kernel.Context) {
	g.transferring = true
	if g.role == leader {
		g.leaderTick(ctx)
	}
	g.requestLeave(ctx)
}

// transfer hands the partition to the best successor there is.
func (g *Group) transferLeadership(ctx *kernel.Context) {
	if next := g.bestSuccessor(ctx); g.role == leader && next != "" {
		g.transferTo(ctx, next)
	}
}

// transferTo hands the partition to a named successor.
func (g *Group) transferTo(ctx *kernel.Context, next string) {
	b := wire.LeaderHeartbeat{Partition: g.partition, Term: g.term, From: g.self(), Committed: g.committed.Version, TransferTo: next}
	for _, s := range allVoters(g.committed) {
		if s.ID != g.self() {
			g.host.sendReplica(ctx, s, wire.KindLeaderHeartbeat, &b)
		}
	}
	ctx.Counts.Add("part_yielded", 1)
	g.stepDown(ctx, "handed to "+next)
	// Whoever asks meanwhile is sent to the successor.
	g.leader, g.leaderAddress, g.leaderSeen = next, g.host.addressOf(next, ctx.Now), ctx.Now
}
