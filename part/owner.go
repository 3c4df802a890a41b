// The owner's side of a part: win, re-commit what was found, batch edits into
// one version at a time, beat, step down when a majority no longer answers.
package part

import (
	"wallport/kernel"
	"wallport/mesh"
	"wallport/wire"
)

func (g *Group) win(t *kernel.Turn, best wire.Stamped) {
	g.role, g.owner, g.ownerAddr = owner, g.self(), g.s.k.Boot.Env.Mesh
	g.ready, g.yielding = false, g.s.stops
	g.roundAcks, g.walls = map[string]uint64{}, map[string]int64{}
	g.sick, g.instead, g.handed, g.steady = map[string]bool{}, map[string]wire.Seat{}, map[string]int64{}, map[string]int64{}
	g.beatAt, g.wonAt = 0, t.Now
	g.contact.leads()
	g.holds = map[string]*grant{}
	for _, s := range binds(best) {
		g.heard[s.ID] = t.Now
	}
	t.Note(0, "part_owner", "part", g.part, "term", g.term, "adopts_term", best.Stamp.Term, "adopts_seq", best.Stamp.Seq)
	t.Counts.Add("part_owned", 1)
	v := best
	v.Stamp = wire.Stamp{Part: g.part, Term: g.term, Seq: best.Stamp.Seq + 1}
	g.propose(t, v)
	g.ownerTick(t)
}

// retire ends ownership or candidature. What was in flight has an unknown outcome.
func (g *Group) retire(t *kernel.Turn, why string) {
	if g.role == owner {
		t.Note(1, "part_retired", "part", g.part, "term", g.term, "why", why)
		for _, w := range g.inFlight {
			g.answer(t, w.ch, w.id, wire.EditReply{Code: "unknown"})
		}
		for _, w := range append(g.backlog, g.reads...) {
			g.answer(t, w.ch, w.id, wire.EditReply{Code: "not_owner"})
		}
		g.owner, g.ownerAddr = "", ""
	}
	g.inFlight, g.backlog, g.reads, g.flight = nil, nil, nil, nil
	g.role = follower
	g.ready = false
	g.defer_(t)
}

func (g *Group) propose(t *kernel.Turn, v wire.Stamped) {
	g.flight, g.sentAt = &v, t.Now
	g.acks = map[string]bool{}
	g.resend(t)
}

func (g *Group) resend(t *kernel.Turn) {
	g.sentAt = t.Now
	a := wire.Accept{Part: g.part, Term: g.term, From: g.self(), Stamped: *g.flight}
	for _, s := range binds(*g.flight) {
		if g.acks[s.ID] {
			continue
		}
		if s.ID == g.self() {
			g.accept(t, 0, 0, a)
			continue
		}
		g.s.sendSeat(t, s, wire.KindAccept, &a)
	}
}

func (g *Group) acceptReply(t *kernel.Turn, r wire.AcceptReply) {
	if g.role != owner {
		return
	}
	if !r.OK {
		if r.Term > g.term {
			g.promised = max(g.promised, r.Term)
			g.retire(t, "fenced by a newer term")
		}
		return
	}
	g.heard[r.From] = t.Now
	if g.flight == nil || r.Stamp != g.flight.Stamp {
		return
	}
	g.acks[r.From] = true
	if !quorum(*g.flight, func(id string) bool { return g.acks[id] }) {
		return
	}
	v := *g.flight
	g.flight = nil
	done := g.inFlight
	g.inFlight = nil
	g.ready = true
	g.commit(t, v)
	for _, w := range done {
		if w.took {
			w.reply.Stamp = v.Stamp
		}
		g.answer(t, w.ch, w.id, w.reply)
	}
	g.beatNow(t)
	g.next(t)
}

// commit takes note that a version is committed.
func (g *Group) commit(t *kernel.Turn, v wire.Stamped) {
	if !mesh.Newer(v.Stamp, g.served.Stamp) {
		return
	}
	g.served = v
	t.Emit(Committed{Stamped: v})
}

func (g *Group) ownerTick(t *kernel.Turn) {
	g.noteContact(t)
	switch {
	case g.superseded(t, g.served2()):
		g.retire(t, "another group has committed a newer version")
		return
	case t.Now-max(g.wonAt, g.contact.confirmedAt) > StepDown:
		g.retire(t, "no majority answers")
		return
	case (g.s.sick != "" || g.yielding) && g.flight == nil && g.successor(t) != "":
		g.yield(t)
		return
	case t.Now-g.beatAt >= BeatEvery:
		g.beatNow(t)
	}
	if to := g.better(t); to != "" {
		g.yieldTo(t, to)
		return
	}
	if g.flight != nil && t.Now-g.sentAt > 2*BeatEvery {
		g.resend(t)
	}
	g.next(t)
}

// served2 is the version whose seats an owner must hear from.
func (g *Group) served2() wire.Stamped {
	if g.flight != nil {
		return *g.flight
	}
	return g.served
}

func (g *Group) beatNow(t *kernel.Turn) {
	g.beatAt = t.Now
	g.round++
	g.contact.sends(g.round, t.Now)
	g.confirmRounds()
	b := wire.Beat{Part: g.part, Term: g.term, From: g.self(), Round: g.round, Committed: g.served.Stamp}
	for _, s := range binds(g.served2()) {
		if s.ID != g.self() {
			b.ContactAt = g.contact.proofFor(s.ID)
			g.s.sendSeat(t, s, wire.KindBeat, &b)
		}
	}
}

// confirmRounds notes which rounds a majority has answered.
func (g *Group) confirmRounds() {
	g.contact.confirms(func(round uint64) bool {
		return quorum(g.served2(), func(id string) bool { return id == g.self() || g.roundAcks[id] >= round })
	})
}

func (g *Group) beatReply(t *kernel.Turn, ch uint64, r wire.BeatReply) {
	if g.role != owner {
		return
	}
	if r.Instead != "" {
		g.instead[r.From] = wire.Seat{ID: r.Instead, Zone: r.Zone}
		return
	}
	if !r.OK {
		if r.Term > g.term {
			g.promised = max(g.promised, r.Term)
			g.retire(t, "fenced by a newer term")
		}
		return
	}
	if r.Term != g.term {
		// It answers a heartbeat of an earlier term, held up on its way.
		return
	}
	if t.Now-g.heard[r.From] > StepDown || g.steady[r.From] == 0 {
		g.steady[r.From] = t.Now
	}
	g.heard[r.From], g.sick[r.From] = t.Now, r.Sick
	g.walls[r.From] = r.Wall - t.Now
	g.roundAcks[r.From] = max(g.roundAcks[r.From], r.Round)
	if r.Clock > 0 {
		g.contact.offsets[r.From] = r.Clock - t.Now
	}
	g.confirmRounds()
	if g.ready && mesh.Newer(g.served.Stamp, r.Held) && (g.flight == nil || r.Held != g.flight.Stamp) &&
		(g.handed[r.From] == 0 || t.Now-g.handed[r.From] >= HandOverEvery) {
		g.handed[r.From] = t.Now
		t.Counts.Add("part_handed_over", 1)
		t.Send(ch, wire.KindAccept, 0, &wire.Accept{To: r.From, Part: g.part, Term: g.term, From: g.self(), Stamped: g.served})
	}
	g.confirm(t)
}
