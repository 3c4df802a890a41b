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
func (g *Group) handleEdit(t *kernel.Context, ch, id uint64, e wire.Edit) {
	if g.role != leader || g.transferring {
		g.answer(t, ch, id, wire.EditReply{Code: "not_owner", Addr: g.leaderAddress})
		return
	}
	if len(g.queue)+len(g.unconfirmed) >= MaxQueued || g.queuedBytes()+len(e.Body) > MaxQueuedBytes {
		g.answer(t, ch, id, wire.EditReply{Code: "shed"})
		return
	}
	w := pendingEdit{conn: ch, id: id, edit: e}
	if !state.Reads(e.Op) {
		g.queue = append(g.queue, w)
		g.proposeNext(t)
		return
	}
	if !g.ready {
		g.answer(t, ch, id, wire.EditReply{Code: "not_owner"})
		return
	}
	g.awaitConfirmation(t, w)
}

// awaitConfirmation has a majority confirm this leader before a read or a refusal is answered.
func (g *Group) awaitConfirmation(t *kernel.Context, w ...pendingEdit) {
	for _, v := range w {
		v.round = g.round + 1
		g.unconfirmed = append(g.unconfirmed, v)
	}
	g.sendHeartbeats(t)
	g.confirm(t)
}

// proposeNext batches the queue into one version, each edit judged in turn against the outcome of
// those before it; what is refused or repeated is answered with the version that it rests on.
func (g *Group) proposeNext(t *kernel.Context) {
	if g.role != leader || !g.ready || g.proposal != nil || g.transferring {
		return
	}
	value := state.Value{Body: g.committed.Body, Ledger: g.committed.Ledger}
	stamp := wire.Version{Partition: g.partition, Term: g.term, Seq: g.committed.Version.Seq + 1}
	seats, changed := g.nextMembers(t)
	if g.awaitsLearners(t) {
		return
	}
	batch := g.queue
	g.queue = nil
	for i := range batch {
		w := &batch[i]
		var after state.Value
		after, w.reply, w.taken = g.host.judge(g.partition)(value, stamp, &w.edit)
		g.refuseTooLarge(t, w, value, after)
		switch {
		case w.taken:
			value, changed = after, true
		case w.reply.Version == (wire.Version{}):
			w.reply.Version = g.committed.Version
		}
	}
	if len(batch) == 0 && !changed && t.Now-g.clockAt < ClockInterval {
		return
	}
	g.clockAt = t.Now
	if wall, known := g.agreedTime(t); known {
		if after, due := g.host.clockwork(g.partition)(value.Body, stamp, wall, g.leaseHolders(t)); due && len(after) <= state.MaxBody(g.partition)+state.ClockRoom {
			value.Body, changed = after, true
		}
	} else {
		t.Counts.Add("part_clocks_disagree", 1)
	}
	switch {
	case changed:
		g.proposedEdits = batch
		t.Counts.Add("part_versions", 1)
		g.propose(t, wire.Versioned{Version: stamp, Voters: seats, PreviousVoters: g.committed.Voters, Body: value.Body, Ledger: value.Ledger}, g.baseOf(value))
	case len(batch) > 0:
		g.awaitConfirmation(t, batch...)
	}
}

// confirm answers reads and refusals that a majority confirmed this leader for, after they came.
func (g *Group) confirm(t *kernel.Context) {
	var left []pendingEdit
	for _, w := range g.unconfirmed {
		if !quorum(g.committed, func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= w.round }) {
			left = append(left, w)
			continue
		}
		if state.Reads(w.edit.Op) {
			w.reply = state.Answer(g.committed, &w.edit)
			w.reply.Addr = g.leaderAddress
		}
		g.answer(t, w.conn, w.id, w.reply)
	}
	g.unconfirmed = left
}
