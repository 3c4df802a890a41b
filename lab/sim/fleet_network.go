// The simulated network between processes: connections that deliver frames in order and with latency, partitions in
// one or both directions, closed connections, and duplicate delivery on the mesh.

package sim

import (
	"maps"
	"slices"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type linkEnd struct {
	process     *process
	id          uint64
	incarnation int
}

type link struct {
	ends        [2]linkEnd
	mesh        bool
	addr        string
	closed      bool
	lastArrival [2]clock.Micros
}

type network struct {
	sim              *Simulation
	lastID           uint64
	links            map[uint64]*link
	direct           map[string]*link
	blocked          map[string]bool
	isolated         map[string]bool
	extraDelay       clock.Micros
	duplicatePercent int64
	// For measurements: the frames and bytes on mesh connections, and the gossip frames that carry a version of
	// partition 0 of the control state.
	frames, bytes, partitionFrames int64
}

func (n *network) init(sim *Simulation) {
	n.sim, n.links, n.direct, n.blocked = sim, map[uint64]*link{}, map[string]*link{}, map[string]bool{}
	n.isolated = map[string]bool{}
}

// stallTimeout is how long a connection survives a network partition: the write time-out of the sender.
const stallTimeout = 5 * clock.Second

// partitioned reports whether frames from a cannot reach b. An isolated process reaches the platform and the
// servers but no other process, including processes that are added later.
func (n *network) partitioned(a, b string) bool {
	if n.sim.day != nil {
		return n.sim.day.partitioned(a, b)
	}
	if n.blocked[a+">"+b] {
		return true
	}
	return a != b && (n.isolated[a] || n.isolated[b]) && n.sim.processes[a] != nil && n.sim.processes[b] != nil
}

func (n *network) latency() clock.Micros { return 150 + n.sim.rng.Int64N(600) + n.extraDelay }

// dial opens a connection and passes it to the function then, if that is not nil. If the dial of a direct connection
// fails, the function gets nil; if a mesh dial fails, the process gets a ConnDown input.
func (n *network) dial(p *process, addr string, mesh bool, then func(l *link)) {
	sim := n.sim
	fail := func(d clock.Micros) {
		p.deliverAfter(d, func() {
			if mesh {
				p.step(kernel.ConnDown{Addr: addr, Mesh: true})
			} else if then != nil {
				then(nil)
			}
		})
	}
	q := sim.processesByAddr[addr]
	if q == nil || !q.up {
		fail(n.latency())
		return
	}
	if n.partitioned(p.name, q.name) || n.partitioned(q.name, p.name) {
		fail(n.partitionDialDelay(p, q))
		return
	}
	if q.frozen {
		fail(2 * clock.Second)
		return
	}
	pIncarnation, qIncarnation := p.incarnation, q.incarnation
	sim.after(3*n.latency(), func() {
		if p.incarnation != pIncarnation || !p.up {
			return
		}
		if q.incarnation != qIncarnation || !q.up {
			fail(0)
			return
		}
		n.lastID += 2
		l := &link{mesh: mesh, addr: addr, ends: [2]linkEnd{{p, n.lastID, pIncarnation}, {q, n.lastID + 1, qIncarnation}}}
		n.links[n.lastID], n.links[n.lastID+1] = l, l
		if mesh {
			p.connected(q, n.lastID, addr, true)
			q.connected(p, n.lastID+1, p.settings.Mesh, false)
		}
		if then != nil {
			then(l)
		}
	})
}

func (n *network) send(p *process, s kernel.Send) {
	if s.Addr == "" {
		if l := n.links[s.Conn]; l != nil {
			n.transmit(l, p, s.Data)
		}
		return
	}
	key := p.name + ">" + s.Addr
	if l := n.direct[key]; l != nil && !l.closed {
		n.transmit(l, p, s.Data)
		return
	}
	incarnation := p.incarnation
	n.dial(p, s.Addr, false, func(l *link) {
		if l == nil || p.incarnation != incarnation {
			return
		}
		if old := n.direct[key]; old != nil && !old.closed {
			l = old
		} else {
			n.direct[key] = l
		}
		n.transmit(l, p, s.Data)
	})
}

// transmit sends a frame on a connection. A partition delays the frame, and closes the connection after
// stallTimeout.
func (n *network) transmit(l *link, from *process, data []byte) {
	if l.closed {
		return
	}
	i := 0
	if l.ends[1].process == from {
		i = 1
	}
	at := max(l.lastArrival[i], n.sim.now+n.latency())
	l.lastArrival[i] = at
	data = n.asLaterRelease(from, data)
	n.count(l, data)
	countFrame(from, l.ends[1-i].process, data)
	n.sim.at(at, func() { n.arrive(l, i, data, n.sim.now) })
	if l.mesh && n.duplicatePercent > 0 && n.sim.rng.Int64N(100) < n.duplicatePercent {
		n.sim.at(at+n.latency(), func() { n.arrive(l, i, data, n.sim.now) })
	}
}

func (n *network) arrive(l *link, i int, data []byte, since clock.Micros) {
	if l.closed || n.pathDisabled(l, data) {
		return
	}
	from, to := l.ends[i], l.ends[1-i]
	if from.process.incarnation != from.incarnation && n.sim.now-since > 0 {
		return
	}
	if n.partitioned(from.process.name, to.process.name) {
		if n.sim.now-since > stallTimeout {
			n.closeLink(l)
			return
		}
		n.sim.after(100*clock.Millisecond, func() { n.arrive(l, i, data, since) })
		return
	}
	if !to.process.up || to.process.incarnation != to.incarnation {
		n.closeLink(l)
		return
	}
	to.process.deliver(func() {
		if !l.closed {
			to.process.step(kernel.Received{Conn: to.id, Data: data})
		}
	})
}

// asLaterRelease adds a field to a frame from every n-th process (newer_every), as a later release of the software
// would.
func (n *network) asLaterRelease(from *process, data []byte) []byte {
	every := n.sim.Script.Int("newer_every", 0)
	if every == 0 || from.index%every != 0 || len(data) < 11 || data[10]&0xf0 != 0x80 || data[10] == 0x8f {
		return data
	}
	out := append([]byte(nil), data...)
	out[10]++
	n.sim.Checker.Count("frames_of_later_release", 1)
	out = msgp.AppendString(out, "later")
	return msgp.AppendMapStrStr(out, map[string]string{"of": "a later release"})
}

// pathDisabled reports whether the scenario has switched off the path by which this frame travels: all frames of
// the mesh (mesh_off_us), or replies to pulls (pulls_off_us).
func (n *network) pathDisabled(l *link, data []byte) bool {
	disabled := func(name string) bool { at := n.sim.Script.Int(name, 0); return at > 0 && n.sim.now >= at }
	f, err := wire.Open(data)
	return err == nil && (l.mesh && disabled("mesh_off_us") || f.Kind == wire.KindPullReply && disabled("pulls_off_us"))
}

func (n *network) closeLink(l *link) {
	if l.closed {
		return
	}
	l.closed = true
	for i, s := range l.ends {
		delete(n.links, s.id)
		if l.mesh && s.process.up && s.process.incarnation == s.incarnation {
			addr := l.addr
			if i == 1 {
				addr = l.ends[0].process.settings.Mesh
			}
			s.process.deliverAfter(n.latency(), func() { s.process.step(kernel.ConnDown{Conn: s.id, Addr: addr, Mesh: true}) })
		}
	}
}

func (n *network) drop(p *process, id uint64) {
	if l := n.links[id]; l != nil {
		n.closeLink(l)
	}
}

// closeLinksOf closes every connection of a process that has ended.
func (n *network) closeLinksOf(p *process) {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l != nil && (l.ends[0].process == p || l.ends[1].process == p) {
			n.closeLink(l)
		}
	}
}

// setBlocked blocks or unblocks frames from one group of processes to another, and with both also in the other
// direction.
func (n *network) setBlocked(from, to []string, both, on bool) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			n.blocked[a+">"+b] = on
			if both {
				n.blocked[b+">"+a] = on
			}
		}
	}
}

// partitionDialDelay returns the time after which a dial over a partition fails: one network latency if the
// partition refuses connections, 1 s otherwise.
func (n *network) partitionDialDelay(p, q *process) clock.Micros {
	if p.machine != nil && n.sim.day.refusedLinks[p.machine.name+">"+q.machine.name] {
		return n.latency()
	}
	return clock.Second
}

// reset closes each connection of a machine with probability share.
func (n *network) reset(m *machine, share float64) {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l != nil && !l.closed && (l.ends[0].process.machine == m || l.ends[1].process.machine == m) && n.sim.rng.Float64() < share {
			n.closeLink(l)
		}
	}
}

// closePartitioned closes the connections that cross a partition, without waiting for their time-out.
func (n *network) closePartitioned() {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l == nil || l.closed {
			continue
		}
		if a, b := l.ends[0].process.name, l.ends[1].process.name; n.partitioned(a, b) || n.partitioned(b, a) {
			n.closeLink(l)
		}
	}
}
