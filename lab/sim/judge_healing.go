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

func (sim *Simulation) healedFrom() clock.Micros { return sim.Script.Int("healed_from_us", 0) }

// countHealed counts a request that came after the time by which the fleet must be healed.
func (sim *Simulation) countHealed(o *search.Outcome, sent clock.Micros) {
	if from := sim.healedFrom(); from == 0 || sent < from {
		return
	}
	sim.afterHealing.arrived++
	switch o.Code {
	case search.CodeOK, search.CodeConflict:
		sim.afterHealing.answered++
	case search.CodeUnavailable, search.CodeRateLimited:
		sim.afterHealing.rejected++
	}
}

func (sim *Simulation) checkHealed() {
	if sim.healedFrom() == 0 {
		return
	}
	fail := func(text string, args ...any) { sim.Checker.Fail(notHealed, sim.now, text, args...) }
	sim.Checker.Idle(notHealed)
	h := sim.afterHealing
	if h.arrived == 0 || h.answered*1000 < h.arrived*995 || h.rejected > 0 {
		fail("of %d inquiries %d were answered well and %d refused", h.arrived, h.answered, h.rejected)
	}
	if sim.callers.inFlight > 0 {
		fail("%d inquiries were never answered", sim.callers.inFlight)
	}
	live := map[string]bool{}
	leaders := map[int]int{}
	var newest wire.Version
	for _, name := range sim.names {
		p := sim.processes[name]
		switch {
		case p.replaced:
		case !p.running():
			fail("%s does not run", name)
		case p.role == roleCore:
			live[p.replicas.ReplicaID()] = true
			for part := range state.Partitions {
				if p.replicas.Leads(part) {
					leaders[part]++
				}
			}
		default:
			if s := sim.versionInForce(p); s.Term > newest.Term || s.Term == newest.Term && s.Seq > newest.Seq {
				newest = s
			}
		}
	}
	for _, name := range sim.names {
		p := sim.processes[name]
		if p.role == roleNode && p.running() && sim.versionInForce(p) != newest {
			fail("%s has %v in force, others %v", name, sim.versionInForce(p), newest)
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
			if zones := sim.countZones(p.replicas.VotersOf(part)); zones < 3 && sim.coreZones() >= 3 {
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
		if leaders[part] != 1 {
			fail("part %d has %d owners", part, leaders[part])
		}
	}
}

func (sim *Simulation) countZones(voters []wire.Replica) int {
	zones := map[string]bool{}
	for _, s := range voters {
		zones[s.Zone] = true
	}
	return len(zones)
}

// coreZones counts the zones that have a running core.
func (sim *Simulation) coreZones() int {
	zones := map[string]bool{}
	for _, p := range sim.processes {
		if p.role == roleCore && p.running() {
			zones[p.settings.Zone] = true
		}
	}
	return len(zones)
}
