// What follows a machine's fault: changes that meet it as it returns or while it is partitioned, backends of its
// zone that drain, and the machines that a step names.

package sim

import "wallport/runtime/clock"

// endFaultAfter ends a machine's fault after a while, then sends it what the step has for its return.
func (d *day) endFaultAfter(step *dayStep, m *machine, delay int64, end func()) {
	d.sim.after(delay, func() {
		end()
		d.updateFaultSpans()
		d.sendAfterReturn(step, m)
	})
}

// sendAfterReturn sends a machine that is back what the step asks for.
func (d *day) sendAfterReturn(step *dayStep, m *machine) {
	d.sendChangeTo(step, m)
	if step.has("drain") {
		d.sim.after(d.sim.rng.Int64N(clock.Second), func() { d.drainSome(&dayStep{count: 2, zone: m.zone, gapUs: clock.Second}) })
	}
}

// sendDuringPartition does so while the machine is partitioned.
func (d *day) sendDuringPartition(step *dayStep, m *machine) {
	d.sim.after(d.sim.rng.Int64N(step.forUs/2+1), func() { d.sendChangeTo(step, m) })
}

// sendChangeTo sends a change to a machine, or two at once (race), repeatedly until it answers (hard).
func (d *day) sendChangeTo(step *dayStep, m *machine) {
	if m.core == nil || m.removed {
		return
	}
	at := pin{m, step.has("hard")}
	switch {
	case step.has("race"):
		d.sim.Checker.Count("met.race", 1)
		d.commands.raceAt(2, at)
	case step.has("meet"), step.has("hard"):
		d.sim.Checker.Count("met.change", 1)
		d.commands.changeAt("route", at)
	}
}

// namedMachine returns the machine that a step names by its role: the leader, a reader of the list, a seed.
func (d *day) namedMachine(step *dayStep) *machine {
	switch {
	case step.has("leader"):
		return d.leader()
	case step.has("reader"):
		return d.listReader
	case step.has("seed"):
		for _, m := range d.machines {
			if m.core != nil && m.core.settings.Mesh == d.seeds[0] {
				return m
			}
		}
	}
	return nil
}

func (d *day) eachCoreMember(f func(m *machine)) {
	for _, m := range d.machines {
		if m.coreMember() && !m.poweredOff {
			f(m)
		}
	}
}

// countStep counts a step by its verb and by each of its modes.
func (d *day) countStep(step *dayStep) {
	d.sim.Checker.Count("kind."+step.verb, 1)
	for _, mode := range step.modes() {
		d.sim.Checker.Count("way."+step.verb+"."+mode, 1)
	}
}
