// Changes of a group's membership. A replica that is to join is a learner
// first: it is sent every version, and has no vote, until it has synced the
// newest one. Only then is the change proposed, as a joint version that needs a
// majority of the voters before and of the voters after it; the version that
// follows needs the voters after it alone, and only then the next change begins.

package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of membership changes.
const (
	// LearnerTimeout is how long a learner has to sync the newest version before it is given up.
	LearnerTimeout = 1_500_000
	// LearnerResendInterval is how often a learner that lacks the newest version is sent it again.
	LearnerResendInterval = 200_000
	// LearnerRetryAfter is how long a learner that was given up is not chosen again.
	LearnerRetryAfter = 2_000_000
	// LearnerEditPause is how long edits wait, once for each change, for a learner that has synced an
	// earlier version: otherwise steady edits could keep it one version behind for ever.
	LearnerEditPause = 200_000
)

// changeReason says why the voters of a group change.
type changeReason string

const (
	reasonDiskLost     changeReason = "disk_lost"
	reasonLeaving      changeReason = "leaving"
	reasonUnresponsive changeReason = "silent"
	reasonTooFew       changeReason = "too_few_voters"
	reasonCrowdedZone  changeReason = "crowded_zone"
)

// changeCounters names the counter of each reason that has one.
var changeCounters = map[changeReason]string{
	reasonUnresponsive: "part_seats_replaced", reasonCrowdedZone: "part_seats_spread", reasonLeaving: "part_voters_left",
}

// memberChange is a change whose learners are catching up.
type memberChange struct {
	reason changeReason
	// removed is the voter that gives up its place, if one does.
	removed string
	// voters are those after the change; learners are those of them that are new.
	voters, learners []wire.Replica
	// synced is the newest version that each learner said it has synced.
	synced                            map[string]wire.Version
	begunAt, sentAt, editsPausedUntil int64
}

// caughtUp reports whether every learner has synced a version.
func (c *memberChange) caughtUp(newest wire.Version) bool {
	return !slices.ContainsFunc(c.learners, func(r wire.Replica) bool { return c.synced[r.ID] != newest })
}

// allResponded reports whether every learner has synced some version.
func (c *memberChange) allResponded() bool { return len(c.synced) == len(c.learners) }

// isJoint reports whether a version needs the voters before a change as well as those after it.
func isJoint(v wire.Versioned) bool {
	return len(v.PreviousVoters) > 0 && !sameMembers(v.PreviousVoters, v.Voters)
}

func sameMembers(a, b []wire.Replica) bool {
	return slices.EqualFunc(a, b, func(a, b wire.Replica) bool { return a.ID == b.ID })
}

// nextMembers gives the voters of the next version, and whether they alone are a reason to propose one.
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

// beginChange looks for a change that is due and has its learners catch up.
func (g *Group) beginChange(ctx *kernel.Context) {
	plans := []func(*kernel.Context) *memberChange{g.replaceLostDisk, g.replaceLeaving, g.replaceUnresponsive, g.addVoters, g.rebalance}
	for _, plan := range plans {
		if change := plan(ctx); change != nil {
			change.synced, change.begunAt = map[string]wire.Version{}, ctx.Now
			g.change = change
			ctx.Log(kernel.LevelInfo, "membership_change_begun", "part", g.partition, "reason", string(change.reason), "removed", change.removed,
				"learners", replicaIDs(change.learners))
			g.sendToLearners(ctx, g.committed)
			return
		}
	}
}

// reviewChange gives a change up whose reason is gone or whose learners are too slow.
func (g *Group) reviewChange(ctx *kernel.Context) {
	change := g.change
	switch {
	case change == nil:
	case !g.isStillDue(ctx, change):
		g.abandonChange(ctx, "no longer due")
	case !change.caughtUp(g.committed.Version) && ctx.Now-change.begunAt > LearnerTimeout+transferTime(versionSize(g.committed)):
		for _, learner := range change.learners {
			if change.synced[learner.ID] != g.committed.Version {
				g.learnerFailedAt[learner.ID] = ctx.Now
			}
		}
		g.abandonChange(ctx, "learner too slow")
	}
}

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

func (g *Group) abandonChange(ctx *kernel.Context, why string) {
	ctx.Log(kernel.LevelWarn, "membership_change_abandoned", "part", g.partition, "reason", string(g.change.reason), "learners", replicaIDs(g.change.learners), "why", why)
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

// learnerResendInterval is how often a learner is sent the newest version again: a large one is
// still on its way after the usual time.
func (g *Group) learnerResendInterval() int64 {
	if size := versionSize(g.committed); isLarge(size) {
		return resendInterval(size)
	}
	return LearnerResendInterval
}

// handleLearnerReply takes note of what a learner has synced, or that it will not.
func (g *Group) handleLearnerReply(ctx *kernel.Context, r wire.AcceptReply) {
	change := g.change
	if change == nil || !contains(change.learners, r.From) {
		return
	}
	if !r.OK {
		g.learnerFailedAt[r.From] = ctx.Now
		g.abandonChange(ctx, "learner refused: "+r.Err)
		return
	}
	if mesh.Newer(r.Version, change.synced[r.From]) {
		change.synced[r.From] = r.Version
	}
	if g.proposal == nil && change.caughtUp(g.committed.Version) {
		g.proposeNext(ctx)
	}
}

// awaitsLearners holds edits back for a moment while the learners sync the newest version.
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

// endChange logs that a change is in force and tells those that it removed, who would
// otherwise go on as voters of a group that does without them.
func (g *Group) endChange(ctx *kernel.Context, before, now wire.Versioned) {
	if before.Version.Term == 0 || isJoint(now) || !isJoint(before) && sameMembers(before.Voters, now.Voters) {
		return
	}
	ctx.Log(kernel.LevelInfo, "membership_change_ended", "part", g.partition, "term", now.Version.Term, "seq", now.Version.Seq, "voters", replicaIDs(now.Voters))
	for _, voter := range allVoters(before) {
		if !contains(now.Voters, voter.ID) {
			g.sendVersion(ctx, voter, now)
		}
	}
}

func replicaIDs(replicas []wire.Replica) []string {
	ids := make([]string, 0, len(replicas))
	for _, r := range replicas {
		ids = append(ids, r.ID)
	}
	return ids
}
