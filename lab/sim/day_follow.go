// What comes after a machine's trouble: changes that meet it as it returns, or
// while it is cut off, and backends of its zone that leave; and which machines
// a trouble names.

package sim

// later ends a machine's trouble after a while; what is to meet it as it returns does.
func (d *day) later(e *entry, m *machine, in int64, end func()) {
	d.w.after(in, func() {
		end()
		d.look()
		d.returned(e, m)
	})
}

// returned is what meets a machine that is back.
func (d *day) returned(e *entry, m *machine) {
	d.meet(e, m)
	if e.is("drain") {
		d.w.after(d.w.rnd.Int64N(1_000_000), func() { d.drainSome(&entry{count: 2, zone: m.zone, gapUs: 1_000_000}) })
	}
}

// during is what meets a machine while it is cut off.
func (d *day) during(e *entry, m *machine) {
	d.w.after(d.w.rnd.Int64N(e.forUs/2+1), func() { d.meet(e, m) })
}

// meet sends a change to a machine, or two at once (race), again and again until it answers (hard).
func (d *day) meet(e *entry, m *machine) {
	if m.core == nil || m.gone {
		return
	}
	at := pin{m, e.is("hard")}
	switch {
	case e.is("race"):
		d.w.Judge.Count("met.race", 1)
		d.oper.raceAt(2, at)
	case e.is("meet"), e.is("hard"):
		d.w.Judge.Count("met.change", 1)
		d.oper.changeAt("route", at)
	}
}

// named is the machine that an entry names by what it did: the leader, a reader of the list, a seed.
func (d *day) named(e *entry) *machine {
	switch {
	case e.is("leader"):
		return d.leader()
	case e.is("reader"):
		return d.reader
	case e.is("seed"):
		for _, m := range d.machines {
			if m.core != nil && m.core.env.Mesh == d.seedList[0] {
				return m
			}
		}
	}
	return nil
}

func (d *day) eachCounted(f func(m *machine)) {
	for _, m := range d.machines {
		if m.counted() && !m.dark {
			f(m)
		}
	}
}

// note counts what an entry brings about, with each of its ways.
func (d *day) note(e *entry) {
	d.w.Judge.Count("kind."+e.verb, 1)
	for _, way := range e.ways() {
		d.w.Judge.Count("way."+e.verb+"."+way, 1)
	}
}
