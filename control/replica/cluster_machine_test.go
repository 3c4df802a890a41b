// A simulated machine: one process with its clock, disk and network links.

package replica

import (
	"fmt"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// simMachine is a machine with a disk and, while it is up, a process on it.
type simMachine struct {
	cluster      *simCluster
	addr, zone   string
	disk         map[string][]byte
	mayBootstrap bool
	up           bool
	stopping     bool
	incarnation  int
	upAt         clock.Micros
	kernel       *kernel.Kernel
	host         *Host
	writes       []kernel.Write
	writing      bool
}

type simLink struct {
	ends         [2]*simMachine
	incarnations [2]int
	ids          [2]uint64
	last         [2]clock.Micros
}

func (m *simMachine) clock() clock.Micros { return m.cluster.now - m.upAt }

func (m *simMachine) start() {
	c := m.cluster
	if m.up {
		return
	}
	m.incarnation++
	m.up, m.stopping, m.upAt, m.writes, m.writing = true, false, c.now, nil, false
	var seeds []string
	for _, other := range c.machines[:3] {
		if other != m {
			seeds = append(seeds, other.addr)
		}
	}
	key := make([]byte, 32)
	for i := range key {
		key[i] = byte(c.random.Uint32())
	}
	files := map[string][]byte{}
	for name, content := range m.disk {
		files[name] = content
	}
	m.kernel = kernel.New(kernel.Boot{
		Settings: settings.Settings{
			Name: m.addr, Mesh: m.addr, Zone: m.zone, DataDir: "disk", Seeds: seeds,
			BootstrapKnown: true, Bootstrap: m.mayBootstrap, Tolerance: c.shape.tolerance,
		},
		Role: "core", Seed: c.random.Uint64(), Key: kernel.KeyFrom(key), Files: files,
	})
	m.mayBootstrap = false
	m.host = kernel.Find[*Host](m.kernel)
	c.log(m.addr + " starts")
	m.step(kernel.Start{})
	m.schedule(c.random.Int64N(simPullEvery), m.pull)
}

// kill ends the process immediately; writes that are not synced are lost.
func (m *simMachine) kill() {
	if m.up {
		m.cluster.log(m.addr + " is killed")
		m.up = false
		m.incarnation++
	}
}

func (m *simMachine) wipe() {
	m.cluster.log(m.addr + " loses its disk")
	m.disk = map[string][]byte{}
}

// terminate starts a planned stop: the process ends once it has left its groups, or after LeaveTimeout.
func (m *simMachine) terminate() {
	if !m.up || m.stopping {
		return
	}
	m.stopping = true
	m.cluster.log(m.addr + " begins a planned stop")
	m.step(kernel.Stopping{})
	m.awaitLeft(m.cluster.now + LeaveTimeout)
}

func (m *simMachine) awaitLeft(until clock.Micros) {
	if m.host.HasLeft() || m.cluster.now >= until {
		m.kill()
		return
	}
	m.schedule(10*clock.Millisecond, func() { m.awaitLeft(until) })
}

func (m *simMachine) schedule(d clock.Micros, run func()) {
	expected := m.incarnation
	m.cluster.after(d, func() {
		if m.incarnation == expected {
			run()
		}
	})
}

// pull stands in for the configuration sync, which announces a process to the others.
func (m *simMachine) pull() {
	m.schedule(simPullEvery, m.pull)
	pull := wire.Pull{Addr: m.addr, Zone: m.zone}
	if m.host.diskProblem == "" && !m.stopping {
		pull.Replica = m.host.replicaID
	}
	for _, other := range m.cluster.machines {
		if other != m {
			m.send(kernel.Send{Addr: other.addr, Data: wire.Seal(wire.KindPull, 0, &pull)})
		}
	}
}

func (m *simMachine) step(in kernel.Input) {
	c := m.cluster
	out := m.kernel.Step(m.clock(), simWallStart+c.now, in)
	for _, n := range out.LogEvents {
		c.log(m.addr + " " + n.Event + " " + fmt.Sprint(n.Fields...))
	}
	for _, timer := range out.Timers {
		m.schedule(timer.At-m.clock(), func() { m.step(timer.Tick) })
	}
	m.writes = append(m.writes, out.Writes...)
	m.write()
	for _, send := range out.Sends {
		m.send(send)
	}
	c.check(m)
}

// write executes the writes one after the other, and reports each one after it is synced.
func (m *simMachine) write() {
	if m.writing || len(m.writes) == 0 {
		return
	}
	m.writing = true
	w := m.writes[0]
	m.schedule(simSyncTime+m.cluster.random.Int64N(simSyncTime), func() {
		m.writes, m.writing = m.writes[1:], false
		if w.Data == nil {
			delete(m.disk, w.File)
		} else {
			m.disk[w.File] = w.Data
		}
		if w.Key != "" {
			m.step(kernel.Written{Plugin: w.Plugin, Key: w.Key})
		}
		m.write()
	})
}

func (l *simLink) alive() bool {
	return l.ends[0].incarnation == l.incarnations[0] && l.ends[1].incarnation == l.incarnations[1] && l.ends[0].up && l.ends[1].up
}

func (m *simMachine) send(s kernel.Send) {
	c := m.cluster
	if s.Conn == operatorChanID {
		c.handleReply(s.Data)
		return
	}
	link := c.links[s.Conn]
	if s.Addr != "" {
		key := m.addr + ">" + s.Addr
		link = c.direct[key]
		to := c.byAddr[s.Addr]
		if to == nil || !to.up {
			return
		}
		if link == nil || !link.alive() {
			c.nextLink += 2
			link = &simLink{ends: [2]*simMachine{m, to}, incarnations: [2]int{m.incarnation, to.incarnation}, ids: [2]uint64{c.nextLink, c.nextLink + 1}}
			c.links[c.nextLink], c.links[c.nextLink+1], c.direct[key] = link, link, link
		}
	}
	if link != nil && link.alive() {
		link.deliver(m, s.Data)
	}
}

func (l *simLink) deliver(from *simMachine, data []byte) {
	c, i := from.cluster, 0
	if l.ends[1] == from {
		i = 1
	}
	l.last[i] = max(l.last[i], c.now+simLatency+c.random.Int64N(simLatency))
	c.after(l.last[i]-c.now, func() {
		if l.alive() {
			l.ends[1-i].step(kernel.Received{Conn: l.ids[1-i], Data: data})
		}
	})
}
