// What comes after a machine's trouble: changes that meet it as it returns, or
// while it is cut off, and backends of its zone that leave; and which machines
// a trouble names.

package sim

import "wallport/runtime/clock"

// endFaultAfter ends a machine's trouble after a while; what is to meet it as it returns does.
func (d *day) endFaultAfter(step *dayStep, m *machine, in int64, end func()) {
	d.world.after(in, func() {
		end()
		d.updateFaultSpans()
		d.meetReturned(step, m)
	})
}

// meetReturned is what meets a machine that is back.
func (d *day) meetReturned(step *dayStep, m *machine) {
	d.sendChangeTo(step, m)
	if step.has("drain") {
		d.world.after(d.world.rng.Int64N(clock.Second), func() { d.drainSome(&dayStep{count: 2, zone: m.zone, gapUs: clock.Second}) })
	}
}

// meetDuring is what meets a machine while it is cut off.
func (d *day) meetDuring(step *dayStep, m *machine) {
	d.world.after(d.world.rng.Int64N(step.forUs/2+1), func() { d.sendChangeTo(step, m) })
}

// sendChangeTo sends a change to a machine, or two at once (race), again and again until it answers (hard).
func (d *day) sendChangeTo(step *dayStep, m *machine) {
	if m.core == nil || m.removed {
		return
	}
	at := pin{m, step.has("hard")}
	switch {
	case step.has("race"):
		d.world.Checker.Count("met.race", 1)
		d.commands.raceAt(2, at)
	case step.has("meet"), step.has("hard"):
		d.world.Checker.Count("met.change", 1)
		d.commands.changeAt("route", at)
	}
}

// namedMachine is the machine that an entry names by what it did: the leader, a reader of the list, a seed.
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

// countStep counts what an entry brings about, with each of its ways.
func (d *day) countStep(step *dayStep) {
	d.world.Checker.Count("kind."+step.verb, 1)
	for _, way := range step.modes() {
		d.world.Checker.Count("way."+step.verb+"."+way, 1)
	}
}
