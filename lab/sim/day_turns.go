// Planned work on machines: stops in turn, cores replaced by empty machines at
// other addresses, other seeds; and the faults that close a day.

package sim

import (
	"fmt"
	"slices"

	"wallport/lab/rules"
	"wallport/runtime/kernel"
)

var stopping = kernel.Stopping{}

// roll stops machines in turn and starts them again, or not.
func (d *day) roll(e *entry) {
	all := append([]*machine(nil), d.machines...)
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := max(1, int(e.shareOr(1)*float64(len(all))+0.5))
	e.until = d.w.now + busyWithin*int64(n)
	d.rollNext(e, all[:min(n, len(all))])
}

func (d *day) rollNext(e *entry, rest []*machine) {
	if len(rest) == 0 {
		return
	}
	m := rest[0]
	if m.counted() && d.borne(m) < 1 || m.dark || m.gone || m.stops || !m.node.runs() {
		if m.gone {
			rest = rest[1:]
		}
		d.w.after(waitTurn, func() { d.rollNext(e, rest) })
		return
	}
	if e.is("busy") && len(d.gates[m.node].runs) == 0 && d.w.now < e.until {
		d.w.after(1000, func() { d.rollNext(e, rest) })
		return
	}
	d.w.Judge.Count("rolled", 1)
	m.term(func() {
		if e.is("remove") && !m.counted() {
			m.gone = true
			return
		}
		d.later(e, m, restartUs, m.start)
	})
	d.look()
	d.w.after(e.gapUs, func() { d.rollNext(e, rest[1:]) })
}

// turnSeeds names other machines that serve control as seeds; running processes read that too.
func (d *day) turnSeeds() { d.turnSeedsTo(nil) }

// turnSeedsTo lets the new seeds begin with one machine.
func (d *day) turnSeedsTo(first *machine) {
	var list []string
	all := d.cores()
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, first); i > 0 {
		all[0], all[i] = all[i], all[0]
	}
	for _, m := range all {
		if len(list) < 3 {
			list = append(list, m.core.env.Mesh)
		}
	}
	d.seedList = list
	for _, m := range d.machines {
		m.seeds(list)
		for _, p := range m.procs() {
			p.later(d.w.rnd.Int64N(1_000_000), func() { p.step(kernel.SeedsChanged{Seeds: append([]string(nil), p.env.Seeds...)}) })
		}
	}
}

// replace takes a counted machine away for good and adds an empty one at another address.
func (d *day) replace(e *entry) {
	d.onCounted(e, func(m *machine) {
		add := func() {
			m.gone = true
			d.newCore(m)
		}
		switch {
		case e.is("planned"):
			// The new one comes first, and then the old one is stopped.
			d.newCore(m)
			d.w.after(int64(e.xOr(1)*1e6), func() { m.term(func() { m.gone = true; d.look() }) })
			return
		case e.is("term"):
			m.term(add)
			return
		}
		d.trouble(e.forUs)
		m.powerOff()
		d.w.after(int64(e.xOr(1)*1e6), add)
	})
}

// newCore adds an empty machine beside one that counts, or in its place.
func (d *day) newCore(m *machine) {
	n := d.addMachine(fmt.Sprintf("%s-%d", m.zone, 50+len(d.machines)), m.zone, fmt.Sprintf("10.9.0.%d", len(d.machines)), true, m.hasDisk)
	d.turnSeeds()
	n.seeds(d.seedList)
	n.start()
	n.event()
	d.look()
}

// closingWait is how long a closing fault that takes disks waits its turn behind other losses; then
// it is cut down.
const closingWait = 4_000_000

// close is the fault at a day's end, right after one more change was acknowledged. One that would
// take more counted machines at once than the deployment bears waits its turn, as all troubles do.
func (d *day) close(since int64) {
	o := &d.oper
	wipes := d.w.Script.Text("closing", "") == "wipe_after_ack"
	if wipes && d.borne(nil) < d.site.tolerance[0] && d.w.now-since < closingWait {
		d.w.after(waitTurn, func() { d.close(since) })
		return
	}
	how := d.w.Script.Text("closing_how", "")
	switch how {
	case "taken":
		d.armTaken(d.strikeAll)
		return
	case "timed":
		o.sentArmed = append(o.sentArmed, func() { d.w.after(d.timed(), func() { d.strikeAll(d.leader()) }) })
	default:
		o.armed = append(o.armed, func(m *machine) { d.w.after(d.w.rnd.Int64N(4000), func() { d.strikeAll(m) }) })
	}
	o.change("route")
}

func (d *day) strikeAll(acked *machine) {
	w := d.w
	kind, down := w.Script.Text("closing", "power_off_all"), w.Script.Int("down_ms", 1500)*1000
	d.trouble(rules.Never - w.now)
	w.note("closing fault " + kind)
	w.Judge.Count("closing."+kind, 1)
	var on []*machine
	switch kind {
	case "kill_all":
		for _, m := range d.machines {
			m.kill()
			on = append(on, m)
		}
	case "wipe_after_ack":
		// As many as are borne lose their disks, the one that acknowledged among them; the others that count
		// lose power at times.
		lost := d.site.tolerance[0] - max(0, d.borne(nil))
		for _, m := range append([]*machine{acked}, d.machines...) {
			if m == nil || !m.counted() || m.dark || m.gone {
				continue
			}
			if lost < d.site.tolerance[0] {
				lost++
				m.powerOff()
				m.wipe()
				on = append(on, m)
			} else if w.Script.Text("closing_how", "") == "power" {
				m.powerOff()
				on = append(on, m)
			}
		}
	default:
		for _, m := range d.machines {
			m.powerOff()
			on = append(on, m)
		}
	}
	c := &rules.Closing{At: w.now, Back: w.now + down}
	d.journal.Closing = c
	w.after(down, func() {
		for _, m := range on {
			w.after(w.rnd.Int64N(100_000), func() { m.dark = false; m.start(); d.look() })
		}
	})
	d.look()
}
