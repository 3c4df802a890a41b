package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A change of a group's membership has three steps. First, a replica that is to join becomes a learner: it has no
// vote, and the leader sends it every version until it has synced the newest version. Second, the change is proposed
// as a joint version, which needs a majority of the old voters and a majority of the new voters. Third, the version
// that follows needs a majority of the new voters only. The next change may begin only after that version is
// committed.

const (
	// LearnerTimeout is how long a learner may take to sync the newest version, in addition to the time for
	// transferring it (transferTime).
	LearnerTimeout = 1500 * clock.Millisecond
	// LearnerResendInterval is the time after which the newest version is sent again to a learner that lacks it.
	LearnerResendInterval = 200 * clock.Millisecond
	// LearnerRetryAfter is how long a replica that failed as a learner is not chosen again.
	LearnerRetryAfter = 2 * clock.Second
	// LearnerEditPause is how long edits are delayed, once per change, for a learner that has synced an earlier
	// version. Otherwise a steady stream of edits could keep it one version behind forever.
	LearnerEditPause = 200 * clock.Millisecond
)

// changeReason is the reason for a membership change, as it is logged and shown to operators.
type changeReason string

const (
	reasonDiskLost     changeReason = "disk_lost"
	reasonLeaving      changeReason = "leaving"
	reasonUnresponsive changeReason = "silent"
	reasonTooFew       changeReason = "too_few_voters"
	reasonCrowdedZone  changeReason = "crowded_zone"
)

// Causes for abandoning a change, as logged.
const (
	causeNotDue         = "no longer due"
	causeLearnerSlow    = "learner too slow"
	causeLearnerRefused = "learner refused: "
)

// changeCounters maps reasons to the names of their counters; not every reason has a counter.
var changeCounters = map[changeReason]string{
	reasonUnresponsive: "part_seats_replaced", reasonCrowdedZone: "part_seats_spread", reasonLeaving: "part_voters_left",
}

// memberChange is a change whose learners are catching up.
type memberChange struct {
	reason changeReason
	// removed is the voter that is replaced; empty if the change only adds voters.
	removed string
	// voters are the voters after the change; learners are the ones among them that are not voters yet.
	voters, learners []wire.Replica
	// synced is the newest version that each learner has acknowledged.
	synced map[string]wire.Version
	// begunAt is when the change began; sentAt is when a version was last sent to the learners.
	begunAt, sentAt clock.Micros
	// editsPausedUntil is when the pause of edits ends; 0 if it has not begun.
	editsPausedUntil clock.Micros
}

// caughtUp reports whether every learner has synced the given version.
func (c *memberChange) caughtUp(newest wire.Version) bool {
	return !slices.ContainsFunc(c.learners, func(r wire.Replica) bool { return c.synced[r.ID] != newest })
}

// allResponded reports whether every learner has acknowledged some version.
func (c *memberChange) allResponded() bool { return len(c.synced) == len(c.learners) }

// nextMembers returns the voters of the next version, and whether a version must be proposed for them even without
// any edit. That is the case when a joint version needs its final version, or when the learners of a change have
// caught up.
func (g *Group) nextMembers(ctx *kernel.Context) ([]wire.Replica, bool) {
	if isJoint(g.committed) {
		return g.committed.Voters, true
	}
	g.reviewChange(ctx)
	if g.change == nil {
		g.beginChange(ctx)
	}
	change := g.change
	if change == nil {
		return g.committed.Voters, false
	}
	if !change.caughtUp(g.committed.Version) {
		if ctx.Now-change.sentAt >= g.learnerResendInterval() {
			g.sendToLearners(ctx, g.committed)
		}
		return g.committed.Voters, false
	}
	g.change = nil
	for _, learner := range change.learners {
		g.heardAt[learner.ID] = ctx.Now
	}
	ctx.Counts.Add("part_seats_changed", 1)
	if counter := changeCounters[change.reason]; counter != "" {
		ctx.Counts.Add(counter, 1)
	}
	return change.voters, true
}

// beginChange begins the first change that is due, if any, and starts sending versions to its learners.
func (g *Group) beginChange(ctx *kernel.Context) {
	plans := []func(*kernel.Context) *memberChange{g.replaceLostDisk, g.replaceLeaving, g.replaceUnresponsive, g.addVoters, g.rebalance}
	for _, plan := range plans {
		if change := plan(ctx); change != nil {
			change.synced, change.begunAt = map[string]wire.Version{}, ctx.Now
			g.change = change
			ctx.Log(kernel.LevelInfo, "membership_change_begun", "partition", g.partition, "reason", string(change.reason), "removed", change.removed,
				"learners", replicaIDs(change.learners))
			g.sendToLearners(ctx, g.committed)
			return
		}
	}
}

