// Clocks that step, and machines that are cut off.

package sim

import "fmt"

// clock steps the time of day on some machines, and back.
func (d *day) clock(e *entry) {
	d.trouble(e.forUs)
	us := int64(e.xOr(2000) * 1000)
	if e.is("back") {
		us = -us
	}
	var hit []*machine
	if m := d.leader(); e.is("leader") && m != nil {
		hit = append(hit, m)
	}
	for _, m := range d.machines {
		if d.w.rnd.Float64() < e.shareOr(0.3) && (len(hit) == 0 || m != hit[0]) {
			hit = append(hit, m)
		}
	}
	step := func(us int64) {
		for _, m := range hit {
			m.skew += us
			m.event()
			for _, p := range m.procs() {
				p.skew = m.skew
			}
		}
	}
	step(us)
	d.w.after(e.forUs, func() { step(-us) })
}

// cutMachines cuts counted machines off from each other, or others from the counted ones.
func (d *day) cutMachines(e *entry) {
	cut := func(m *machine) {
		// It may have waited its turn.
		d.trouble(e.forUs)
		var ways []string
		for _, c := range d.machines {
			if c == m || !c.counted() {
				continue
			}
			ways = append(ways, m.name+">"+c.name)
			if !e.is("one_way") {
				ways = append(ways, c.name+">"+m.name)
			}
		}
		d.block(ways, true, e.is("reset"))
		d.refuse(ways, e.is("refuse"))
		m.event()
		d.cutWays(e, m)
		d.during(e, m)
		d.later(e, m, e.forUs, func() { d.block(ways, false, false); d.refuse(ways, false); m.event(); d.look() })
	}
	if e.verb == "core_cut" {
		d.onCounted(e, cut)
		return
	}
	if e.is("servers") {
		d.trouble(e.forUs)
		d.cutServers(e)
		return
	}
	for _, m := range d.others(e, d.number(e, 0.1)) {
		cut(m)
	}
}

// block closes or opens ways; with reset the connections on them end at once.
func (d *day) block(ways []string, on, reset bool) {
	for _, way := range ways {
		d.cuts[way] = on
	}
	if reset {
		d.w.net.breakCut()
	}
	d.w.note(fmt.Sprint("cuts ", on, " ", ways))
}
