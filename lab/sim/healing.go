// The judge of healing: when every failure has been over for a while, every
// process is there, every node has the newest sheet in force, every part has one
// owner and living seats, and callers are served as if nothing had been.

package sim

import (
	"wallport/control/state"
	"wallport/request/search"
	"wallport/runtime/wire"
)

type healing struct{ came, good, shed int64 }

const notHealed = "not_healed"

func (w *World) healedFrom() int64 { return w.Script.Int("healed_from_us", 0) }

// healed counts an inquiry that came after the time by which all is well again.
func (w *World) healed(o *search.Outcome, sent int64) {
	if from := w.healedFrom(); from == 0 || sent < from {
		return
	}
	w.calm.came++
	switch o.Code {
	case search.OK, search.Conflict:
		w.calm.good++
	case search.Shed, search.OverCeiling:
		w.calm.shed++
	}
}

func (w *World) heals() {
	if w.healedFrom() == 0 {
		return
	}
	fail := func(text string, args ...any) { w.Judge.Fail(notHealed, w.now, text, args...) }
	w.Judge.Idle(notHealed)
	h := w.calm
	if h.came == 0 || h.good*1000 < h.came*995 || h.shed > 0 {
		fail("of %d inquiries %d were answered well and %d refused", h.came, h.good, h.shed)
	}
	if w.calls.open > 0 {
		fail("%d inquiries were never answered", w.calls.open)
	}
	live := map[string]bool{}
	owners := map[int]int{}
	var newest wire.Version
	for _, name := range w.names {
		p := w.procs[name]
		switch {
		case p.replaced:
		case !p.runs():
			fail("%s does not run", name)
		case p.role == "core":
			live[p.seats.ReplicaID()] = true
			for part := range state.Partitions {
				if p.seats.Leads(part) {
					owners[part]++
				}
			}
		default:
			if s := w.stampOf(p); s.Term > newest.Term || s.Term == newest.Term && s.Seq > newest.Seq {
				newest = s
			}
		}
	}
	for _, name := range w.names {
		p := w.procs[name]
		if p.role == "node" && p.runs() && w.stampOf(p) != newest {
			fail("%s has %v in force, others %v", name, w.stampOf(p), newest)
		}
		if p.role != "core" || !p.runs() {
			continue
		}
		for part := range state.Partitions {
			if !p.seats.Leads(part) {
				continue
			}
			if n := len(p.seats.VotersOf(part)); n != 3 {
				fail("part %d has %d seats", part, n)
			}
			if zones := w.spread(p.seats.VotersOf(part)); zones < 3 && w.coreZones() >= 3 {
				fail("part %d has its seats in %d zones", part, zones)
			}
			for _, s := range p.seats.VotersOf(part) {
				if !live[s.ID] {
					fail("part %d has a seat that is gone: %s at %s", part, s.ID, s.Addr)
				}
			}
		}
	}
	for part := range state.Partitions {
		if owners[part] != 1 {
			fail("part %d has %d owners", part, owners[part])
		}
	}
}

func (w *World) spread(seats []wire.Replica) int {
	zones := map[string]bool{}
	for _, s := range seats {
		zones[s.Zone] = true
	}
	return len(zones)
}

// coreZones counts the zones that have a core which runs.
func (w *World) coreZones() int {
	zones := map[string]bool{}
	for _, p := range w.procs {
		if p.role == "core" && p.runs() {
			zones[p.env.Zone] = true
		}
	}
	return len(zones)
}
