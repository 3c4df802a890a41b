package replica

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// The reasons to change a group's membership, in the order in which they are checked: a voter has lost its disk, is
// leaving, or does not respond; the group has too few voters; or the voters could be spread better over the zones.

// ReplaceAfter is how long a voter must be unresponsive before a standby replaces it.
const ReplaceAfter = 2 * clock.Second

// substitute returns the change that replaces a voter by a learner.
func (g *Group) substitute(reason changeReason, removed string, learner wire.Replica) *memberChange {
	voters := slices.Clone(g.committed.Voters)
	for i := range voters {
		if voters[i].ID == removed {
			voters[i] = learner
		}
	}
	return &memberChange{reason: reason, removed: removed, voters: voters, learners: []wire.Replica{learner}}
}

// learnerCandidates returns the standbys that may become learners now.
func (g *Group) learnerCandidates(ctx *kernel.Context) []wire.Replica {
	return slices.DeleteFunc(g.host.standbys(ctx.Now), func(r wire.Replica) bool { return !g.canLearn(ctx, r.ID) })
}

// canLearn reports whether a replica may become a learner: it is not leaving, and has not failed as a learner within
// LearnerRetryAfter.
func (g *Group) canLearn(ctx *kernel.Context, id string) bool {
	failedAt, failed := g.learnerFailedAt[id]
	return !g.isLeaving(ctx, id) && !(failed && ctx.Now-failedAt < LearnerRetryAfter)
}

// replaceLostDisk returns the change that replaces a voter whose disk is lost by the replica that now runs at the
// voter's address; nil if there is no such voter.
func (g *Group) replaceLostDisk(ctx *kernel.Context) *memberChange {
	for _, voter := range g.committed.Voters {
		successor, ok := g.successors[voter.ID]
		if ok && !contains(g.committed.Voters, successor.ID) && g.canLearn(ctx, successor.ID) {
			return g.substitute(reasonDiskLost, voter.ID, wire.Replica{ID: successor.ID, Zone: successor.Zone, Addr: voter.Addr})
		}
	}
	return nil
}

// replaceLeaving returns the change that replaces a leaving voter by a standby; nil if there is none. If the group
// survives the loss of any one zone now, a replacement after which it would no longer do so is skipped.
func (g *Group) replaceLeaving(ctx *kernel.Context) *memberChange {
	zones := g.host.kernel.Boot.Settings.Tolerance.Zones
	for _, voter := range g.committed.Voters {
		if voter.ID == g.self() || !g.isLeaving(ctx, voter.ID) {
			continue
		}
		standby, ok := leastUsedZone(g.learnerCandidates(ctx), g.committed.Voters, voter.ID)
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

// isUnresponsive reports whether nothing was received from a voter for ReplaceAfter.
func (g *Group) isUnresponsive(ctx *kernel.Context, id string) bool {
	return id != g.self() && ctx.Now-g.heardAt[id] >= ReplaceAfter
}

// replaceUnresponsive returns the change that replaces an unresponsive voter by a standby; nil if there is none.
func (g *Group) replaceUnresponsive(ctx *kernel.Context) *memberChange {
	for _, voter := range g.committed.Voters {
		if !g.isUnresponsive(ctx, voter.ID) {
			continue
		}
		if standby, ok := leastUsedZone(g.learnerCandidates(ctx), g.committed.Voters, voter.ID); ok {
			return g.substitute(reasonUnresponsive, voter.ID, standby)
		}
	}
	return nil
}

// addVoters returns the change that adds two voters to a group that has too few; nil if the group has enough or there
// are not two standbys. A single additional voter would make the number of voters even and tolerate no more failures.
func (g *Group) addVoters(ctx *kernel.Context) *memberChange {
	if len(g.committed.Voters)+2 > g.host.wantedVoters() || ctx.Now-g.leaderSince < RebalanceAfter {
		return nil
	}
	change := &memberChange{reason: reasonTooFew, voters: slices.Clone(g.committed.Voters)}
	candidates := g.learnerCandidates(ctx)
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

// rebalance returns the change that replaces a voter by a standby in another zone, if the voter's zone has at least
// two voters more than the standby's zone; otherwise nil. Such changes spread the voters, so that a majority survives
// the loss of one zone.
func (g *Group) rebalance(ctx *kernel.Context) *memberChange {
	voters := g.committed.Voters
	crowded := slices.ContainsFunc(voters, func(r wire.Replica) bool { return countInZone(voters, r.Zone, "") > 1 })
	if !crowded || ctx.Now-g.leaderSince < RebalanceAfter {
		return nil
	}
	candidates := g.learnerCandidates(ctx)
	for _, voter := range voters {
		standby, ok := leastUsedZone(candidates, voters, voter.ID)
		if ok && voter.ID != g.self() && countInZone(voters, voter.Zone, voter.ID) > countInZone(voters, standby.Zone, voter.ID) {
			return g.substitute(reasonCrowdedZone, voter.ID, standby)
		}
	}
	return nil
}
