// Clocks that step, and machines that are cut off.

package sim

import "fmt"

// clockFault steps the time of day on some machines, and back.
func (d *day) clockFault(e *dayStep) {
	d.recordUnplanned(e.forUs)
	us := int64(e.factorOr(2000) * 1000)
	if e.has("back") {
		us = -us
	}
	var hit []*machine
	if m := d.leader(); e.has("leader") && m != nil {
		hit = append(hit, m)
	}
	for _, m := range d.machines {
		if d.world.rng.Float64() < e.shareOr(0.3) && (len(hit) == 0 || m != hit[0]) {
			hit = append(hit, m)
		}
	}
	step := func(us int64) {
		for _, m := range hit {
			m.skew += us
			m.recordEvent()
			for _, p := range m.processes() {
				p.skew = m.skew
			}
		}
	}
	step(us)
	d.world.after(e.forUs, func() { step(-us) })
}

// partitionMachines cuts counted machines off from each other, or others from the counted ones.
func (d *day) partitionMachines(e *dayStep) {
	cut := func(m *machine) {
		// It may have waited its turn.
		d.recordUnplanned(e.forUs)
		var ways []string
		for _, c := range d.machines {
			if c == m || !c.coreMember() {
				continue
			}
			ways = append(ways, m.name+">"+c.name)
			if !e.has("one_way") {
				ways = append(ways, c.name+">"+m.name)
			}
		}
		d.setPartitioned(ways, true, e.has("reset"))
		d.setRefused(ways, e.has("refuse"))
		m.recordEvent()
		d.restartAroundPartition(e, m)
		d.meetDuring(e, m)
		d.endFaultAfter(e, m, e.forUs, func() {
			d.setPartitioned(ways, false, false)
			d.setRefused(ways, false)
			m.recordEvent()
			d.updateFaultSpans()
		})
	}
	if e.verb == "core_cut" {
		d.onCoreMember(e, cut)
		return
	}
	if e.has("servers") {
		d.recordUnplanned(e.forUs)
		d.partitionBackends(e)
		return
	}
	for _, m := range d.drawOthers(e, d.machineCount(e, 0.1)) {
		cut(m)
	}
}

// setPartitioned closes or opens ways; with reset the connections on them end at once.
func (d *day) setPartitioned(ways []string, on, reset bool) {
	for _, way := range ways {
		d.partitions[way] = on
	}
	if reset {
		d.world.net.closePartitioned()
	}
	d.world.logEvent(fmt.Sprint("cuts ", on, " ", ways))
}
