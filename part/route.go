// Routing of a core's inputs to its groups, and the answers to pulls.
package part

import (
	"github.com/tinylib/msgp/msgp"

	"wallport/kernel"
	"wallport/mesh"
	"wallport/pulls"
	"wallport/wire"
)

// Step takes one input.
func (s *Seats) Step(t *kernel.Turn, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		s.start(t)
	case kernel.Tick:
		s.tick(t)
	case kernel.Written:
		s.written(t, v)
	case kernel.Thawed:
		for _, g := range s.groups {
			g.thawed(t)
		}
	case kernel.Stopping:
		s.stops = true
		for _, g := range s.groups {
			g.stop(t)
		}
	case kernel.Message:
		s.message(t, v)
	case pulls.Pulled:
		s.pulledFrom(v)
	case Committed:
		s.mesh.AnnouncePart(t, v.Stamped)
		if v.Stamped.Stamp.Part == 0 {
			s.members.Update(func(m *wire.Member) { m.InForce = []wire.Stamp{v.Stamped.Stamp} })
		}
	}
}

func (s *Seats) tick(t *kernel.Turn) {
	t.After(TickEvery, "seats", "tick")
	s.checkDisk(t)
	if !s.formed {
		s.form(t)
		return
	}
	owned := int64(0)
	for _, g := range s.groups {
		g.tick(t)
		if g.role == owner {
			owned++
		}
	}
	t.Counts.Set("part_owned_now", owned)
}

// thawed: an owner that did not run for a while cannot know that it still is one.
func (g *Group) thawed(t *kernel.Turn) {
	if g.role != follower {
		g.retire(t, "did not run for a while")
	}
	g.defer_(t)
}

func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](t *kernel.Turn, v kernel.Message, f func(m T)) {
	var m T
	if wire.Decode(v.Body, P(&m)) != nil {
		t.Counts.Add("frames_malformed", 1)
		t.Drop(v.Chan)
		return
	}
	f(m)
}

func (s *Seats) message(t *kernel.Turn, v kernel.Message) {
	g := func(part int, f func(g *Group)) {
		if part >= 0 && part < len(s.groups) && !s.damaged {
			f(s.groups[part])
		}
	}
	// A machine whose disk was lost is another seat at the old one's address:
	// what is meant for the old one is not for it.
	to := func(id string, part int, f func(g *Group)) {
		if id != "" && id != s.seat {
			t.Counts.Add("part_misdirected", 1)
			s.instead(t, v, id, part)
			return
		}
		g(part, f)
	}
	switch v.Kind {
	case wire.KindVote:
		decode(t, v, func(m wire.Vote) { to(m.To, m.Part, func(g *Group) { g.vote(t, v.Chan, v.ID, m) }) })
	case wire.KindVoteReply:
		decode(t, v, func(m wire.VoteReply) { g(m.Part, func(g *Group) { g.voteReply(t, m) }) })
	case wire.KindAccept:
		decode(t, v, func(m wire.Accept) { to(m.To, m.Part, func(g *Group) { s.enter(t); g.accept(t, v.Chan, v.ID, m) }) })
	case wire.KindAcceptReply:
		decode(t, v, func(m wire.AcceptReply) { g(m.Part, func(g *Group) { g.acceptReply(t, m) }) })
	case wire.KindBeat:
		decode(t, v, func(m wire.Beat) { to(m.To, m.Part, func(g *Group) { g.beat(t, v.Chan, v.ID, m) }) })
	case wire.KindBeatReply:
		decode(t, v, func(m wire.BeatReply) { g(m.Part, func(g *Group) { g.beatReply(t, v.Chan, m) }) })
	case wire.KindForm:
		decode(t, v, func(m wire.Form) { s.formAsked(t, v.Chan, m) })
	case wire.KindFormReply:
		decode(t, v, func(m wire.FormReply) { s.formReply(t, m) })
	case wire.KindPull:
		decode(t, v, func(m wire.Pull) { s.pull(t, v.Chan, v.ID, m) })
	case wire.KindEdit:
		decode(t, v, func(m wire.Edit) { g(m.Part, func(g *Group) { g.edit(t, v.Chan, v.ID, m) }) })
	case wire.KindRebuild:
		decode(t, v, func(m wire.Rebuild) { g(m.Part, func(g *Group) { g.rebuild(t, v.Chan, v.ID, m) }) })
	case wire.KindHold:
		decode(t, v, func(m wire.Hold) { g(m.Part, func(g *Group) { g.hold(t, v.Chan, v.ID, m) }) })
	}
}

// instead tells an owner that beats a lost disk's seat who is at its address now, and could have its place.
func (s *Seats) instead(t *kernel.Turn, v kernel.Message, id string, part int) {
	if v.Kind != wire.KindBeat || part < 0 || part >= len(s.groups) || s.groups[part].seated() || s.seat == "" || s.sick != "" || s.stops {
		return
	}
	t.Send(v.Chan, wire.KindBeatReply, v.ID, &wire.BeatReply{Part: part, From: id, Instead: s.seat, Zone: s.k.Boot.Env.Zone})
}

// pull answers with every committed version newer than what the asker has.
func (s *Seats) pull(t *kernel.Turn, ch, id uint64, p wire.Pull) {
	var r wire.PullReply
	s.pulled(t, p)
	have := map[int]wire.Stamp{}
	for _, st := range p.Have {
		have[st.Part] = st
	}
	for _, g := range s.groups {
		v := g.served
		if m, ok := s.mesh.Part(g.part); ok && mesh.Newer(m.Stamp, v.Stamp) {
			// A core that has no seat here hands on what the mesh brought it.
			v = m
		}
		if g.inContact(t.Now, v.Stamp) {
			r.Contact |= 1 << uint(g.part)
		}
		if g.relayedAt > 0 && t.Now-g.relayedAt <= RelayedFor {
			r.Relayed |= 1 << uint(g.part)
		}
		if st, ok := have[g.part]; v.Stamp.Term > 0 && (!ok || mesh.Newer(v.Stamp, st)) {
			r.Stamped = append(r.Stamped, wire.Stamped{Stamp: v.Stamp, Body: v.Body})
		}
		if g.owner != "" && (g.role == owner && g.contact.within(t.Now, ContactFor) || g.role != owner && t.Now-g.ownerSeen < StepDown) {
			r.Owners = append(r.Owners, wire.Owner{Part: g.part, Term: g.promised, Seat: g.owner, Addr: g.s.addrOf(g.owner, t.Now)})
		}
	}
	t.Send(ch, wire.KindPullReply, id, &r)
}

func (s *Seats) sendSeat(t *kernel.Turn, seat wire.Seat, kind uint8, m msgp.Marshaler) {
	addr := seat.Addr
	switch v := m.(type) {
	case *wire.Vote:
		v.To = seat.ID
	case *wire.Accept:
		v.To = seat.ID
	case *wire.Beat:
		v.To = seat.ID
	}
	if a := s.addrOf(seat.ID, t.Now); a != "" {
		addr = a
	}
	t.Counts.Add("part_messages", 1)
	t.SendTo(addr, kind, 0, m)
}
