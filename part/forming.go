// Forming a fleet on empty disks. A seat syncs its consent to at most one
// formation, a formation needs all of its three seats, and nobody proposes one
// while any reachable process knows of a formed fleet. With fewer than six
// empty disks two formations can therefore never both be complete.
package part

import (
	"cmp"
	"fmt"
	"slices"

	"wallport/kernel"
	"wallport/members"
	"wallport/wire"
)

// FormAfter is how long an empty core listens before it proposes: processes that know of
// a fleet dial a seed that did not answer once in two seconds (mesh.SeedBackoff).
const FormAfter = 4_000_000

// FormEvery is how often a proposal is repeated.
const FormEvery = 500_000

func (s *Seats) form(t *kernel.Turn) {
	if s.seat == "" || t.Now-s.started < FormAfter || s.sick != "" {
		return
	}
	// A node that still has a version in force knows of a formed fleet as well:
	// its group is rebuilt by an operator's word or not at all.
	for part := range Parts {
		if v, ok := s.mesh.Part(part); ok && v.Stamp.Term > 0 {
			s.enter(t)
			return
		}
	}
	cores := s.members.Live(t.Now, "core")
	for _, c := range cores {
		if c.Formed {
			s.enter(t)
			return
		}
	}
	if s.formation.Formation == "" {
		s.plan(t, cores)
		return
	}
	if s.formation.Seats[0].ID == s.seat && (t.Now-s.started)/FormEvery != (t.Now-TickEvery-s.started)/FormEvery {
		s.propose(t)
	}
}

// enter makes an unformed core a spare of the fleet that it found. Where the
// found fleet is the one it consented to, its owners bring it the versions.
func (s *Seats) enter(t *kernel.Turn) {
	if s.formed {
		return
	}
	s.formed = true
	s.tell()
	t.Note(0, "core_spare", "seat", s.seat)
}

// plan is made by the least of three live empty cores, for distinct zones where there are.
func (s *Seats) plan(t *kernel.Turn, cores []members.Row) {
	cores = slices.DeleteFunc(cores, func(r members.Row) bool { return r.Seat == "" || r.Sick != "" })
	slices.SortFunc(cores, func(a, b members.Row) int { return cmp.Compare(a.Seat, b.Seat) })
	if len(cores) < 3 || cores[0].Seat != s.seat {
		return
	}
	var seats []wire.Seat
	zones := map[string]bool{}
	for pass := range 2 {
		for _, c := range cores {
			if len(seats) < 3 && !has(seats, c.Seat) && (pass == 1 || !zones[c.Zone]) {
				zones[c.Zone] = true
				seats = append(seats, wire.Seat{ID: c.Seat, Zone: c.Zone, Addr: c.Addr})
			}
		}
	}
	f := wire.Form{Formation: fmt.Sprintf("%016x", t.Rand.Uint64()), Seats: seats}
	t.Note(0, "formation_planned", "formation", f.Formation, "seats", len(seats))
	s.consent(t, f, func(t *kernel.Turn, ok bool) {
		if ok {
			s.consents[s.seat] = true
			s.propose(t)
		}
	})
}

// consent syncs the one consent of this disk.
func (s *Seats) consent(t *kernel.Turn, f wire.Form, done func(t *kernel.Turn, ok bool)) {
	s.formation = f
	s.save(t, "formation", wire.Encode(&f), func(t *kernel.Turn, err string) { done(t, err == "") })
}

func (s *Seats) propose(t *kernel.Turn) {
	s.consents[s.seat] = true
	for _, seat := range s.formation.Seats {
		if seat.ID != s.seat {
			s.sendSeat(t, seat, wire.KindForm, &s.formation)
		}
	}
}

func (s *Seats) formAsked(t *kernel.Turn, ch uint64, f wire.Form) {
	reply := func(t *kernel.Turn, ok bool) {
		t.Send(ch, wire.KindFormReply, 0, &wire.FormReply{Formation: f.Formation, From: s.seat, OK: ok})
	}
	switch {
	case s.seat == "" || s.damaged || !has(f.Seats, s.seat):
		reply(t, false)
	case f.Go && f.Formation == s.formation.Formation:
		s.complete(t)
	case s.formation.Formation == f.Formation:
		reply(t, !s.formed)
	case s.formed || s.formation.Formation != "":
		reply(t, false)
	default:
		s.consent(t, f, reply)
	}
}

func (s *Seats) formReply(t *kernel.Turn, r wire.FormReply) {
	if s.formed || !r.OK || r.Formation != s.formation.Formation || s.formation.Formation == "" {
		return
	}
	s.consents[r.From] = true
	for _, seat := range s.formation.Seats {
		if !s.consents[seat.ID] {
			return
		}
	}
	f := s.formation
	f.Go = true
	for _, seat := range f.Seats {
		if seat.ID != s.seat {
			s.sendSeat(t, seat, wire.KindForm, &f)
		}
	}
	s.complete(t)
}

// found gives every part that holds nothing yet the formation's seats.
func (s *Seats) found() {
	for _, g := range s.groups {
		if len(g.held.Seats) == 0 {
			g.held.Seats = s.formation.Seats
			g.held.Stamp.Part = g.part
		}
	}
}

// complete makes a consenting seat a voter, once that is synced.
func (s *Seats) complete(t *kernel.Turn) {
	f := s.formation
	if f.Go {
		return
	}
	f.Go = true
	s.save(t, "formation", wire.Encode(&f), func(t *kernel.Turn, err string) {
		if err != "" || s.formation.Go {
			return
		}
		s.formation, s.formed = f, true
		s.found()
		t.Note(0, "fleet_formed", "formation", f.Formation, "seat", s.seat)
		s.tell()
	})
}
