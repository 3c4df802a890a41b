// Troubles of machines: kills, lost power, lost disks, freezes, stops in turn,
// cuts, disks and clocks. What would lose more counted machines at once than
// the deployment bears waits its turn.

package sim

import "slices"

const waitTurn = 300_000

// lost tells that a machine counts as lost: it is in trouble or was until a moment ago.
func (d *day) lost(m *machine) bool {
	return d.journal.Touch.Of(m.name).Hit(d.w.now-d.env.Bounds.SyncTime, d.w.now)
}

// borne counts the counted machines that may be lost beside those that are.
func (d *day) borne(except *machine) int {
	n := d.site.tolerance[0]
	for _, m := range d.machines {
		if m.counted() && m != except && d.lost(m) {
			n--
		}
	}
	return n
}

// leader is the machine that acknowledged last, or else the one that owns the configuration.
func (d *day) leader() *machine {
	if m := d.oper.last; m != nil && m.counted() && !d.lost(m) {
		return m
	}
	for _, m := range d.machines {
		if m.counted() && m.core.seats != nil && m.core.up && m.core.seats.Leads(0) {
			return m
		}
	}
	return nil
}

// draw picks a counted machine that is well.
func (d *day) draw(e *entry) *machine {
	if m := d.named(e); m != nil && m.counted() && !d.lost(m) {
		return m
	}
	var well []*machine
	for _, m := range d.machines {
		if m.counted() && !d.lost(m) {
			well = append(well, m)
		}
	}
	if len(well) == 0 {
		return nil
	}
	return well[d.w.rnd.IntN(len(well))]
}

// counted does something to counted machines, as many as are borne, in turn.
func (d *day) onCounted(e *entry, f func(m *machine)) {
	m := d.draw(e)
	if m == nil || d.borne(nil) < 1 {
		d.w.after(waitTurn, func() { d.onCounted(e, f) })
		return
	}
	d.w.Judge.Count("troubled."+e.verb, 1)
	f(m)
	d.look()
}

// others draws machines that do not count.
func (d *day) others(e *entry, n int) (out []*machine) {
	var all []*machine
	for _, m := range d.machines {
		if !m.counted() && !m.gone && !d.lost(m) {
			all = append(all, m)
		}
	}
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, d.named(e)); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:min(n, len(all))]
}

func (d *day) number(e *entry, share float64) int {
	if e.count > 0 {
		return e.count
	}
	return max(1, int(e.shareOr(share)*float64(len(d.machines))+0.5))
}

// machineTrouble brings a trouble of machines about.
func (d *day) machineTrouble(e *entry) bool {
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
		d.cutZone(e)
	case "disk_full", "disk_stall", "disk_slow":
		d.onCounted(e, func(m *machine) { d.trouble(e.forUs); d.disk(e, m) })
	case "clock_step":
		d.clock(e)
	case "core_cut", "node_cut":
		d.cutMachines(e)
	default:
		return false
	}
	return true
}

func (d *day) strike(e *entry) {
	hit := func(m *machine) {
		// It may have waited its turn.
		d.trouble(e.forUs)
		switch {
		case e.verb == "node_freeze":
			m.freeze(true)
			d.later(e, m, e.forUs, func() { m.freeze(false) })
		case e.verb == "node_slow":
			m.slow(int64(e.xOr(5) * slowStepUs))
			d.later(e, m, e.forUs, func() { m.slow(0) })
		case e.is("power"):
			m.powerOff()
			d.later(e, m, e.forUs, m.powerOn)
		default:
			m.kill()
			d.later(e, m, restartUs, m.start)
		}
	}
	switch {
	case e.verb == "herd_kill" && e.is("taken"):
		d.armTaken(func(*machine) {
			d.trouble(e.forUs)
			d.eachCounted(func(m *machine) { m.powerOff(); d.later(e, m, restartUs, m.powerOn) })
		})
	case e.verb == "herd_kill" && e.on == "core":
		d.eachCounted(hit)
	case e.verb == "herd_kill":
		// All processes at the same moment, or a share of them; the core's own are back at once.
		for _, m := range d.machines {
			if e.share == 0 || d.w.rnd.Float64() < e.share {
				hit(m)
			}
		}
	case e.on == "core":
		for range max(1, e.count) {
			d.onCounted(e, hit)
		}
	default:
		for _, m := range d.others(e, d.number(e, 0.1)) {
			hit(m)
		}
	}
}

// afterAck takes the power from the machine that has just acknowledged, a moment later.
func (d *day) afterAck(e *entry, m *machine) {
	d.w.after(d.w.rnd.Int64N(4000), func() {
		if d.borne(m) < 1 || m.dark || m.stops {
			d.arm(e)
			return
		}
		d.trouble(e.forUs)
		d.w.Judge.Count("troubled."+e.verb, 1)
		if e.is("kill") {
			m.kill()
			d.later(e, m, max(restartUs, e.forUs), m.start)
			return
		}
		m.powerOff()
		if e.verb == "after_ack_wipe" {
			m.wipe()
		}
		d.later(e, m, e.forUs, m.powerOn)
		d.more(e)
	})
}

func (d *day) disk(e *entry, m *machine) {
	if m.core.disk == nil {
		return
	}
	set := func(mode string, slow int64) {
		m.core.disk.mode, m.core.disk.slow = mode, slow
		m.core.disk.next()
		m.event()
		d.look()
	}
	switch e.verb {
	case "disk_full":
		set("full", 0)
	case "disk_stall":
		set("stalled", 0)
	default:
		set("", int64(e.xOr(20)*float64(d.site.syncUs)))
	}
	d.later(e, m, e.forUs, func() { set("", 0) })
}
