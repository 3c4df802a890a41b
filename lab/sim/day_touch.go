// Who can hear whom on a day, and what troubles the machines have.

package sim

// cut reports whether nothing gets from one process to another.
func (d *day) cut(a, b string) bool {
	p, q := d.w.procs[a], d.w.procs[b]
	if p == nil || q == nil {
		return false
	}
	m, n := p.machine, q.machine
	if m.dark || n.dark {
		return true
	}
	return d.severed(m, n)
}

// severed reports whether nothing gets from one machine to another.
func (d *day) severed(m, n *machine) bool {
	return m != n && (d.cuts[m.name+">"+n.name] || d.apart(m.zone, n.zone))
}

// apart reports whether two zones are cut off from each other.
func (d *day) apart(a, b string) bool { return a != b && (d.zoneCuts[a] || d.zoneCuts[b]) }

// look works out anew what troubles the machines have.
func (d *day) look() {
	now, t := d.w.now, &d.journal.Touch
	var core []*machine
	for _, m := range d.machines {
		if m.counted() {
			core = append(core, m)
		}
	}
	linked := func(a, b *machine) bool { return !d.severed(a, b) && !d.severed(b, a) }
	up := func(m *machine) bool {
		return !m.dark && !m.gone && m.node.runs() && (m.core == nil || m.core.runs())
	}
	// reach counts the core machines that one reaches, itself included.
	reach := func(m *machine) (n int) {
		for _, c := range core {
			if up(c) && up(m) && (c == m || linked(c, m)) {
				n++
			}
		}
		return n
	}
	whole, slowed := false, false
	for _, c := range core {
		well := (c.core.disk == nil || c.core.disk.mode == "" && c.core.disk.slow == 0) && c.core.slowUs == 0
		whole = whole || up(c) && well && 2*reach(c) > len(core)
		slowed = slowed || !well
	}
	t.Halved.Set(now, !whole)
	if slowed || !whole {
		t.Unsettled.Open(now)
	} else {
		t.Unsettled.Close(now)
	}
	for _, m := range d.machines {
		bad := !up(m) || m.stops || m.node.slowUs > 0 || m.core != nil && m.core.disk != nil && (m.core.disk.mode != "" || m.core.disk.slow != 0)
		for _, c := range core {
			if c != m && up(c) && 2*reach(c) > len(core) && !linked(m, c) {
				bad = true
			}
		}
		t.Of(m.name).Set(now, bad)
	}
}

// listCores keeps the operator's list of the core machines that run, as it lags.
func (d *day) listCores() {
	var now []*machine
	for _, m := range d.machines {
		if m.core != nil && !m.gone && !m.dark {
			now = append(now, m)
		}
	}
	d.shownAt = append(d.shownAt, shownCores{d.w.now, now})
	d.w.after(500_000, d.listCores)
}

// cores is that list as it stood a while ago.
func (d *day) cores() []*machine {
	out := d.shownAt[0].cores
	for _, s := range d.shownAt {
		if s.at <= d.w.now-3_000_000 {
			out = s.cores
		}
	}
	return out
}
