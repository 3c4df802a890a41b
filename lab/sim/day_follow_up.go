// What comes after a machine's trouble: changes that meet it as it returns, or
// while it is cut off, and backends of its zone that leave; and which machines
// a trouble names.

package sim

// endFaultAfter ends a machine's trouble after a while; what is to meet it as it returns does.
func (d *day) endFaultAfter(e *dayStep, m *machine, in int64, end func()) {
	d.world.after(in, func() {
		end()
		d.updateFaultSpans()
		d.meetReturned(e, m)
	})
}

// meetReturned is what meets a machine that is back.
func (d *day) meetReturned(e *dayStep, m *machine) {
	d.sendChangeTo(e, m)
	if e.has("drain") {
		d.world.after(d.world.rng.Int64N(1_000_000), func() { d.drainSome(&dayStep{count: 2, zone: m.zone, gapUs: 1_000_000}) })
	}
}

// meetDuring is what meets a machine while it is cut off.
func (d *day) meetDuring(e *dayStep, m *machine) {
	d.world.after(d.world.rng.Int64N(e.forUs/2+1), func() { d.sendChangeTo(e, m) })
}

// sendChangeTo sends a change to a machine, or two at once (race), again and again until it answers (hard).
func (d *day) sendChangeTo(e *dayStep, m *machine) {
	if m.core == nil || m.removed {
		return
	}
	at := pin{m, e.has("hard")}
	switch {
	case e.has("race"):
		d.world.Checker.Count("met.race", 1)
		d.commands.raceAt(2, at)
	case e.has("meet"), e.has("hard"):
		d.world.Checker.Count("met.change", 1)
		d.commands.changeAt("route", at)
	}
}

// namedMachine is the machine that an entry names by what it did: the leader, a reader of the list, a seed.
func (d *day) namedMachine(e *dayStep) *machine {
	switch {
	case e.has("leader"):
		return d.leader()
	case e.has("reader"):
		return d.listReader
	case e.has("seed"):
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
func (d *day) countStep(e *dayStep) {
	d.world.Checker.Count("kind."+e.verb, 1)
	for _, way := range e.modes() {
		d.world.Checker.Count("way."+e.verb+"."+way, 1)
	}
}