// reviewChange abandons a change whose reason no longer applies or whose learners are too slow.
func (g *Group) reviewChange(ctx *kernel.Context) {
	change := g.change
	switch {
	case change == nil:
	case !g.isStillDue(ctx, change):
		g.abandonChange(ctx, causeNotDue)
	case !change.caughtUp(g.committed.Version) && ctx.Now-change.begunAt > LearnerTimeout+transferTime(versionSize(g.committed)):
		for _, learner := range change.learners {
			if change.synced[learner.ID] != g.committed.Version {
				g.learnerFailedAt[learner.ID] = ctx.Now
			}
		}
		g.abandonChange(ctx, causeLearnerSlow)
	}
}

// isStillDue reports whether the reason for a change still applies.
func (g *Group) isStillDue(ctx *kernel.Context, change *memberChange) bool {
	switch change.reason {
	case reasonDiskLost:
		return g.successors[change.removed].ID == change.learners[0].ID
	case reasonLeaving:
		return g.isLeaving(ctx, change.removed)
	case reasonUnresponsive:
		return g.isUnresponsive(ctx, change.removed)
	}
	return true
}

// abandonChange abandons the change under way. The change was never proposed, so nothing needs to be undone.
func (g *Group) abandonChange(ctx *kernel.Context, cause string) {
	ctx.Log(kernel.LevelWarn, "membership_change_abandoned", "partition", g.partition, "reason", string(g.change.reason), "learners", replicaIDs(g.change.learners), "cause", cause)
	ctx.Counts.Add("part_changes_abandoned", 1)
	g.change = nil
}

// sendToLearners sends a version to the learners that have not synced it.
func (g *Group) sendToLearners(ctx *kernel.Context, v wire.Versioned) {
	if g.change == nil {
		return
	}
	g.change.sentAt = ctx.Now
	for _, learner := range g.change.learners {
		if g.change.synced[learner.ID] != v.Version {
			g.sendVersion(ctx, learner, v)
		}
	}
}

// learnerResendInterval returns the time after which the newest version is sent again to a learner. It is longer for
// a large version, whose transfer takes longer than the usual interval.
func (g *Group) learnerResendInterval() clock.Micros {
	if size := versionSize(g.committed); isLarge(size) {
		return resendInterval(size)
	}
	return LearnerResendInterval
}

// handleLearnerReply records the version that a learner has synced. If the learner refused a version, it abandons the
// membership change.
func (g *Group) handleLearnerReply(ctx *kernel.Context, reply wire.AcceptReply) {
	change := g.change
	if change == nil || !contains(change.learners, reply.From) {
		return
	}
	if !reply.OK {
		g.learnerFailedAt[reply.From] = ctx.Now
		g.abandonChange(ctx, causeLearnerRefused+reply.Err)
		return
	}
	if mesh.Newer(reply.Version, change.synced[reply.From]) {
		change.synced[reply.From] = reply.Version
	}
	if g.proposal == nil && change.caughtUp(g.committed.Version) {
		g.proposeNext(ctx)
	}
}

// awaitsLearners reports whether edits should wait until the learners have synced the newest version.
func (g *Group) awaitsLearners(ctx *kernel.Context) bool {
	change := g.change
	if change == nil || !change.allResponded() || change.caughtUp(g.committed.Version) {
		return false
	}
	if change.editsPausedUntil == 0 {
		change.editsPausedUntil = ctx.Now + LearnerEditPause
	}
	return ctx.Now < change.editsPausedUntil
}

// endChange logs that a change is complete and sends its final version to the voters that it removed. Otherwise they
// would continue to act as voters of a group that no longer includes them.
func (g *Group) endChange(ctx *kernel.Context, before, now wire.Versioned) {
	if before.Version.Term == 0 || isJoint(now) || !isJoint(before) && sameMembers(before.Voters, now.Voters) {
		return
	}
	ctx.Log(kernel.LevelInfo, "membership_change_ended", "partition", g.partition, "term", now.Version.Term, "seq", now.Version.Seq, "voters", replicaIDs(now.Voters))
	for _, voter := range allVoters(before) {
		if !contains(now.Voters, voter.ID) {
			g.sendVersion(ctx, voter, now)
		}
	}
}
