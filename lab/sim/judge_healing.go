// The check of healing: some time after the last fault every process runs, every node has the newest
// configuration in force, every partition has one leader and living voters, and callers are served as before.

package sim

import (
	"wallport/control/state"
	"wallport/request/search"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

type healedCounts struct{ arrived, answered, rejected int64 }

const notHealed = "not_healed"

func (w *World) healedFrom() clock.Micros { return w.Script.Int("healed_from_us", 0) }

// countHealed counts a request that came after the time by which the fleet must be healed.
func (w *World) countHealed(o *search.Outcome, sent clock.Micros) {
	if from := w.healedFrom(); from == 0 || sent < from {
		return
	}
	w.afterHealing.arrived++
	switch o.Code {
	case search.CodeOK, search.CodeConflict:
		w.afterHealing.answered++
	case search.CodeUnavailable, search.CodeRateLimited:
		w.afterHealing.rejected++
	}
}

func (w *World) checkHealed() {
	if w.healedFrom() == 0 {
		return
	}
	fail := func(text string, args ...any) { w.Checker.Fail(notHealed, w.now, text, args...) }
	w.Checker.Idle(notHealed)
	h := w.afterHealing
	if h.arrived == 0 || h.answered*1000 < h.arrived*995 || h.rejected > 0 {
		fail("of %d inquiries %d were answered well and %d refused", h.arrived, h.answered, h.rejected)
	}
	if w.callers.open > 0 {
		fail("%d inquiries were never answered", w.callers.open)
	}
	live := map[string]bool{}
	owners := map[int]int{}
	var newest wire.Version
	for _, name := range w.names {
		p := w.processes[name]
		switch {
		case p.replaced:
		case !p.running():
			fail("%s does not run", name)
		case p.role == roleCore:
			live[p.replicas.ReplicaID()] = true
			for part := range state.Partitions {
				if p.replicas.Leads(part) {
					owners[part]++
				}
			}
		default:
			if s := w.versionInForce(p); s.Term > newest.Term || s.Term == newest.Term && s.Seq > newest.Seq {
				newest = s
			}
		}
	}
	for _, name := range w.names {
		p := w.processes[name]
		if p.role == roleNode && p.running() && w.versionInForce(p) != newest {
			fail("%s has %v in force, others %v", name, w.versionInForce(p), newest)
		}
		if p.role != roleCore || !p.running() {
			continue
		}
		for part := range state.Partitions {
			if !p.replicas.Leads(part) {
				continue
			}
			if n := len(p.replicas.VotersOf(part)); n != 3 {
				fail("part %d has %d seats", part, n)
			}
			if zones := w.countZones(p.replicas.VotersOf(part)); zones < 3 && w.coreZones() >= 3 {
				fail("part %d has its seats in %d zones", part, zones)
			}
			for _, s := range p.replicas.VotersOf(part) {
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

func (w *World) countZones(voters []wire.Replica) int {
	zones := map[string]bool{}
	for _, s := range voters {
		zones[s.Zone] = true
	}
	return len(zones)
}

// coreZones counts the zones that have a running core.
func (w *World) coreZones() int {
	zones := map[string]bool{}
	for _, p := range w.processes {
		if p.role == roleCore && p.running() {
			zones[p.settings.Zone] = true
		}
	}
	return len(zones)
}
