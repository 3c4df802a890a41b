// Follow-ups of a machine's fault: configuration changes that are sent to the machine as soon as it returns or
// while it is partitioned, and drains of backends in its zone. The file also selects machines by their role.

package sim

import "wallport/runtime/clock"

// endFaultAfter ends a machine's fault after a delay and then starts the follow-ups that the step asks for.
func (d *day) endFaultAfter(step *dayStep, m *machine, delay int64, end func()) {
	d.sim.after(delay, func() {
		end()
		d.updateFaultSpans()
		d.sendAfterReturn(step, m)
	})
}

// sendAfterReturn sends the changes that the step asks for to a machine that has returned, and with "drain" drains
// two backends in its zone.
func (d *day) sendAfterReturn(step *dayStep, m *machine) {
	d.sendChangeTo(step, m)
	if step.has("drain") {
		d.sim.after(d.sim.rng.Int64N(clock.Second), func() { d.drainSome(&dayStep{count: 2, zone: m.zone, gapUs: clock.Second}) })
	}
}

// sendDuringPartition sends the changes that the step asks for to a machine during the first half of its partition.
func (d *day) sendDuringPartition(step *dayStep, m *machine) {
	d.sim.after(d.sim.rng.Int64N(step.forUs/2+1), func() { d.sendChangeTo(step, m) })
}

// sendChangeTo sends a change to a machine, or with "race" two concurrent changes. With "hard" they go to no other
// machine until this one answers.
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

// namedMachine returns the machine that a step names by its role: the leader, the machine that last read the
// platform's list, or the first seed. It returns nil if the step names none.
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

// countStep counts a step by its verb, and by its verb with each of its modes.
func (d *day) countStep(step *dayStep) {
	d.sim.Checker.Count("kind."+step.verb, 1)
	for _, mode := range step.modes() {
		d.sim.Checker.Count("way."+step.verb+"."+mode, 1)
	}
}
