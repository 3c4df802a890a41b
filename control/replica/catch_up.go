package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// CatchUpInterval is the minimum time between two transmissions of the newest committed version to a voter that
	// lacks it.
	CatchUpInterval = 600 * clock.Millisecond
	// LargeResendInterval is the time after which a large version is sent again. The transport retransmits lost chunks
	// by itself, and does not accept a second copy of a message that is still in transit.
	LargeResendInterval = 2 * clock.Second
	// SlowestTransfer is the lowest expected transfer rate of a version, in bytes per second.
	SlowestTransfer = 100_000
)

// isLarge reports whether a body of this size, in bytes, is transferred in chunks.
func isLarge(size int) bool { return size > wire.MaxSingleFrame }

// versionSize returns the size of a version in bytes, without its envelope.
func versionSize(v wire.Versioned) int { return len(v.Body) + len(v.EditLog) }

// transferTime returns the time allowed for the transfer of a version of this size, in bytes, at SlowestTransfer.
func transferTime(size int) clock.Micros { return int64(size) * clock.Second / SlowestTransfer }

// resendInterval returns the time after which an unacknowledged version of this size is sent again.
func resendInterval(size int) clock.Micros {
	if isLarge(size) {
		return LargeResendInterval
	}
	return 2 * HeartbeatInterval
}

// catchUp sends the newest committed version to a voter whose heartbeat reply shows an older version. A large
// committed version is not sent while a proposal is in flight, since the proposal supersedes it.
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
