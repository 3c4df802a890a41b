// Which change of membership is due: a voter whose disk is lost, that leaves or
// that is silent gives its place to another replica, a group that is too small
// grows, and the voters are spread over the zones.

package replica

import (
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// substitute is the change that gives a voter's place to a learner.
func (g *Group) substitute(reason changeReason, removed string, learner wire.Replica) *memberChange {
	voters := slices.Clone(g.committed.Voters)
	for i := range voters {
		if voters[i].ID == removed {
			voters[i] = learner
		}
	}
	return &memberChange{reason: reason, removed: removed, voters: voters, learners: []wire.Replica{learner}}
}

// candidates are the standbys that can be learners now.
func (g *Group) candidates(ctx *kernel.Context) []wire.Replica {
	return slices.DeleteFunc(g.host.standbys(ctx.Now), func(r wire.Replica) bool { return !g.canLearn(ctx, r.ID) })
}

func (g *Group) canLearn(ctx *kernel.Context, id string) bool {
	failedAt, failed := g.learnerFailedAt[id]
	return !g.isLeaving(ctx, id) && !(failed && ctx.Now-failedAt < LearnerRetryAfter)
}

// replaceLostDisk gives the place of a voter whose disk is lost to the replica that is at its address now.
func (g *Group) replaceLostDisk(ctx *kernel.Context) *memberChange {
	for _, voter := range g.committed.Voters {
		now, ok := g.successors[voter.ID]
		if ok && !contains(g.committed.Voters, now.ID) && g.canLearn(ctx, now.ID) {
			return g.substitute(reasonDiskLost, voter.ID, wire.Replica{ID: now.ID, Zone: now.Zone, Addr: voter.Addr})
		}
	}
	return nil
}

// replaceLeaving gives the place of a voter that is stopping to a standby, unless the loss of
// one zone would then take a majority that it does not take now.
func (g *Group) replaceLeaving(ctx *kernel.Context) *memberChange {
	zones := g.host.kernel.Boot.Settings.Tolerance.Zones
	for _, voter := range g.committed.Voters {
		if voter.ID == g.self() || !g.isLeaving(ctx, voter.ID) {
			continue
		}
		standby, ok := leastUsedZone(g.candidates(ctx), g.committed.Voters, voter.ID)
		if !ok {
			return nil
		}
		change := g.substitute(reasonLeaving, voter.ID, standby)
		if survivesZoneLoss(change.voters, zones) || !survivesZoneLoss(g.committed.Voters, zones) {
			return change
		}
	}
	return nil
}

func (g *Group) isUnresponsive(ctx *kernel.Context, id string) bool {
	return id != g.self() && ctx.Now-g.heardAt[id] >= ReplaceAfter
}

// replaceUnresponsive gives the place of a voter that was not heard for long to a standby.
func (g *Group) replaceUnresponsive(ctx *kernel.Context) *memberChange {
	for _, voter := range g.committed.Voters {
		if !g.isUnresponsive(ctx, voter.ID) {
			continue
		}
		if standby, ok := leastUsedZone(g.candidates(ctx), g.committed.Voters, voter.ID); ok {
			return g.substitute(reasonUnresponsive, voter.ID, standby)
		}
	}
	return nil
}

// addVoters adds two voters to a group that has fewer than it should; with one it would bear no more.
func (g *Group) addVoters(ctx *kernel.Context) *memberChange {
	if len(g.committed.Voters)+2 > g.host.wantedVoters() || ctx.Now-g.leaderSince < RebalanceAfter {
		return nil
	}
	change := &memberChange{reason: reasonTooFew, voters: slices.Clone(g.committed.Voters)}
	candidates := g.candidates(ctx)
	for range 2 {
		standby, ok := leastUsedZone(candidates, change.voters, "")
		if !ok {
			return nil
		}
		change.voters = append(change.voters, standby)
		change.learners = append(change.learners, standby)
	}
	return change
}

// rebalance moves a voter out of a zone that has two more of them than another one with a
// standby: the loss of one zone must not take a majority.
func (g *Group) rebalance(ctx *kernel.Context) *memberChange {
	voters := g.committed.Voters
	crowded := slices.ContainsFunc(voters, func(r wire.Replica) bool { return countInZone(voters, r.Zone, "") > 1 })
	if !crowded || ctx.Now-g.leaderSince < RebalanceAfter {
		return nil
	}
	candidates := g.candidates(ctx)
	for _, voter := range voters {
		standby, ok := leastUsedZone(candidates, voters, voter.ID)
		if ok && voter.ID != g.self() && countInZone(voters, voter.Zone, voter.ID) > countInZone(voters, standby.Zone, voter.ID) {
			return g.substitute(reasonCrowdedZone, voter.ID, standby)
		}
	}
	return nil
}
