// Which replicas a partition's group should have: one that is lost or long silent is
// replaced, a group that is too small grows, and the replicas are spread over the
// zones. One change at a time, and none before the one before it is settled.
package replica

import (
	"slices"

	"wallport/kernel"
	"wallport/wire"
)

// nextMembers gives the replicas of the next version and whether they are a reason to make one. After a
// change of replicas, one more version binds the new replicas alone: until then the old ones count too.
func (g *Group) nextMembers(t *kernel.Turn) ([]wire.Seat, bool) {
	if len(g.committed.Prev) > 0 && !sameMembers(g.committed.Prev, g.committed.Seats) {
		return g.committed.Seats, true
	}
	seats := slices.Clone(g.committed.Seats)
	for _, change := range []func(*kernel.Turn, []wire.Seat) ([]wire.Seat, bool){g.replaceWiped, g.replaceSilent, g.addVoters, g.rebalance} {
		if after, ok := change(t, seats); ok {
			for _, s := range after {
				if !contains(g.committed.Seats, s.ID) {
					g.heardAt[s.ID] = t.Now
				}
			}
			t.Counts.Add("part_seats_changed", 1)
			return after, true
		}
	}
	return seats, false
}

func sameMembers(a, b []wire.Seat) bool {
	return slices.EqualFunc(a, b, func(a, b wire.Seat) bool { return a.ID == b.ID })
}

// replaceWiped gives the place of a replica whose disk is gone to the one that is now at its address.
func (g *Group) replaceWiped(t *kernel.Turn, seats []wire.Seat) ([]wire.Seat, bool) {
	for i, s := range seats {
		now, ok := g.successors[s.ID]
		if ok && !contains(seats, now.ID) {
			t.Note(1, "part_seat_returned_empty", "part", g.part, "gone", s.ID, "new", now.ID)
			seats[i] = wire.Seat{ID: now.ID, Zone: now.Zone, Addr: s.Addr}
			return seats, true
		}
	}
	return nil, false
}

// replaceSilent gives the place of a replica that is long unheard to a standby core.
func (g *Group) replaceSilent(t *kernel.Turn, seats []wire.Seat) ([]wire.Seat, bool) {
	for i, s := range seats {
		if s.ID == g.self() || t.Now-g.heardAt[s.ID] < ReplaceAfter {
			continue
		}
		if spare, ok := leastUsedZone(g.s.standbys(t.Now), seats, s.ID); ok {
			t.Note(1, "part_seat_replaced", "part", g.part, "gone", s.ID, "new", spare.ID, "zone", spare.Zone)
			t.Counts.Add("part_seats_replaced", 1)
			seats[i] = spare
			return seats, true
		}
	}
	return nil, false
}

// addVoters adds two replicas to a group that has fewer than it should; with one it would bear no more.
func (g *Group) addVoters(t *kernel.Turn, seats []wire.Seat) ([]wire.Seat, bool) {
	if len(seats)+2 > g.s.wantedVoters() || t.Now-g.leaderSince < RebalanceAfter {
		return nil, false
	}
	cores := g.s.standbys(t.Now)
	for range 2 {
		spare, ok := leastUsedZone(cores, seats, "")
		if !ok {
			return nil, false
		}
		seats = append(seats, spare)
	}
	t.Note(0, "part_seats_added", "part", g.part, "seats", len(seats))
	return seats, true
}

// rebalance moves a replica out of a zone that has two more of them than another one with a live
// core: the loss of one zone must not take a majority.
func (g *Group) rebalance(t *kernel.Turn, seats []wire.Seat) ([]wire.Seat, bool) {
	if t.Now-g.leaderSince < RebalanceAfter {
		return nil, false
	}
	crowded := slices.ContainsFunc(seats, func(s wire.Seat) bool { return countInZone(seats, s.Zone, "") > 1 })
	if !crowded {
		return nil, false
	}
	cores := g.s.standbys(t.Now)
	for i, s := range seats {
		spare, ok := leastUsedZone(cores, seats, s.ID)
		if ok && s.ID != g.self() && countInZone(seats, s.Zone, s.ID) > countInZone(seats, spare.Zone, s.ID) {
			t.Note(0, "part_seat_spread", "part", g.part, "from", s.Zone, "to", spare.Zone)
			t.Counts.Add("part_seats_spread", 1)
			seats[i] = spare
			return seats, true
		}
	}
	return nil, false
}
