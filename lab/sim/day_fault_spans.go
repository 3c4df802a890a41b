// Reachability between the machines of a day, and the time spans in which a machine counts as faulty.

package sim

import "wallport/runtime/clock"

// partitioned reports whether frames from process a cannot reach process b.
func (d *day) partitioned(a, b string) bool {
	p, q := d.sim.processes[a], d.sim.processes[b]
	if p == nil || q == nil {
		return false
	}
	m, n := p.machine, q.machine
	if m.poweredOff || n.poweredOff {
		return true
	}
	return d.machinesPartitioned(m, n)
}

// machinesPartitioned reports whether frames from machine m cannot reach machine n.
func (d *day) machinesPartitioned(m, n *machine) bool {
	return m != n && (d.partitions[m.name+">"+n.name] || d.zonesPartitioned(m.zone, n.zone))
}

// zonesPartitioned reports whether two zones are partitioned from each other.
func (d *day) zonesPartitioned(a, b string) bool {
	return a != b && (d.zonePartitions[a] || d.zonePartitions[b])
}

// updateFaultSpans records in the journal which machines are faulty now, whether no healthy core member reaches a
// majority of running core members, and whether the core is unsettled: it has no such majority, or the disk or the
// processing of some core member is impaired.
func (d *day) updateFaultSpans() {
	now, t := d.sim.now, &d.journal.Faults
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
	// reach returns the number of running core members that a machine reaches, including itself.
	reach := func(m *machine) (n int) {
		for _, c := range core {
			if up(c) && up(m) && (c == m || linked(c, m)) {
				n++
			}
		}
		return n
	}
	hasMajority, unhealthy := false, false
	for _, c := range core {
		diskHealthy := (c.core.disk == nil || c.core.disk.mode == diskOK && c.core.disk.extraDelay == 0) && c.core.inputDelay == 0
		hasMajority = hasMajority || up(c) && diskHealthy && 2*reach(c) > len(core)
		unhealthy = unhealthy || !diskHealthy
	}
	t.NoMajority.Set(now, !hasMajority)
	if unhealthy || !hasMajority {
		t.Unsettled.Open(now)
	} else {
		t.Unsettled.Close(now)
	}
	for _, m := range d.machines {
		isFaulty := !up(m) || m.draining || m.node.inputDelay > 0 || m.core != nil && m.core.disk != nil && (m.core.disk.mode != diskOK || m.core.disk.extraDelay != 0)
		for _, c := range core {
			if c != m && up(c) && 2*reach(c) > len(core) && !linked(m, c) {
				isFaulty = true
			}
		}
		t.Of(m.name).Set(now, isFaulty)
	}
}

// publishCores records, every 500 ms, the core machines that have power, for the list that operators see.
func (d *day) publishCores() {
	var running []*machine
	for _, m := range d.machines {
		if m.core != nil && !m.removed && !m.poweredOff {
			running = append(running, m)
		}
	}
	d.publishedCores = append(d.publishedCores, publishedCoreList{d.sim.now, running})
	d.sim.after(500*clock.Millisecond, d.publishCores)
}

// listedCores returns the operators' list of core machines, which lags by 3 s.
func (d *day) listedCores() []*machine {
	out := d.publishedCores[0].cores
	for _, s := range d.publishedCores {
		if s.at <= d.sim.now-3*clock.Second {
			out = s.cores
		}
	}
	return out
}
