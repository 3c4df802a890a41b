// The judge of sheets: acknowledged ones are in force in time, nobody falls
// back, losers and refused ones never take effect, and the accepted edits form
// one chain in which each is based on the one before it (the history of a
// compare-and-set register, checked exactly).

package check

import "wallport/runtime/wire"

// Try is one edit of the sheet by an operator.
type Try struct {
	Mark   int64
	Base   wire.Version
	Began  int64
	Ended  int64
	Code   string
	Stamp  wire.Version
	EditID string
	// Invalid edits must never be accepted.
	Invalid bool
}

type seen struct {
	stamp wire.Version
	at    int64
}

type sheets struct {
	tries map[int64]*Try
	order []int64
	acked []seen
	node  map[string]seen
	// first is the version that was in force before any try, where the history does not begin with one.
	first  wire.Version
	marks  map[wire.Version]int64
	byBase map[wire.Version]int64
}

func newSheets() sheets {
	return sheets{tries: map[int64]*Try{}, node: map[string]seen{}, marks: map[wire.Version]int64{}, byBase: map[wire.Version]int64{}}
}

func newer(a, b wire.Version) bool { return a.Term > b.Term || a.Term == b.Term && a.Seq > b.Seq }

// Tried notes the beginning of an edit. Marks are unique to an edit id.
func (j *Judge) Tried(t Try) {
	s := &j.sheets
	if s.tries[t.Mark] == nil {
		s.tries[t.Mark] = &t
		s.order = append(s.order, t.Mark)
	}
}

// Retried notes the answer to an edit, or to a retry under the same id. What
// was once acknowledged stays so.
func (j *Judge) Retried(t Try) {
	s := &j.sheets
	j.Tried(t)
	was := s.tries[t.Mark]
	if t.Code == "ok" && t.Invalid {
		j.Fail(SheetLoser, t.Ended, "edit %d is invalid and was accepted", t.Mark)
	}
	if was.Code == "ok" {
		if t.Code == "lost_race" || t.Code == "invalid" || t.Code == "conflict" {
			j.Fail(RetryDiffers, t.Ended, "edit %d was answered ok and then %s", t.Mark, t.Code)
		}
		j.tested(RetryDiffers)
		if t.Code == "ok" && t.Stamp != was.Stamp {
			j.Fail(BothWon, t.Ended, "edit %d was answered %v and then %v", t.Mark, was.Stamp, t.Stamp)
		}
		return
	}
	if t.Code == "ok" || was.Code == "open" {
		was.Code, was.Stamp, was.Ended = t.Code, t.Stamp, t.Ended
	}
	if t.Code != "ok" {
		return
	}
	j.tested(BothWon)
	if other, taken := s.byBase[t.Base]; taken && other != t.Mark {
		j.Fail(BothWon, t.Ended, "edits %d and %d, both based on %v, were accepted", other, t.Mark, t.Base)
	}
	s.byBase[t.Base] = t.Mark
	if n := len(s.acked); n == 0 || newer(t.Stamp, s.acked[n-1].stamp) {
		s.acked = append(s.acked, seen{t.Stamp, t.Ended})
	}
}

// InForce notes what a node has in force at a moment. Reachable nodes must
// have what was acknowledged in time; since is from when the node could.
func (j *Judge) InForce(node string, sheetAt wire.Version, mark int64, at, since int64) {
	s := &j.sheets
	if was := s.node[node]; newer(was.stamp, sheetAt) {
		j.Fail(SheetBack, at, "%s fell back from %v to %v", node, was.stamp, sheetAt)
	}
	j.tested(SheetBack)
	s.node[node] = seen{sheetAt, at}
	if sheetAt.Term > 0 {
		if m, ok := s.marks[sheetAt]; ok && m != mark {
			j.Fail(SheetLoser, at, "%s has %d at %v where others have %d", node, mark, sheetAt, m)
		}
		s.marks[sheetAt] = mark
		if t := s.tries[mark]; t != nil {
			j.tested(SheetLoser)
			if t.Code == "invalid" || t.Code == "lost_race" || t.Code == "conflict" || t.Code == "shed" {
				j.Fail(SheetLoser, at, "%s has edit %d in force, which was answered %s", node, mark, t.Code)
			}
		}
	}
	if since < 0 {
		return
	}
	for i := len(s.acked) - 1; i >= 0; i-- {
		a := s.acked[i]
		if at-max(a.at, since) <= SheetIn {
			continue
		}
		j.tested(SheetLate)
		if newer(a.stamp, sheetAt) {
			j.Fail(SheetLate, at, "%s has %v, %v was acknowledged %d us ago", node, sheetAt, a.stamp, at-a.at)
		}
		return
	}
}

// Restarted forgets what a node had in force before it was started anew; the
// acknowledged sheets still bind it.
func (j *Judge) Restarted(node string) { delete(j.sheets.node, node) }

// Chain checks the whole history at the end: real-time order and the chain of bases.
func (j *Judge) Chain() {
	j.linearizable()
	s := &j.sheets
	for i, a := range s.order {
		ta := s.tries[a]
		if ta.Code != "ok" {
			continue
		}
		for _, b := range s.order[i+1:] {
			tb := s.tries[b]
			if tb.Code != "ok" {
				continue
			}
			first, second := ta, tb
			if newer(first.Stamp, second.Stamp) {
				first, second = tb, ta
			}
			if second.Ended < first.Began {
				j.Fail(BothWon, second.Ended, "edit %d ended before %d began but has a newer stamp", second.Mark, first.Mark)
			}
			if newer(first.Stamp, second.Base) {
				j.Fail(BothWon, second.Ended, "edit %d at %v is based on %v, before %v of edit %d", second.Mark, second.Stamp, second.Base, first.Stamp, first.Mark)
			}
		}
	}
}

// BookingSlack is how far from its window's edges a booking may start or end:
// an owner may just be being elected, and nodes take a while to hear.
const BookingSlack = 5_000_000

// Booked judges whether a node has a booking running that should, or should not.
func (j *Judge) Booked(node, id string, runs bool, from, to, at int64) {
	if at-j.Timely <= BookingSlack {
		return
	}
	switch {
	case at > from+BookingSlack && at < to:
		j.tested(BookedWrong)
		if !runs {
			j.Fail(BookedWrong, at, "%s does not have booking %s running, %d us into its window", node, id, at-from)
		}
	case at < from || at > to+BookingSlack:
		j.tested(BookedWrong)
		if runs {
			j.Fail(BookedWrong, at, "%s has booking %s running outside its window", node, id)
		}
	}
}
