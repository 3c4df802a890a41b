// The leader's answers: edits are batched into one version and judged in turn,
// and nothing is said that rests on what is not committed, or on a leadership
// that a majority has not confirmed since the question came.

package replica

import (
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// handleEdit takes an operator's or another plug-in's change, or a confirmed read.
func (g *Group) handleEdit(ctx *kernel.Context, conn, id uint64, e wire.Edit) {
	if g.role != leader || g.transferring {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: "not_owner", Addr: g.leaderAddress})
		return
	}
	if len(g.queue)+len(g.unconfirmed) >= MaxQueued || g.queuedBytes()+len(e.Body) > MaxQueuedBytes {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: "shed"})
		return
	}
	pending := pendingEdit{conn: conn, id: id, edit: e}
	if !state.IsRead(e.Op) {
		g.queue = append(g.queue, pending)
		g.proposeNext(ctx)
		return
	}
	if !g.ready {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: "not_owner"})
		return
	}
	g.awaitConfirmation(ctx, pending)
}

// awaitConfirmation has a majority confirm this leader before a read or a refusal is answered.
func (g *Group) awaitConfirmation(ctx *kernel.Context, w ...pendingEdit) {
	for _, v := range w {
		v.confirmRound = g.heartbeatRound + 1
		g.unconfirmed = append(g.unconfirmed, v)
	}
	g.sendHeartbeats(ctx)
	g.replyConfirmed(ctx)
}

// proposeNext batches the queue into one version, each edit judged in turn against the outcome of
// those before it; what is refused or repeated is answered with the version that it rests on.
func (g *Group) proposeNext(ctx *kernel.Context) {
	if g.role != leader || !g.ready || g.proposal != nil || g.transferring {
		return
	}
	value := state.Value{Body: g.committed.Body, EditLog: g.committed.EditLog}
	next := wire.Version{Partition: g.partition, Term: g.term, Seq: g.committed.Version.Seq + 1}
	voters, changed := g.nextMembers(ctx)
	if g.awaitsLearners(ctx) {
		return
	}
	batch := g.queue
	g.queue = nil
	for i := range batch {
		edit := &batch[i]
		var after state.Value
		after, edit.reply, edit.applied = g.host.judge(g.partition)(value, next, &edit.edit)
		g.rejectTooLarge(ctx, edit, value, after)
		switch {
		case edit.applied:
			value, changed = after, true
		case edit.reply.Version == (wire.Version{}):
			edit.reply.Version = g.committed.Version
		}
	}
	if len(batch) == 0 && !changed && ctx.Now-g.clockworkAt < ClockInterval {
		return
	}
	g.clockworkAt = ctx.Now
	if wall, known := g.agreedTime(ctx); known {
		if after, due := g.host.clockwork(g.partition)(value.Body, next, wall, g.leaseHolders(ctx)); due && len(after) <= state.MaxBody(g.partition)+state.TickAllowance {
			value.Body, changed = after, true
		}
	} else {
		ctx.Counts.Add("part_clocks_disagree", 1)
	}
	switch {
	case changed:
		g.proposedEdits = batch
		ctx.Counts.Add("part_versions", 1)
		g.propose(ctx, wire.Versioned{Version: next, Voters: voters, PreviousVoters: g.committed.Voters, Body: value.Body, EditLog: value.EditLog}, g.baseFor(value))
	case len(batch) > 0:
		g.awaitConfirmation(ctx, batch...)
	}
}

// replyConfirmed answers reads and refusals that a majority confirmed this leader for, after they came.
func (g *Group) replyConfirmed(ctx *kernel.Context) {
	var left []pendingEdit
	for _, w := range g.unconfirmed {
		if !quorum(g.committed, func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= w.confirmRound }) {
			left = append(left, w)
			continue
		}
		if state.IsRead(w.edit.Op) {
			w.reply = state.AnswerRead(g.committed, &w.edit)
			w.reply.Addr = g.leaderAddress
		}
		g.replyToEdit(ctx, w.conn, w.id, w.reply)
	}
	g.unconfirmed = left
}
