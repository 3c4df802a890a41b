// Planned work on machines: rolling restarts, replacement of cores by empty machines at other addresses, and
// changes of the seeds. Also the closing faults, which end a day.

package sim

import (
	"fmt"
	"slices"

	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

var stopping = kernel.Stopping{}

// roll gracefully stops random machines one after another and starts them again. With "remove", machines that are not
// core members are removed and not started again.
func (d *day) roll(step *dayStep) {
	all := append([]*machine(nil), d.machines...)
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := max(1, int(step.shareOr(1)*float64(len(all))+0.5))
	step.until = d.sim.now + maxBusyWait*int64(n)
	d.rollNext(step, all[:min(n, len(all))])
}

func (d *day) rollNext(step *dayStep, remaining []*machine) {
	if len(remaining) == 0 {
		return
	}
	m := remaining[0]
	if m.coreMember() && d.toleratedFaults(m) < 1 || m.poweredOff || m.removed || m.draining || !m.node.running() {
		if m.removed {
			remaining = remaining[1:]
		}
		d.sim.after(faultRetryUs, func() { d.rollNext(step, remaining) })
		return
	}
	if step.has("busy") && len(d.gateways[m.node].requests) == 0 && d.sim.now < step.until {
		d.sim.after(1000, func() { d.rollNext(step, remaining) })
		return
	}
	d.sim.Checker.Count("rolled", 1)
	m.stop(func() {
		if step.has("remove") && !m.coreMember() {
			m.removed = true
			return
		}
		d.endFaultAfter(step, m, restartUs, m.start)
	})
	d.updateFaultSpans()
	d.sim.after(step.gapUs, func() { d.rollNext(step, remaining[1:]) })
}

// rotateSeeds makes random core machines the seeds. Running processes learn of the change within 1 s.
func (d *day) rotateSeeds() { d.rotateSeedsTo(nil) }

// rotateSeedsTo is like rotateSeeds, but makes the given machine the first seed.
func (d *day) rotateSeedsTo(first *machine) {
	var list []string
	all := d.listedCores()
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, first); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	for _, m := range all {
		if len(list) < 3 {
			list = append(list, m.core.settings.Mesh)
		}
	}
	d.seeds = list
	for _, m := range d.machines {
		m.setSeeds(list)
		for _, p := range m.processes() {
			p.deliverAfter(d.sim.rng.Int64N(clock.Second), func() { p.step(kernel.SeedsChanged{Seeds: append([]string(nil), p.settings.Seeds...)}) })
		}
	}
}

// replace removes a core member for good and adds a machine with an empty disk at another address.
func (d *day) replace(step *dayStep) {
	d.onCoreMember(step, func(m *machine) {
		add := func() {
			m.removed = true
			d.newCore(m)
		}
		switch {
		case step.has("planned"):
			// The new machine starts first; then the old one is stopped.
			d.newCore(m)
			d.sim.after(int64(step.factorOr(1)*1e6), func() { m.stop(func() { m.removed = true; d.updateFaultSpans() }) })
			return
		case step.has("term"):
			m.stop(add)
			return
		}
		d.recordUnplanned(step.forUs)
		m.powerOff()
		d.sim.after(int64(step.factorOr(1)*1e6), add)
	})
}

// newCore adds a core machine with an empty disk in the zone of m.
func (d *day) newCore(m *machine) {
	n := d.addMachine(fmt.Sprintf("%s-%d", m.zone, 50+len(d.machines)), m.zone, fmt.Sprintf("10.9.0.%d", len(d.machines)), true, m.hasDisk)
	d.rotateSeeds()
	n.setSeeds(d.seeds)
	n.start()
	n.recordEvent()
	d.updateFaultSpans()
}

// maxClosingWait bounds how long a closing fault that wipes disks waits for earlier losses to end; after that it
// wipes fewer disks.
const maxClosingWait = 4 * clock.Second

// scheduleClosingFault sets the event that triggers the closing fault: the next accepted request, or the sending or the
// acknowledgement of one more change, which it then sends. A fault that wipes disks first waits for earlier losses to
// end, up to maxClosingWait.
func (d *day) scheduleClosingFault(since clock.Micros) {
	c := &d.commands
	wipes := d.sim.Script.Text("closing", "") == "wipe_after_ack"
	if wipes && d.toleratedFaults(nil) < d.site.tolerance[0] && d.sim.now-since < maxClosingWait {
		d.sim.after(faultRetryUs, func() { d.scheduleClosingFault(since) })
		return
	}
	how := d.sim.Script.Text("closing_how", "")
	switch how {
	case "taken":
		d.onNextAccept(d.injectClosingFault)
		return
	case "timed":
		c.sendHooks = append(c.sendHooks, func() { d.sim.after(d.drawDelayAfterSend(), func() { d.injectClosingFault(d.leader()) }) })
	default:
		c.ackHooks = append(c.ackHooks, func(m *machine) { d.sim.after(d.sim.rng.Int64N(4000), func() { d.injectClosingFault(m) }) })
	}
	c.change("route")
}

func (d *day) injectClosingFault(acked *machine) {
	sim := d.sim
	kind, down := sim.Script.Text("closing", "power_off_all"), sim.Script.Int("down_ms", 1500)*clock.Millisecond
	d.recordUnplanned(rules.Never - sim.now)
	sim.logEvent("closing fault " + kind)
	sim.Checker.Count("closing."+kind, 1)
	var restarted []*machine
	switch kind {
	case "kill_all":
		for _, m := range d.machines {
			m.kill()
			restarted = append(restarted, m)
		}
	case "wipe_after_ack":
		// As many core members as the deployment tolerates lose their disks, starting with the one that acknowledged.
		// The other core members lose power if closing_how is "power".
		lost := d.site.tolerance[0] - max(0, d.toleratedFaults(nil))
		for _, m := range append([]*machine{acked}, d.machines...) {
			if m == nil || !m.coreMember() || m.poweredOff || m.removed {
				continue
			}
			if lost < d.site.tolerance[0] {
				lost++
				m.powerOff()
				m.wipe()
				restarted = append(restarted, m)
			} else if sim.Script.Text("closing_how", "") == "power" {
				m.powerOff()
				restarted = append(restarted, m)
			}
		}
	default:
		for _, m := range d.machines {
			m.powerOff()
			restarted = append(restarted, m)
		}
	}
	c := &rules.FinalFault{At: sim.now, Back: sim.now + down}
	d.journal.FinalFault = c
	sim.after(down, func() {
		for _, m := range restarted {
			sim.after(sim.rng.Int64N(100*clock.Millisecond), func() { m.poweredOff = false; m.start(); d.updateFaultSpans() })
		}
	})
	d.updateFaultSpans()
}
