// The simulated network between processes: ordered channels with latency, cuts
// in one or both directions, broken channels, duplicate delivery on the mesh.

package sim

import (
	"maps"
	"slices"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type side struct {
	p    *proc
	id   uint64
	life int
}

type link struct {
	sides [2]side
	mesh  bool
	addr  string
	dead  bool
	last  [2]int64
}

type network struct {
	w       *World
	next    uint64
	links   map[uint64]*link
	direct  map[string]*link
	blocked map[string]bool
	alone   map[string]bool
	delay   int64
	doubles int64
	// Counted for measurements: frames and bytes on mesh channels, and those that carry a part's version.
	frames, bytes, parts int64
}

func (n *network) init(w *World) {
	n.w, n.links, n.direct, n.blocked = w, map[uint64]*link{}, map[string]*link{}, map[string]bool{}
	n.alone = map[string]bool{}
}

// Stalled is how long a channel survives a cut: its writer's patience.
const stalled = 5_000_000

// cut reports whether nothing gets from a to b. One that is alone reaches no other
// process, later ones included; platform and servers it does.
func (n *network) cut(a, b string) bool {
	if n.w.day != nil {
		return n.w.day.cut(a, b)
	}
	if n.blocked[a+">"+b] {
		return true
	}
	return a != b && (n.alone[a] || n.alone[b]) && n.w.procs[a] != nil && n.w.procs[b] != nil
}

func (n *network) latency() int64 { return 150 + n.w.rnd.Int64N(600) + n.delay }

// dial opens a channel; then gets the frames that waited for it.
func (n *network) dial(p *proc, addr string, mesh bool, then func(l *link)) {
	w := n.w
	fail := func(d int64) {
		p.later(d, func() {
			if mesh {
				p.step(kernel.ConnDown{Addr: addr, Mesh: true})
			} else if then != nil {
				then(nil)
			}
		})
	}
	q := w.byAddr[addr]
	if q == nil || !q.up {
		fail(n.latency())
		return
	}
	if n.cut(p.name, q.name) || n.cut(q.name, p.name) {
		fail(n.cutFails(p, q))
		return
	}
	if q.frozen {
		fail(2_000_000)
		return
	}
	plife, qlife := p.life, q.life
	w.after(3*n.latency(), func() {
		if p.life != plife || !p.up {
			return
		}
		if q.life != qlife || !q.up {
			fail(0)
			return
		}
		n.next += 2
		l := &link{mesh: mesh, addr: addr, sides: [2]side{{p, n.next, plife}, {q, n.next + 1, qlife}}}
		n.links[n.next], n.links[n.next+1] = l, l
		if mesh {
			p.meets(q, n.next, addr, true)
			q.meets(p, n.next+1, p.env.Mesh, false)
		}
		if then != nil {
			then(l)
		}
	})
}

func (n *network) send(p *proc, s kernel.Send) {
	if s.Addr == "" {
		if l := n.links[s.Conn]; l != nil {
			n.carry(l, p, s.Data)
		}
		return
	}
	key := p.name + ">" + s.Addr
	if l := n.direct[key]; l != nil && !l.dead {
		n.carry(l, p, s.Data)
		return
	}
	life := p.life
	n.dial(p, s.Addr, false, func(l *link) {
		if l == nil || p.life != life {
			return
		}
		if old := n.direct[key]; old != nil && !old.dead {
			l = old
		} else {
			n.direct[key] = l
		}
		n.carry(l, p, s.Data)
	})
}

// carry moves a frame; a cut holds it up, and breaks the channel in the end.
func (n *network) carry(l *link, from *proc, data []byte) {
	if l.dead {
		return
	}
	i := 0
	if l.sides[1].p == from {
		i = 1
	}
	at := max(l.last[i], n.w.now+n.latency())
	l.last[i] = at
	data = n.newer(from, data)
	n.count(l, data)
	tally(from, l.sides[1-i].p, data)
	n.w.at(at, func() { n.arrive(l, i, data, n.w.now) })
	if l.mesh && n.doubles > 0 && n.w.rnd.Int64N(100) < n.doubles {
		n.w.at(at+n.latency(), func() { n.arrive(l, i, data, n.w.now) })
	}
}

func (n *network) arrive(l *link, i int, data []byte, since int64) {
	if l.dead || n.muted(l, data) {
		return
	}
	from, to := l.sides[i], l.sides[1-i]
	if from.p.life != from.life && n.w.now-since > 0 {
		return
	}
	if n.cut(from.p.name, to.p.name) {
		if n.w.now-since > stalled {
			n.breakLink(l)
			return
		}
		n.w.after(100_000, func() { n.arrive(l, i, data, since) })
		return
	}
	if !to.p.up || to.p.life != to.life {
		n.breakLink(l)
		return
	}
	to.p.feed(func() {
		if !l.dead {
			to.p.step(kernel.Received{Conn: to.id, Data: data})
		}
	})
}

// newer makes a frame of a process of a later release: it has a field more.
func (n *network) newer(from *proc, data []byte) []byte {
	every := n.w.Script.Int("newer_every", 0)
	if every == 0 || from.index%every != 0 || len(data) < 11 || data[10]&0xf0 != 0x80 || data[10] == 0x8f {
		return data
	}
	out := append([]byte(nil), data...)
	out[10]++
	n.w.Judge.Count("frames_of_later_release", 1)
	out = msgp.AppendString(out, "later")
	return msgp.AppendMapStrStr(out, map[string]string{"of": "a later release"})
}

// muted drops the frames of a whole way by which sheets travel, from a moment on.
func (n *network) muted(l *link, data []byte) bool {
	off := func(name string) bool { at := n.w.Script.Int(name, 0); return at > 0 && n.w.now >= at }
	f, err := wire.Open(data)
	return err == nil && (l.mesh && off("mesh_off_us") || f.Kind == wire.KindPullReply && off("pulls_off_us"))
}

func (n *network) breakLink(l *link) {
	if l.dead {
		return
	}
	l.dead = true
	for i, s := range l.sides {
		delete(n.links, s.id)
		if l.mesh && s.p.up && s.p.life == s.life {
			addr := l.addr
			if i == 1 {
				addr = l.sides[0].p.env.Mesh
			}
			s.p.later(n.latency(), func() { s.p.step(kernel.ConnDown{Conn: s.id, Addr: addr, Mesh: true}) })
		}
	}
}

func (n *network) drop(p *proc, id uint64) {
	if l := n.links[id]; l != nil {
		n.breakLink(l)
	}
}

// lose breaks every channel of a process that died.
func (n *network) lose(p *proc) {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l != nil && (l.sides[0].p == p || l.sides[1].p == p) {
			n.breakLink(l)
		}
	}
}

// block cuts or heals the way between two groups of names, one way or both.
func (n *network) block(from, to []string, both, on bool) {
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
