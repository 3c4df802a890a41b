// Bringing the newest version to a replica that lacks it, and how long large
// versions may take on their way.

package replica

import (
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of versions on their way; times in microseconds, sizes in bytes.
const (
	// LargeResendInterval is how often a large version is sent again. The transport sends lost pieces
	// again by itself; what it still has under way it does not take twice.
	LargeResendInterval = 2_000_000
	// ProposalTimeout is how long a version may be under way, and SlowestTransfer, in bytes a
	// second, what it may take beyond that by its size.
	ProposalTimeout = 10_000_000
	SlowestTransfer = 100_000
	// MaxQueuedBytes bounds the orders that wait for the next version.
	MaxQueuedBytes = 8 << 20
	// LargeResendToPullerAfter is how long a large version counts as on its way to a node that pulled it.
	LargeResendToPullerAfter = 4_000_000
	maxTrackedConns          = 256
)

// isLarge reports whether a body travels in pieces.
func isLarge(size int) bool { return size > wire.MaxSingleFrame }

// versionSize is the size of a version without its envelope.
func versionSize(v wire.Versioned) int { return len(v.Body) + len(v.EditLog) }

// transferTime is how long a version may be on its way for its size.
func transferTime(size int) int64 { return int64(size) * 1_000_000 / SlowestTransfer }

// resendInterval is how often a version that was not acknowledged is sent again.
func resendInterval(size int) int64 {
	if isLarge(size) {
		return LargeResendInterval
	}
	return 2 * HeartbeatInterval
}

// proposalIsOverdue tells that the version under way was not taken by a majority in time. Whoever
// leads next finds it at some replica, or not; this leader can do no more for it.
func (g *Group) proposalIsOverdue(now int64) bool {
	if g.proposal == nil {
		return false
	}
	return now-g.proposedAt > ProposalTimeout+transferTime(versionSize(*g.proposal))
}

// queuedBytes is the size of the orders that wait for the next version.
func (g *Group) queuedBytes() (n int) {
	for _, w := range g.queue {
		n += len(w.edit.Body)
	}
	return n
}

// rejectTooLarge turns an order down whose outcome is larger than the product takes.
func (g *Group) rejectTooLarge(ctx *kernel.Context, w *pendingEdit, before, after state.Value) {
	if !w.applied {
		return
	}
	if reply, tooLarge := state.TooLarge(g.partition, before, after); tooLarge {
		w.reply, w.applied = reply, false
		ctx.Counts.Add("orders_too_large", 1)
	}
}

// catchUp sends the newest committed version to a replica whose heartbeat reply shows that it
// lacks it. While another version is under way to it, a large one is not sent as well.
func (g *Group) catchUp(ctx *kernel.Context, r wire.LeaderHeartbeatReply) {
	size := versionSize(g.committed)
	underWay := g.proposal != nil && (r.Stored == g.proposal.Version || isLarge(size))
	if !g.ready || underWay || !mesh.Newer(g.committed.Version, r.Stored) {
		return
	}
	interval := int64(CatchUpInterval)
	if isLarge(size) {
		interval = LargeResendInterval
	}
	if at := g.caughtUpAt[r.From]; at != 0 && ctx.Now-at < interval {
		return
	}
	for _, voter := range allVoters(g.committed) {
		if voter.ID != r.From {
			continue
		}
		g.caughtUpAt[r.From] = ctx.Now
		ctx.Counts.Add("part_handed_over", 1)
		ctx.Counts.Add("snapshot_bytes_sent", int64(size))
		ctx.Log(kernel.LevelInfo, "snapshot_sent", "part", g.partition, "to", r.From, "had_term", r.Stored.Term, "had_seq", r.Stored.Seq,
			"term", g.committed.Version.Term, "seq", g.committed.Version.Seq, "bytes", size)
		g.sendVersion(ctx, voter, g.committed)
	}
}

// sentVersions are the large versions that were sent to a node, by partition.
type sentVersions map[int]sentVersion

type sentVersion struct {
	version wire.Version
	sentAt  int64
}

// limitPull takes large versions out of a reply that are on their way to the node already, and
// those that do not fit into one message: the next pull brings them.
func (h *Host) limitPull(now int64, conn uint64, reply *wire.PullReply) {
	capacity := wire.MaxMessage - wire.MaxSingleFrame
	versions := reply.Versions
	reply.Versions = nil
	for _, v := range versions {
		if capacity < len(v.Body) || isLarge(len(v.Body)) && !h.maySendLarge(now, conn, v.Version) {
			// The asker does not have all that was acknowledged before the contact.
			withheld := uint32(1) << v.Version.Partition
			reply.Partial, reply.ContactMask, reply.RelayedMask = true, reply.ContactMask&^withheld, reply.RelayedMask&^withheld
			continue
		}
		capacity -= len(v.Body)
		reply.Versions = append(reply.Versions, v)
	}
}

// maySendLarge reports whether a large version is not on its way on a connection, and notes that it is now.
func (h *Host) maySendLarge(now int64, conn uint64, version wire.Version) bool {
	if len(h.largeSent) >= maxTrackedConns || h.largeSent == nil {
		h.largeSent = map[uint64]sentVersions{}
	}
	sent := h.largeSent[conn]
	if sent == nil {
		sent = sentVersions{}
		h.largeSent[conn] = sent
	}
	if last := sent[version.Partition]; last.version == version && now-last.sentAt < LargeResendToPullerAfter {
		return false
	}
	sent[version.Partition] = sentVersion{version, now}
	return true
}
