package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// CatchUpInterval is how often a voter that lacks the newest committed version is sent it.
	CatchUpInterval = 600 * clock.Millisecond
	// LargeResendInterval is how often a large version is sent again. The transport repeats lost pieces by
	// itself, and does not take a second time what it still has under way.
	LargeResendInterval = 2 * clock.Second
	// SlowestTransfer is the rate, in bytes a second, at which a version is expected to travel at least.
	SlowestTransfer = 100_000
)

// isLarge reports whether a body of so many bytes travels in pieces.
func isLarge(size int) bool { return size > wire.MaxSingleFrame }

// versionSize is the size of a version in bytes, without its envelope.
func versionSize(v wire.Versioned) int { return len(v.Body) + len(v.EditLog) }

// transferTime is how long a version may be on its way for its size.
func transferTime(size int) clock.Micros { return int64(size) * clock.Second / SlowestTransfer }

// resendInterval is how often a version that was not acknowledged is sent again.
func resendInterval(size int) clock.Micros {
	if isLarge(size) {
		return LargeResendInterval
	}
	return 2 * HeartbeatInterval
}

// catchUp sends the newest committed version to a voter whose heartbeat reply shows that it lacks it. While
// the proposal is under way to the voter, a large version isn't sent as well.
func (g *Group) catchUp(ctx *kernel.Context, reply wire.LeaderHeartbeatReply) {
	size := versionSize(g.committed)
	underWay := g.proposal != nil && (reply.Stored == g.proposal.Version || isLarge(size))
	if !g.ready || underWay || !mesh.Newer(g.committed.Version, reply.Stored) {
		return
	}
	interval := CatchUpInterval
	if isLarge(size) {
		interval = LargeResendInterval
	}
	if at := g.caughtUpAt[reply.From]; at != 0 && ctx.Now-at < interval {
		return
	}
	for _, voter := range allVoters(g.committed) {
		if voter.ID != reply.From {
			continue
		}
		g.caughtUpAt[reply.From] = ctx.Now
		ctx.Counts.Add("part_handed_over", 1)
		ctx.Counts.Add("snapshot_bytes_sent", int64(size))
		ctx.Log(kernel.LevelInfo, "snapshot_sent", "partition", g.partition, "to", reply.From, "had_term", reply.Stored.Term, "had_seq", reply.Stored.Seq,
			"term", g.committed.Version.Term, "seq", g.committed.Version.Seq, "bytes", size)
		g.sendVersion(ctx, voter, g.committed)
	}
}
