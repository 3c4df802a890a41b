// Reachability between the machines of a day, and the spans in which each machine counts as faulty.

package sim

import "wallport/runtime/clock"

// partitioned reports whether no frame gets from one process to another.
func (d *day) partitioned(a, b string) bool {
	p, q := d.world.processes[a], d.world.processes[b]
	if p == nil || q == nil {
		return false
	}
	m, n := p.machine, q.machine
	if m.poweredOff || n.poweredOff {
		return true
	}
	return d.machinesPartitioned(m, n)
}

// machinesPartitioned reports whether no frame gets from one machine to another.
func (d *day) machinesPartitioned(m, n *machine) bool {
	return m != n && (d.partitions[m.name+">"+n.name] || d.zonesPartitioned(m.zone, n.zone))
}

// zonesPartitioned reports whether two zones are partitioned from each other.
func (d *day) zonesPartitioned(a, b string) bool {
	return a != b && (d.zonePartitions[a] || d.zonePartitions[b])
}

// updateFaultSpans recomputes which machines are faulty and whether the core is settled.
func (d *day) updateFaultSpans() {
	now, t := d.world.now, &d.journal.Faults
	var core []*machine
	for _, m := range d.machines {
		if m.coreMember() {
			core = append(core, m)
		}
	}
	linked := func(a, b *machine) bool { return !d.machinesPartitioned(a, b) && !d.machinesPartitioned(b, a) }
	up := func(m *machine) bool {
		return !m.poweredOff && !m.removed && m.node.running() && (m.core == nil || m.core.running())
	}
	// reach counts the core members that a machine reaches, itself included.
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
		well := (c.core.disk == nil || c.core.disk.mode == diskOK && c.core.disk.extraDelay == 0) && c.core.inputDelay == 0
		whole = whole || up(c) && well && 2*reach(c) > len(core)
		slowed = slowed || !well
	}
	t.NoMajority.Set(now, !whole)
	if slowed || !whole {
		t.Unsettled.Open(now)
	} else {
		t.Unsettled.Close(now)
	}
	for _, m := range d.machines {
		bad := !up(m) || m.draining || m.node.inputDelay > 0 || m.core != nil && m.core.disk != nil && (m.core.disk.mode != diskOK || m.core.disk.extraDelay != 0)
		for _, c := range core {
			if c != m && up(c) && 2*reach(c) > len(core) && !linked(m, c) {
				bad = true
			}
		}
		t.Of(m.name).Set(now, bad)
	}
}

// publishCores records the running core machines for the operators' list, which lags.
func (d *day) publishCores() {
	var now []*machine
	for _, m := range d.machines {
		if m.core != nil && !m.removed && !m.poweredOff {
			now = append(now, m)
		}
	}
	d.publishedCores = append(d.publishedCores, publishedCoreList{d.world.now, now})
	d.world.after(500*clock.Millisecond, d.publishCores)
}

// listedCores returns that list as it stood 3 s ago.
func (d *day) listedCores() []*machine {
	out := d.publishedCores[0].cores
	for _, s := range d.publishedCores {
		if s.at <= d.world.now-3*clock.Second {
			out = s.cores
		}
	}
	return out
}
