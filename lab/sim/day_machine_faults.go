// Troubles of machines: kills, lost power, lost disks, freezes, stops in turn,
// cuts, disks and clocks. What would lose more counted machines at once than
// the deployment bears waits its turn.

package sim

import "slices"

const faultRetryUs = 300_000

// faulty tells that a machine counts as lost: it is in trouble or was until a moment ago.
func (d *day) faulty(m *machine) bool {
	return d.journal.Faults.Of(m.name).Hit(d.world.now-d.settings.Bounds.SyncTime, d.world.now)
}

// toleratedFaults counts the counted machines that may be lost beside those that are.
func (d *day) toleratedFaults(except *machine) int {
	n := d.site.tolerance[0]
	for _, m := range d.machines {
		if m.coreMember() && m != except && d.faulty(m) {
			n--
		}
	}
	return n
}

// leader is the machine that acknowledged last, or else the one that owns the configuration.
func (d *day) leader() *machine {
	if m := d.commands.last; m != nil && m.coreMember() && !d.faulty(m) {
		return m
	}
	for _, m := range d.machines {
		if m.coreMember() && m.core.replicas != nil && m.core.up && m.core.replicas.Leads(0) {
			return m
		}
	}
	return nil
}

// drawCoreMember picks a counted machine that is well.
func (d *day) drawCoreMember(e *dayStep) *machine {
	if m := d.namedMachine(e); m != nil && m.coreMember() && !d.faulty(m) {
		return m
	}
	var well []*machine
	for _, m := range d.machines {
		if m.coreMember() && !d.faulty(m) {
			well = append(well, m)
		}
	}
	if len(well) == 0 {
		return nil
	}
	return well[d.world.rng.IntN(len(well))]
}

// counted does something to counted machines, as many as are borne, in turn.
func (d *day) onCoreMember(e *dayStep, f func(m *machine)) {
	m := d.drawCoreMember(e)
	if m == nil || d.toleratedFaults(nil) < 1 {
		d.world.after(faultRetryUs, func() { d.onCoreMember(e, f) })
		return
	}
	d.world.Checker.Count("troubled."+e.verb, 1)
	f(m)
	d.updateFaultSpans()
}

// drawOthers draws machines that do not count.
func (d *day) drawOthers(e *dayStep, n int) (out []*machine) {
	var all []*machine
	for _, m := range d.machines {
		if !m.coreMember() && !m.removed && !d.faulty(m) {
			all = append(all, m)
		}
	}
	d.world.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, d.namedMachine(e)); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(n, len(all))]
}

func (d *day) machineCount(e *dayStep, share float64) int {
	if e.count > 0 {
		return e.count
	}
	return max(1, int(e.shareOr(share)*float64(len(d.machines))+0.5))
}

// machineFault brings a trouble of machines about.
func (d *day) machineFault(e *dayStep) bool {
	switch e.verb {
	case "node_kill", "node_freeze", "node_slow", "herd_kill":
		d.strike(e)
	case "after_ack_kill", "after_ack_wipe":
		d.arm(e)
	case "reset_conns":
		d.resetConns(e)
	case "zone_loss":
		d.loseZone(e)
	case "zone_cut":
		d.partitionZone(e)
	case "disk_full", "disk_stall", "disk_slow":
		d.onCoreMember(e, func(m *machine) { d.recordUnplanned(e.forUs); d.diskFault(e, m) })
	case "clock_step":
		d.clockFault(e)
	case "core_cut", "node_cut":
		d.partitionMachines(e)
	default:
		return false
	}
	return true
}

func (d *day) strike(e *dayStep) {
	hit := func(m *machine) {
		// It may have waited its turn.
		d.recordUnplanned(e.forUs)
		switch {
		case e.verb == "node_freeze":
			m.freeze(true)
			d.endFaultAfter(e, m, e.forUs, func() { m.freeze(false) })
		case e.verb == "node_slow":
			m.slow(int64(e.factorOr(5) * slowStepUs))
			d.endFaultAfter(e, m, e.forUs, func() { m.slow(0) })
		case e.has("power"):
			m.powerOff()
			d.endFaultAfter(e, m, e.forUs, m.powerOn)
		default:
			m.kill()
			d.endFaultAfter(e, m, restartUs, m.start)
		}
	}
	switch {
	case e.verb == "herd_kill" && e.has("taken"):
		d.armTaken(func(*machine) {
			d.recordUnplanned(e.forUs)
			d.eachCoreMember(func(m *machine) { m.powerOff(); d.endFaultAfter(e, m, restartUs, m.powerOn) })
		})
	case e.verb == "herd_kill" && e.on == "core":
		d.eachCoreMember(hit)
	case e.verb == "herd_kill":
		// All processes at the same moment, or a share of them; the core's own are back at once.
		for _, m := range d.machines {
			if e.share == 0 || d.world.rng.Float64() < e.share {
				hit(m)
			}
		}
	case e.on == "core":
		for range max(1, e.count) {
			d.onCoreMember(e, hit)
		}
	default:
		for _, m := range d.drawOthers(e, d.machineCount(e, 0.1)) {
			hit(m)
		}
	}
}

// strikeAfterAck takes the power from the machine that has just acknowledged, a moment later.
func (d *day) strikeAfterAck(e *dayStep, m *machine) {
	d.world.after(d.world.rng.Int64N(4000), func() {
		if d.toleratedFaults(m) < 1 || m.poweredOff || m.draining {
			d.arm(e)
			return
		}
		d.recordUnplanned(e.forUs)
		d.world.Checker.Count("troubled."+e.verb, 1)
		if e.has("kill") {
			m.kill()
			d.endFaultAfter(e, m, max(restartUs, e.forUs), m.start)
			return
		}
		m.powerOff()
		if e.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.endFaultAfter(e, m, e.forUs, m.powerOn)
		d.strikeFurther(e)
	})
}

func (d *day) diskFault(e *dayStep, m *machine) {
	if m.core.disk == nil {
		return
	}
	set := func(mode string, slow int64) {
		m.core.disk.mode, m.core.disk.extraDelay = mode, slow
		m.core.disk.startNext()
		m.recordEvent()
		d.updateFaultSpans()
	}
	switch e.verb {
	case "disk_full":
		set("full", 0)
	case "disk_stall":
		set("stalled", 0)
	default:
		set("", int64(e.factorOr(20)*float64(d.site.syncUs)))
	}
	d.endFaultAfter(e, m, e.forUs, func() { set("", 0) })
}
