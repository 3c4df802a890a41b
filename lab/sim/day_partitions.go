// Wall clocks that are stepped, and network partitions of machines.

package sim

import (
	"fmt"

	"wallport/runtime/clock"
)

// clockFault steps the wall clocks of random machines, and steps them back after step.forUs.
func (d *day) clockFault(step *dayStep) {
	d.recordUnplanned(step.forUs)
	us := int64(step.factorOr(2000) * 1000)
	if step.has("back") {
		us = -us
	}
	var targets []*machine
	if m := d.leader(); step.has("leader") && m != nil {
		targets = append(targets, m)
	}
	for _, m := range d.machines {
		if d.sim.rng.Float64() < step.shareOr(0.3) && (len(targets) == 0 || m != targets[0]) {
			targets = append(targets, m)
		}
	}
	stepClocks := func(us clock.Micros) {
		for _, m := range targets {
			m.skew += us
			m.recordEvent()
			for _, p := range m.processes() {
				p.skew = m.skew
			}
		}
	}
	stepClocks(us)
	d.sim.after(step.forUs, func() { stepClocks(-us) })
}

// partitionMachines partitions a core member from the other core members (core_cut), or other machines from the core
// members (node_cut). For node_cut with "servers" it partitions backends from all machines instead.
func (d *day) partitionMachines(step *dayStep) {
	partition := func(m *machine) {
		// The fault is recorded only now because it may have been delayed.
		d.recordUnplanned(step.forUs)
		var links []string
		for _, c := range d.machines {
			if c == m || !c.coreMember() {
				continue
			}
			links = append(links, m.name+">"+c.name)
			if !step.has("one_way") {
				links = append(links, c.name+">"+m.name)
			}
		}
		d.setPartitioned(links, true, step.has("reset"))
		d.setRefused(links, step.has("refuse"))
		m.recordEvent()
		d.restartAroundPartition(step, m)
		d.sendDuringPartition(step, m)
		d.endFaultAfter(step, m, step.forUs, func() {
			d.setPartitioned(links, false, false)
			d.setRefused(links, false)
			m.recordEvent()
			d.updateFaultSpans()
		})
	}
	if step.verb == "core_cut" {
		d.onCoreMember(step, partition)
		return
	}
	if step.has("servers") {
		d.recordUnplanned(step.forUs)
		d.partitionBackends(step)
		return
	}
	for _, m := range d.drawOthers(step, d.machineCount(step, 0.1)) {
		partition(m)
	}
}

// setPartitioned blocks or unblocks links; with reset it also closes the connections over all blocked links.
func (d *day) setPartitioned(links []string, on, reset bool) {
	for _, mode := range links {
		d.partitions[mode] = on
	}
	if reset {
		d.sim.net.closePartitioned()
	}
	d.sim.logEvent(fmt.Sprint("links blocked: ", on, " ", links))
}
