// The healing check: some time after the last fault all processes run, all nodes have the newest configuration in
// force, each partition of the control state has one leader and only running voters, and callers are served as
// before the fault.

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

// countHealed counts the outcome of a request that was sent after the time by which the fleet must have healed.
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
		fail("of %d requests that were sent after healing %d were answered correctly and %d rejected; want at least 99.5%% and none rejected", h.arrived, h.answered, h.rejected)
	}
	if sim.callers.inFlight > 0 {
		fail("%d requests were never answered", sim.callers.inFlight)
	}
	live := map[string]bool{}
	leaders := map[int]int{}
	var newest wire.Version
	for _, name := range sim.names {
		p := sim.processes[name]
		switch {
		case p.replaced:
		case !p.running():
			fail("%s is not running after healing", name)
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
			fail("node %s has version %v in force, the newest in force is %v", name, sim.versionInForce(p), newest)
		}
		if p.role != roleCore || !p.running() {
			continue
		}
		for part := range state.Partitions {
			if !p.replicas.Leads(part) {
				continue
			}
			if n := len(p.replicas.VotersOf(part)); n != 3 {
				fail("partition %d has %d voters, want 3", part, n)
			}
			if zones := sim.countZones(p.replicas.VotersOf(part)); zones < 3 && sim.coreZones() >= 3 {
				fail("the voters of partition %d are in only %d zones, want 3", part, zones)
			}
			for _, s := range p.replicas.VotersOf(part) {
				if !live[s.ID] {
					fail("a voter of partition %d is not running: %s at %s", part, s.ID, s.Addr)
				}
			}
		}
	}
	for part := range state.Partitions {
		if leaders[part] != 1 {
			fail("partition %d has %d leaders, want 1", part, leaders[part])
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

// coreZones returns the number of zones that have a running core.
func (sim *Simulation) coreZones() int {
	zones := map[string]bool{}
	for _, p := range sim.processes {
		if p.role == roleCore && p.running() {
			zones[p.settings.Zone] = true
		}
	}
	return len(zones)
}
