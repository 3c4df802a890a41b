// The machines of a day: a node on each, a core on the first of each zone, one
// disk for both; what happens to a machine happens to both processes.

package sim

import (
	"fmt"
	"math"

	"wallport/control/replica"
)

// restartUs is how soon an ended process is started again.
const restartUs = 250_000

type machine struct {
	d          *day
	name, zone string
	hasDisk    bool
	node, core *proc
	dark, gone bool
	stops      bool
	skew       int64
}

type shownCores struct {
	at    int64
	cores []*machine
}

func (d *day) buildMachines() {
	for zi, z := range d.site.zones {
		cores := int(math.Ceil(d.site.coreShare * float64(z.machines)))
		for i := range z.machines {
			m := d.addMachine(fmt.Sprintf("%s-%d", z.name, i+1), z.name, fmt.Sprintf("10.%d.0.%d", zi+1, i+1), i < cores, i < z.disks)
			if m.core != nil && len(d.seedList) < 3 && (i == 0 || len(d.site.zones) == 1) {
				d.seedList = append(d.seedList, m.core.env.Mesh)
			}
		}
	}
	for _, m := range d.machines {
		m.seeds(d.seedList)
	}
	d.listCores()
}

func (d *day) addMachine(name, zone, ip string, core, disk bool) *machine {
	m := &machine{d: d, name: name, zone: zone, hasDisk: disk}
	m.node = m.add("node", ip+":7080")
	if core {
		m.core = m.add("core", ip+":7081")
	}
	d.machines = append(d.machines, m)
	d.byName[name] = m
	return m
}

func (m *machine) add(role, addr string) *proc {
	w := m.d.w
	e := m.d.env
	e.Name, e.Zone, e.Mesh, e.Operator = m.name+"/"+role, m.zone, addr, addr+"0"
	p := &proc{w: w, name: e.Name, role: role, env: e, index: int64(len(w.names)), machine: m}
	if role == "core" {
		p.env.PlatformURL = ""
		if m.hasDisk {
			p.env.DataDir = "disk"
			p.disk = newDisk(p)
			p.disk.base = m.d.site.syncUs
		}
	}
	w.procs[p.name] = p
	w.names = append(w.names, p.name)
	w.byAddr[addr] = p
	return p
}

func (m *machine) procs() []*proc {
	if m.core == nil {
		return []*proc{m.node}
	}
	return []*proc{m.node, m.core}
}

// counted tells that the machine is one of the core.
func (m *machine) counted() bool { return m.core != nil && (m.hasDisk || !m.d.anyDisk()) && !m.gone }

func (d *day) anyDisk() bool {
	for _, m := range d.machines {
		if m.hasDisk && m.core != nil {
			return true
		}
	}
	return false
}

func (m *machine) seeds(list []string) {
	for _, p := range m.procs() {
		p.env.Seeds = nil
		for _, s := range list {
			if s != p.env.Mesh {
				p.env.Seeds = append(p.env.Seeds, s)
			}
		}
	}
}

// start starts what does not run; a machine without power has none to start.
func (m *machine) start() {
	if m.gone || m.dark {
		return
	}
	m.stops = false
	for _, p := range m.procs() {
		p.env.Bootstrap = m.d.env.Bootstrap
		p.skew = m.skew
		if !p.up {
			m.event()
			p.start()
		}
	}
}

// event notes something that unsettles a core and puts the machine out of touch for a while.
func (m *machine) event() {
	d := m.d
	if d.w.now < leadUs/4 && d.env.Bootstrap {
		return
	}
	d.journal.Touch.Of(m.name).Moment(d.w.now)
	if m.counted() {
		d.journal.Touch.Unsettled.Moment(d.w.now)
	}
}

// kill ends both processes at once.
func (m *machine) kill() {
	m.event()
	for _, p := range m.procs() {
		p.kill()
	}
	m.d.look()
}

// powerOff ends both without a word to anyone; the disk keeps what was synced.
func (m *machine) powerOff() {
	m.dark = true
	for _, p := range m.procs() {
		if p.disk != nil {
			p.disk.powerLoss()
		}
	}
	m.kill()
}

func (m *machine) powerOn() {
	m.dark = false
	m.start()
	m.d.look()
}

func (m *machine) wipe() {
	if m.core != nil && m.core.disk != nil {
		m.core.disk.lose()
		m.d.w.note(m.name + " loses its disk")
	}
}

func (m *machine) freeze(on bool) {
	m.event()
	for _, p := range m.procs() {
		if on {
			p.freeze()
		} else {
			p.thaw()
		}
	}
	m.d.look()
}

// afterGrace is how long after the grace of a planned stop its work still counts as planned.
const afterGrace = 1_000_000

// term is the planned stop: each process ends by itself, or is killed when the grace is over.
func (m *machine) term(then func()) {
	if m.stops || m.dark || m.gone {
		return
	}
	m.event()
	m.stops = true
	m.d.planFor(m.d.journal.Bounds.GraceUs + afterGrace)
	w := m.d.w
	for _, p := range m.procs() {
		if !p.runs() {
			continue
		}
		life := p.life
		if p.role == "node" {
			m.d.gates[p].stop()
		} else {
			p.drains = true
			w.note(p.name + " drains")
			p.step(stopping)
			p.leaveGroups(w.now + replica.LeaveWithin)
		}
		w.after(m.d.journal.Bounds.GraceUs, func() {
			if p.up && p.life == life {
				w.Judge.Count("ended_after_grace", 1)
				p.kill()
			}
		})
	}
	m.ended(then)
}

// lastFramesUs is how long the last frames of a core that stops have to leave it.
const lastFramesUs = 50_000

// leaveGroups ends a core once it leads nothing and votes nowhere, or once its time for that is over.
func (p *proc) leaveGroups(until int64) {
	if !p.seats.HasLeft() && p.w.now < until {
		p.later(10_000, func() { p.leaveGroups(until) })
		return
	}
	p.later(lastFramesUs, p.kill)
}

// ended waits until both processes have.
func (m *machine) ended(then func()) {
	for _, p := range m.procs() {
		if p.up {
			m.d.w.after(50_000, func() { m.ended(then) })
			return
		}
	}
	m.event()
	m.stops = false
	then()
}
