// Which seats a part's group should have: a missing one is replaced by a spare core,
// and the seats are spread over the zones again when there is a core for it.
package part

import (
	"slices"

	"wallport/kernel"
	"wallport/members"
	"wallport/wire"
)

// mend plans at most one change of seats: a core that is long unheard, or one
// of a zone that is there twice, makes room for a live spare.
func (g *Group) mend(t *kernel.Turn) ([]wire.Seat, bool) {
	seats := append([]wire.Seat(nil), g.served.Seats...)
	for i, s := range seats {
		if s.ID == g.self() || t.Now-g.heard[s.ID] < ReplaceAt {
			continue
		}
		if spare, ok := g.spare(t, seats, i); ok {
			t.Note(1, "part_seat_replaced", "part", g.part, "gone", s.ID, "new", spare.Seat, "zone", spare.Zone)
			t.Counts.Add("part_seats_replaced", 1)
			seats[i] = wire.Seat{ID: spare.Seat, Zone: spare.Zone, Addr: spare.Addr}
			g.heard[spare.Seat] = t.Now
			return seats, true
		}
	}
	return g.spread(t, seats)
}

// spread moves a seat out of a zone that has two of them to one that has none, once
// such a zone has a live core again: the loss of one zone must not take a majority.
func (g *Group) spread(t *kernel.Turn, seats []wire.Seat) ([]wire.Seat, bool) {
	if t.Now-g.wonAt < PlaceAfter {
		return seats, false
	}
	for i, s := range seats {
		twice := slices.ContainsFunc(seats, func(o wire.Seat) bool { return o.ID != s.ID && o.Zone == s.Zone })
		if spare, ok := g.spare(t, seats, i); twice && s.ID != g.self() && ok && !zoneHas(seats, spare.Zone) {
			t.Note(0, "part_seat_spread", "part", g.part, "from", s.Zone, "to", spare.Zone)
			t.Counts.Add("part_seats_spread", 1)
			seats[i] = wire.Seat{ID: spare.Seat, Zone: spare.Zone, Addr: spare.Addr}
			g.heard[spare.Seat] = t.Now
			return seats, true
		}
	}
	return seats, false
}

func zoneHas(seats []wire.Seat, zone string) bool {
	return slices.ContainsFunc(seats, func(s wire.Seat) bool { return s.Zone == zone })
}

func (g *Group) spare(t *kernel.Turn, seats []wire.Seat, leaves int) (members.Row, bool) {
	var best members.Row
	score := -1
	for _, r := range g.s.members.Live(t.Now, "core") {
		if r.Seat == "" || r.Sick != "" || r.Draining || has(seats, r.Seat) {
			continue
		}
		n := 1
		for i, s := range seats {
			if i != leaves && s.Zone == r.Zone {
				n = 0
			}
		}
		if n > score {
			best, score = r, n
		}
	}
	return best, score >= 0
}
