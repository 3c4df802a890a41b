// The machines of a day. Each runs a node, and the first machines of each zone also run a core, which uses the disk
// if the machine has one. A fault of a machine affects both processes.

package sim

import (
	"fmt"
	"math"

	"wallport/control/replica"
	"wallport/runtime/clock"
)

// restartUs is the time after which a process that has ended is restarted.
const restartUs = 250 * clock.Millisecond

type machine struct {
	day                 *day
	name, zone          string
	hasDisk             bool
	node, core          *process
	poweredOff, removed bool
	draining            bool
	skew                clock.Micros
}

type publishedCoreList struct {
	at    clock.Micros
	cores []*machine
}

func (d *day) buildMachines() {
	for zi, z := range d.site.zones {
		cores := int(math.Ceil(d.site.coreShare * float64(z.machines)))
		for i := range z.machines {
			m := d.addMachine(fmt.Sprintf("%s-%d", z.name, i+1), z.name, fmt.Sprintf("10.%d.0.%d", zi+1, i+1), i < cores, i < z.disks)
			if m.core != nil && len(d.seeds) < 3 && (i == 0 || len(d.site.zones) == 1) {
				d.seeds = append(d.seeds, m.core.settings.Mesh)
			}
		}
	}
	for _, m := range d.machines {
		m.setSeeds(d.seeds)
	}
	d.publishCores()
}

func (d *day) addMachine(name, zone, ip string, core, disk bool) *machine {
	m := &machine{day: d, name: name, zone: zone, hasDisk: disk}
	m.node = m.add(roleNode, ip+":7080")
	if core {
		m.core = m.add(roleCore, ip+":7081")
	}
	d.machines = append(d.machines, m)
	d.byName[name] = m
	return m
}

func (m *machine) add(role, addr string) *process {
	sim := m.day.sim
	e := m.day.settings
	e.Name, e.Zone, e.Mesh, e.Operator = m.name+"/"+role, m.zone, addr, addr+"0"
	p := &process{sim: sim, name: e.Name, role: role, settings: e, index: int64(len(sim.names)), machine: m}
	if role == roleCore {
		p.settings.PlatformURL = ""
		if m.hasDisk {
			p.settings.DataDir = "disk"
			p.disk = newDisk(p)
			p.disk.syncTime = m.day.site.syncUs
		}
	}
	sim.processes[p.name] = p
	sim.names = append(sim.names, p.name)
	sim.processesByAddr[addr] = p
	return p
}

func (m *machine) processes() []*process {
	if m.core == nil {
		return []*process{m.node}
	}
	return []*process{m.node, m.core}
}

// coreMember reports whether the machine has not been removed and runs a core that can be a voter: a core with a disk,
// or any core if no core machine has a disk.
func (m *machine) coreMember() bool {
	return m.core != nil && (m.hasDisk || !m.day.anyDisk()) && !m.removed
}

func (d *day) anyDisk() bool {
	for _, m := range d.machines {
		if m.hasDisk && m.core != nil {
			return true
		}
	}
	return false
}

func (m *machine) setSeeds(list []string) {
	for _, p := range m.processes() {
		p.settings.Seeds = nil
		for _, s := range list {
			if s != p.settings.Mesh {
				p.settings.Seeds = append(p.settings.Seeds, s)
			}
		}
	}
}

// start starts the processes that are not running, unless the machine is removed or has no power.
func (m *machine) start() {
	if m.removed || m.poweredOff {
		return
	}
	m.draining = false
	for _, p := range m.processes() {
		p.settings.Bootstrap = m.day.settings.Bootstrap
		p.skew = m.skew
		if !p.up {
			m.recordEvent()
			p.start()
		}
	}
}

// recordEvent records an event, such as a restart, after which the machine counts as faulty for some time. If the
// machine is a core member, the core also counts as unsettled for some time. Events of the first start are not
// recorded.
func (m *machine) recordEvent() {
	d := m.day
	if d.sim.now < trafficStartUs/4 && d.settings.Bootstrap {
		return
	}
	d.journal.Faults.Of(m.name).Instant(d.sim.now)
	if m.coreMember() {
		d.journal.Faults.Unsettled.Instant(d.sim.now)
	}
}

// kill ends both processes without a shutdown.
func (m *machine) kill() {
	m.recordEvent()
	for _, p := range m.processes() {
		p.kill()
	}
	m.day.updateFaultSpans()
}

// powerOff ends both processes without closing their connections. The disk keeps the synced data.
func (m *machine) powerOff() {
	m.poweredOff = true
	for _, p := range m.processes() {
		if p.disk != nil {
			p.disk.powerLoss()
		}
	}
	m.kill()
}

func (m *machine) powerOn() {
	m.poweredOff = false
	m.start()
	m.day.updateFaultSpans()
}

func (m *machine) wipe() {
	if m.core != nil && m.core.disk != nil {
		m.core.disk.wipe()
		m.day.sim.logEvent(m.name + " loses its disk")
	}
}

func (m *machine) freeze(on bool) {
	m.recordEvent()
	for _, p := range m.processes() {
		if on {
			p.freeze()
		} else {
			p.thaw()
		}
	}
	m.day.updateFaultSpans()
}

// graceSlack is the time after the time limit of a graceful shutdown for which the shutdown still counts as planned
// work.
const graceSlack = clock.Second

// stop begins the graceful shutdown of both processes and calls done when they have ended. A process that has not
// ended by the time limit is killed.
func (m *machine) stop(done func()) {
	if m.draining || m.poweredOff || m.removed {
		return
	}
	m.recordEvent()
	m.draining = true
	m.day.recordPlanned(m.day.journal.Bounds.GraceUs + graceSlack)
	sim := m.day.sim
	for _, p := range m.processes() {
		if !p.running() {
			continue
		}
		incarnation := p.incarnation
		if p.role == roleNode {
			m.day.gateways[p].stop()
		} else {
			p.draining = true
			sim.logEvent(p.name + " drains")
			p.step(stopping)
			p.leaveGroups(sim.now + replica.LeaveTimeout)
		}
		sim.after(m.day.journal.Bounds.GraceUs, func() {
			if p.up && p.incarnation == incarnation {
				sim.Checker.Count("ended_after_grace", 1)
				p.kill()
			}
		})
	}
	m.whenStopped(done)
}

// lastFramesUs is the time that a stopping core has to send its last frames.
const lastFramesUs = 50 * clock.Millisecond

// leaveGroups ends a core once it leads no replica group and is a voter of none, or when the given time has come.
func (p *process) leaveGroups(until clock.Micros) {
	if !p.replicas.HasLeft() && p.sim.now < until {
		p.deliverAfter(10*clock.Millisecond, func() { p.leaveGroups(until) })
		return
	}
	p.deliverAfter(lastFramesUs, p.kill)
}

// whenStopped calls done once both processes have ended.
func (m *machine) whenStopped(done func()) {
	for _, p := range m.processes() {
		if p.up {
			m.day.sim.after(50*clock.Millisecond, func() { m.whenStopped(done) })
			return
		}
	}
	m.recordEvent()
	m.draining = false
	done()
}
