package replica

import (
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// MaxQueued and MaxQueuedBytes limit the number and the total size of the edits that wait for the next proposal.
	MaxQueued      = 256
	MaxQueuedBytes = 8 << 20
	// ClockInterval is the time between two checks by a leader whether a scheduled update, such as the start of a
	// booking, is due.
	ClockInterval = 200 * clock.Millisecond
	// sameProcess is the connection id of requests that come from this same process.
	sameProcess = 0
)

// pendingEdit is an edit or a read that waits for its reply.
type pendingEdit struct {
	conn  uint64
	id    uint64
	edit  wire.Edit
	reply wire.EditReply
	// applied is set if the edit is part of the proposal in flight.
	applied bool
	// confirmRound is the heartbeat round that a majority must answer before a read or a rejection is answered.
	confirmRound uint64
}

// handleEdit handles an edit from an operator or from another plug-in, or a read that a majority must confirm.
func (g *Group) handleEdit(ctx *kernel.Context, conn, id uint64, edit wire.Edit) {
	if g.role != leader || g.transferring {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: wire.CodeNotLeader, Addr: g.leaderAddress})
		return
	}
	if len(g.queue)+len(g.unconfirmed) >= MaxQueued || g.queuedBytes()+len(edit.Body) > MaxQueuedBytes {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: wire.CodeOverloaded})
		return
	}
	pending := pendingEdit{conn: conn, id: id, edit: edit}
	if !state.IsRead(edit.Op) {
		g.queue = append(g.queue, pending)
		g.proposeNext(ctx)
		return
	}
	if !g.ready {
		g.replyToEdit(ctx, conn, id, wire.EditReply{Code: wire.CodeNotLeader})
		return
	}
	g.awaitConfirmation(ctx, pending)
}

// queuedBytes returns the total size of the edits that wait for the next proposal.
func (g *Group) queuedBytes() (n int) {
	for _, pending := range g.queue {
		n += len(pending.edit.Body)
	}
	return n
}

// proposeNext combines the queued edits, a change of the voters and the scheduled updates that are due into one
// proposal, unless a proposal is in flight. Replies to edits that are rejected or were applied before contain the
// version that the reply is based on. They are sent together with the replies to the other edits of the batch or, if
// nothing is proposed, once a majority has confirmed this leader.
func (g *Group) proposeNext(ctx *kernel.Context) {
	if g.role != leader || !g.ready || g.proposal != nil || g.transferring {
		return
	}
	next := wire.Version{Partition: g.partition, Term: g.term, Seq: g.committed.Version.Seq + 1}
	voters, votersChanged := g.nextMembers(ctx)
	if g.awaitsLearners(ctx) {
		return
	}
	batch := g.queue
	g.queue = nil
	value, edited := g.applyBatch(ctx, batch, next)
	changed := votersChanged || edited
	if len(batch) == 0 && !changed && ctx.Now-g.clockCheckedAt < ClockInterval {
		return
	}
	if body, due := g.applyClock(ctx, value.Body, next); due {
		value.Body, changed = body, true
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

// applyBatch applies a batch of edits to the committed value, each edit to the result of the edits before it, and
// stores each reply in the batch. changed reports whether any edit was applied.
func (g *Group) applyBatch(ctx *kernel.Context, batch []pendingEdit, next wire.Version) (value state.Value, changed bool) {
	value = state.Value{Body: g.committed.Body, EditLog: g.committed.EditLog}
	apply := state.ApplyFuncOf(g.partition)
	for i := range batch {
		edit := &batch[i]
		var after state.Value
		after, edit.reply, edit.applied = apply(value, next, &edit.edit)
		g.rejectTooLarge(ctx, edit, value, after)
		switch {
		case edit.applied:
			value, changed = after, true
		case edit.reply.Version == (wire.Version{}):
			edit.reply.Version = g.committed.Version
		}
	}
	return value, changed
}

// rejectTooLarge rejects an edit whose result exceeds the size limit of the partition.
func (g *Group) rejectTooLarge(ctx *kernel.Context, edit *pendingEdit, before, after state.Value) {
	if !edit.applied {
		return
	}
	if reply, tooLarge := state.TooLarge(g.partition, before, after); tooLarge {
		edit.reply, edit.applied = reply, false
		ctx.Counts.Add("orders_too_large", 1)
	}
}

// applyClock returns the body after applying the scheduled updates that are due at the agreed time of day. due is
// false if no update is due, if no majority agrees on the time, or if the body would become too large.
func (g *Group) applyClock(ctx *kernel.Context, body []byte, next wire.Version) (after []byte, due bool) {
	g.clockCheckedAt = ctx.Now
	wall, known := g.agreedTime(ctx)
	if !known {
		ctx.Counts.Add("part_clocks_disagree", 1)
		return nil, false
	}
	after, due = state.TickFuncOf(g.partition)(body, next, wall, g.leaseHolders(ctx))
	return after, due && len(after) <= state.MaxBody(g.partition)+state.TickAllowance
}

// awaitConfirmation starts a heartbeat round; the given reads and rejections are answered once a majority has answered
// that round.
func (g *Group) awaitConfirmation(ctx *kernel.Context, edits ...pendingEdit) {
	for _, pending := range edits {
		pending.confirmRound = g.heartbeatRound + 1
		g.unconfirmed = append(g.unconfirmed, pending)
	}
	g.sendHeartbeats(ctx)
	g.replyConfirmed(ctx)
}

// replyConfirmed answers the reads and rejections for which a majority has answered a heartbeat round that was sent
// after they arrived.
func (g *Group) replyConfirmed(ctx *kernel.Context) {
	var left []pendingEdit
	for _, pending := range g.unconfirmed {
		if !quorum(g.committed, func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= pending.confirmRound }) {
			left = append(left, pending)
			continue
		}
		if state.IsRead(pending.edit.Op) {
			pending.reply = state.AnswerRead(g.committed, &pending.edit)
			pending.reply.Addr = g.leaderAddress
		}
		g.replyToEdit(ctx, pending.conn, pending.id, pending.reply)
	}
	g.unconfirmed = left
}

// replyToEdit sends the reply to an edit back to where the edit came from.
func (g *Group) replyToEdit(ctx *kernel.Context, conn, id uint64, reply wire.EditReply) {
	if conn == sameProcess {
		ctx.Emit(Replied{ID: id, Reply: reply})
		return
	}
	ctx.Send(conn, wire.KindEditReply, id, &reply)
}
