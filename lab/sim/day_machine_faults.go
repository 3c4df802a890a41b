// Machine faults: kills, power loss, lost disks, freezes, slow processes, network partitions, and faults of disks
// and clocks. A fault waits as long as it would make more core members faulty at the same time than the deployment
// tolerates.

package sim

import (
	"slices"

	"wallport/runtime/clock"
)

const faultRetryUs = 300 * clock.Millisecond

// faulty reports whether a machine counts as lost: it is faulty now or was so within the last SyncTime.
func (d *day) faulty(m *machine) bool {
	return d.journal.Faults.Of(m.name).Overlaps(d.sim.now-d.settings.Bounds.SyncTime, d.sim.now)
}

// toleratedFaults returns how many more core members may be lost in addition to those that are lost now; the
// machine except counts as healthy.
func (d *day) toleratedFaults(except *machine) int {
	n := d.site.tolerance[0]
	for _, m := range d.machines {
		if m.coreMember() && m != except && d.faulty(m) {
			n--
		}
	}
	return n
}

// leader returns the machine that sent the last acknowledgement if it is a healthy core member, otherwise the
// leader of partition 0 of the control state, or nil if there is none.
func (d *day) leader() *machine {
	if m := d.commands.lastAcked; m != nil && m.coreMember() && !d.faulty(m) {
		return m
	}
	for _, m := range d.machines {
		if m.coreMember() && m.core.replicas != nil && m.core.up && m.core.replicas.Leads(0) {
			return m
		}
	}
	return nil
}

// drawCoreMember returns the core member that the step names by its role, or a random one; nil if none is healthy.
func (d *day) drawCoreMember(step *dayStep) *machine {
	if m := d.namedMachine(step); m != nil && m.coreMember() && !d.faulty(m) {
		return m
	}
	var healthy []*machine
	for _, m := range d.machines {
		if m.coreMember() && !d.faulty(m) {
			healthy = append(healthy, m)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	return healthy[d.sim.rng.IntN(len(healthy))]
}

// onCoreMember applies f to a healthy core member once the deployment tolerates one more loss.
func (d *day) onCoreMember(step *dayStep, f func(m *machine)) {
	m := d.drawCoreMember(step)
	if m == nil || d.toleratedFaults(nil) < 1 {
		d.sim.after(faultRetryUs, func() { d.onCoreMember(step, f) })
		return
	}
	d.sim.Checker.Count("troubled."+step.verb, 1)
	f(m)
	d.updateFaultSpans()
}

// drawOthers draws up to n healthy machines that are not core members. A machine that the step names by its role
// comes first.
func (d *day) drawOthers(step *dayStep, n int) (out []*machine) {
	var all []*machine
	for _, m := range d.machines {
		if !m.coreMember() && !m.removed && !d.faulty(m) {
			all = append(all, m)
		}
	}
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, d.namedMachine(step)); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(n, len(all))]
}

func (d *day) machineCount(step *dayStep, share float64) int {
	if step.count > 0 {
		return step.count
	}
	return max(1, int(step.shareOr(share)*float64(len(d.machines))+0.5))
}

// machineFault runs the step if it is a machine fault, and reports whether it was one.
func (d *day) machineFault(step *dayStep) bool {
	switch step.verb {
	case "node_kill", "node_freeze", "node_slow", "herd_kill":
		d.failMachines(step)
	case "after_ack_kill", "after_ack_wipe":
		d.deferFault(step)
	case "reset_conns":
		d.resetConns(step)
	case "zone_loss":
		d.powerOffZone(step)
	case "zone_cut":
		d.partitionZone(step)
	case "disk_full", "disk_stall", "disk_slow":
		d.onCoreMember(step, func(m *machine) { d.recordUnplanned(step.forUs); d.diskFault(step, m) })
	case "clock_step":
		d.clockFault(step)
	case "core_cut", "node_cut":
		d.partitionMachines(step)
	default:
		return false
	}
	return true
}

func (d *day) failMachines(step *dayStep) {
	inject := func(m *machine) {
		// The fault is recorded only now because it may have been delayed.
		d.recordUnplanned(step.forUs)
		switch {
		case step.verb == "node_freeze":
			m.freeze(true)
			d.endFaultAfter(step, m, step.forUs, func() { m.freeze(false) })
		case step.verb == "node_slow":
			m.slow(int64(step.factorOr(5) * slowStepUs))
			d.endFaultAfter(step, m, step.forUs, func() { m.slow(0) })
		case step.has("power"):
			m.powerOff()
			d.endFaultAfter(step, m, step.forUs, m.powerOn)
		default:
			m.kill()
			d.endFaultAfter(step, m, restartUs, m.start)
		}
	}
	switch {
	case step.verb == "herd_kill" && step.has("taken"):
		d.onNextAccept(func(*machine) {
			d.recordUnplanned(step.forUs)
			d.eachCoreMember(func(m *machine) { m.powerOff(); d.endFaultAfter(step, m, restartUs, m.powerOn) })
		})
	case step.verb == "herd_kill" && step.on == "core":
		d.eachCoreMember(inject)
	case step.verb == "herd_kill":
		// The processes of all machines, or of a share of them, are killed at the same moment and restart soon.
		for _, m := range d.machines {
			if step.share == 0 || d.sim.rng.Float64() < step.share {
				inject(m)
			}
		}
	case step.on == "core":
		for range max(1, step.count) {
			d.onCoreMember(step, inject)
		}
	default:
		for _, m := range d.drawOthers(step, d.machineCount(step, 0.1)) {
			inject(m)
		}
	}
}

// failAfterAck kills the given machine or cuts its power within 4 ms, and with after_ack_wipe also wipes its disk. It is
// called at the event that triggers the fault, such as the machine's acknowledgement of a change. If the deployment
// does not tolerate the loss at that time, the fault is deferred again.
func (d *day) failAfterAck(step *dayStep, m *machine) {
	d.sim.after(d.sim.rng.Int64N(4000), func() {
		if d.toleratedFaults(m) < 1 || m.poweredOff || m.draining {
			d.deferFault(step)
			return
		}
		d.recordUnplanned(step.forUs)
		d.sim.Checker.Count("troubled."+step.verb, 1)
		if step.has("kill") {
			m.kill()
			d.endFaultAfter(step, m, max(restartUs, step.forUs), m.start)
			return
		}
		m.powerOff()
		if step.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.endFaultAfter(step, m, step.forUs, m.powerOn)
		d.failFurtherMembers(step)
	})
}

func (d *day) diskFault(step *dayStep, m *machine) {
	if m.core.disk == nil {
		return
	}
	set := func(mode diskMode, slow clock.Micros) {
		m.core.disk.mode, m.core.disk.extraDelay = mode, slow
		m.core.disk.startNext()
		m.recordEvent()
		d.updateFaultSpans()
	}
	switch step.verb {
	case "disk_full":
		set(diskFull, 0)
	case "disk_stall":
		set(diskStalled, 0)
	default:
		set(diskOK, int64(step.factorOr(20)*float64(d.site.syncUs)))
	}
	d.endFaultAfter(step, m, step.forUs, func() { set(diskOK, 0) })
}
