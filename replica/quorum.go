// Majorities of replicas, also across a change of replicas.
package replica

import "wallport/wire"

func contains(seats []wire.Seat, id string) bool {
	for _, s := range seats {
		if s.ID == id {
			return true
		}
	}
	return false
}

func majority(seats []wire.Seat, ok func(id string) bool) bool {
	n := 0
	for _, s := range seats {
		if ok(s.ID) {
			n++
		}
	}
	return len(seats) > 0 && n > len(seats)/2
}

// quorum needs a majority of a version's replicas and of the replicas before them.
func quorum(v wire.Stamped, ok func(id string) bool) bool {
	return majority(v.Seats, ok) && (len(v.Prev) == 0 || majority(v.Prev, ok))
}

// allVoters lists every replica that a version's quorum may need.
func allVoters(v wire.Stamped) []wire.Seat {
	out := append([]wire.Seat(nil), v.Seats...)
	for _, p := range v.Prev {
		if !contains(out, p.ID) {
			out = append(out, p)
		}
	}
	return out
}
