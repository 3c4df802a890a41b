// What a partition's leader runs over its body: the judge of its edits and the
// clockwork that changes it as time passes. The partitions themselves are state's.

package replica

import (
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Partitions is the number of partitions.
const Partitions = state.Partitions

func (h *Host) judge(partition int) state.ApplyFunc { return state.ApplyFuncOf(partition) }

func (h *Host) clockwork(partition int) state.TickFunc { return state.TickFuncOf(partition) }

// Leads reports whether this process owns a partition and may take its edits, for tests and metrics.
func (h *Host) Leads(partition int) bool {
	return h.groups[partition].role == leader && h.groups[partition].ready
}

// ReplicaID is the replica's id, made on its empty disk.
func (h *Host) ReplicaID() string { return h.replicaID }

// CommittedVersion is the newest version of a partition that is known to be committed here.
func (h *Host) CommittedVersion(partition int) wire.Version {
	return h.groups[partition].committed.Version
}

// VotersOf lists the replicas of a partition's newest committed version that is known here.
func (h *Host) VotersOf(partition int) []wire.Replica { return h.groups[partition].committed.Voters }

// Replied is emitted in the process of a leader that answered an edit of this same process.
type Replied struct {
	ID    uint64
	Reply wire.EditReply
}

// Edit takes an edit, or a confirmed read, of this same process; Replied follows.
func (h *Host) Edit(ctx *kernel.Context, id uint64, e wire.Edit) {
	if e.Partition < 0 || e.Partition >= Partitions || h.diskDamaged {
		ctx.Emit(Replied{ID: id, Reply: wire.EditReply{Code: "not_owner"}})
		return
	}
	h.groups[e.Partition].handleEdit(ctx, 0, id, e)
}

// Leader is the address of the core that leads a partition, where this replica has heard it of late.
func (h *Host) Leader(partition int, now int64) string {
	g := h.groups[partition]
	if g.role == leader || g.leader != "" && now-g.leaderSeen < StepDownAfter {
		return g.leaderAddress
	}
	return ""
}

// replyToEdit sends the reply to an edit where it came from; channel 0 is this process.
func (g *Group) replyToEdit(ctx *kernel.Context, conn, id uint64, r wire.EditReply) {
	if conn == 0 {
		ctx.Emit(Replied{ID: id, Reply: r})
		return
	}
	ctx.Send(conn, wire.KindEditReply, id, &r)
}
