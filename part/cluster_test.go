// A small cluster of whole replicas on simulated time: their own code, a network
// with delays and cuts that hold frames back, disks that take a while, freezes.
package part

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/diskfile"
	"wallport/env"
	"wallport/kernel"
	"wallport/wire"
)

const (
	millisecond = int64(1_000)
	second      = int64(1_000_000)
)

// event is something that happens at a moment; events of one moment keep their order.
type event struct {
	at, order int64
	do        func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// member is one process of the cluster.
type member struct {
	name, addr string
	kernel     *kernel.Kernel
	seats      *Seats
	files      map[string][]byte
	life       int
	startedAt  int64
	frozen     bool
	waiting    []func()
}

// connection leads frames both ways between a member, or the test, and a member.
type connection struct {
	ends [2]*member
	// free is when the next frame may arrive at an end: frames keep their order.
	free  [2]int64
	lives [2]int
	reply func(f wire.Frame)
}

type cluster struct {
	t       *testing.T
	rnd     *rand.Rand
	now     int64
	order   int64
	queue   events
	members []*member
	conns   map[uint64]*connection
	direct  map[string]uint64
	nextID  uint64
	// cut names the member that is cut off from the others; frames over the cut are held back.
	cut  *member
	held []func()
}

// newCluster starts members m0, m1 ... that form one group.
func newCluster(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), conns: map[uint64]*connection{}, direct: map[string]uint64{}}
	form := wire.Form{Formation: "f", Go: true}
	for i := range size {
		m := &member{name: fmt.Sprintf("m%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1)}
		form.Seats = append(form.Seats, wire.Seat{ID: m.name, Addr: m.addr, Zone: fmt.Sprintf("z%d", i)})
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.files = map[string][]byte{"seat": diskfile.Pack([]byte(m.name)), "formation": diskfile.Pack(wire.Encode(&form))}
		c.start(m)
	}
	return c
}

func (c *cluster) start(m *member) {
	e := env.Env{Mesh: m.addr, Zone: "z" + m.name[1:], BootstrapKnown: true}
	e.Tolerance.Machines = (len(c.members) - 1) / 2
	files := map[string][]byte{}
	for name, data := range m.files {
		files[name] = bytes.Clone(data)
	}
	m.life++
	m.frozen, m.waiting, m.startedAt = false, nil, c.now
	m.kernel = kernel.New(kernel.Boot{Env: e, Role: "core", Seed: c.rnd.Uint64(), Key: kernel.KeyFrom(bytes.Repeat([]byte{m.name[1]}, 32)), Files: files})
	m.seats = kernel.Find[*Seats](m.kernel)
	c.step(m, kernel.Start{})
}

func (c *cluster) after(d int64, do func()) {
	c.order++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.order, do})
}

// run lets time pass; look is called after each event.
func (c *cluster) run(d int64, look func()) {
	for end := c.now + d; ; {
		if len(c.queue) == 0 || c.queue[0].at > end {
			c.now = end
			return
		}
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
		if look != nil {
			look()
		}
	}
}

// feed has a member take an input in this life, once it is not frozen.
func (c *cluster) feed(m *member, life int, in kernel.Input) {
	if m.life != life {
		return
	}
	if m.frozen {
		m.waiting = append(m.waiting, func() { c.feed(m, life, in) })
		return
	}
	c.step(m, in)
}

func (c *cluster) step(m *member, in kernel.Input) {
	now, life := c.now-m.startedAt, m.life
	out := m.kernel.Step(now, 1_700_000_000*second+c.now, in)
	for _, v := range out.Timers {
		c.after(v.At-now, func() { c.feed(m, life, kernel.Tick{Plugin: v.Plugin, Key: v.Key}) })
	}
	for _, w := range out.Writes {
		c.write(m, w)
	}
	for _, s := range out.Sends {
		c.send(m, s)
	}
}

func (c *cluster) write(m *member, w kernel.Write) {
	life := m.life
	c.after(millisecond+c.rnd.Int64N(5*millisecond), func() {
		if m.life != life {
			return
		}
		if w.Data == nil {
			delete(m.files, w.File)
			return
		}
		m.files[w.File] = w.Data
		if w.Key != "" {
			c.feed(m, life, kernel.Written{Plugin: w.Plugin, Key: w.Key})
		}
	})
}

// connect opens a connection from a member, or from the test where that is nil, to a member.
func (c *cluster) connect(from, to *member) uint64 {
	c.nextID++
	conn := &connection{ends: [2]*member{from, to}, lives: [2]int{0, to.life}}
	if from != nil {
		conn.lives[0] = from.life
	}
	c.conns[c.nextID] = conn
	return c.nextID
}

func (c *cluster) send(m *member, s kernel.Send) {
	id := s.Chan
	if s.Addr != "" {
		key := fmt.Sprint(m.name, m.life, ">", s.Addr)
		to := c.at(s.Addr)
		if to == nil {
			return
		}
		conn := c.conns[c.direct[key]]
		if conn == nil || conn.lives[1] != to.life {
			c.direct[key] = c.connect(m, to)
		}
		id = c.direct[key]
	}
	conn := c.conns[id]
	if conn == nil {
		return
	}
	side := 1
	if conn.ends[1] == m {
		side = 0
	}
	c.deliver(conn, id, side, s.Data)
}

func (c *cluster) at(addr string) *member {
	for _, m := range c.members {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (c *cluster) deliver(conn *connection, id uint64, side int, data []byte) {
	to, from := conn.ends[side], conn.ends[1-side]
	if to != nil && from != nil && (to == c.cut || from == c.cut) {
		c.held = append(c.held, func() { c.deliver(conn, id, side, data) })
		return
	}
	at := max(c.now+150+c.rnd.Int64N(2*millisecond), conn.free[side]+1)
	conn.free[side] = at
	c.after(at-c.now, func() {
		if to == nil {
			f, err := wire.Open(data)
			must.NoError(c.t, err)
			conn.reply(f)
			return
		}
		c.feed(to, conn.lives[side], kernel.Received{Chan: id, Data: data})
	})
}

// ask sends a frame of the test to a member; reply gets whatever comes back on its connection.
func (c *cluster) ask(to *member, kind uint8, id uint64, m interface{ MarshalMsg([]byte) ([]byte, error) }, reply func(f wire.Frame)) {
	ch := c.connect(nil, to)
	c.conns[ch].reply = reply
	c.deliver(c.conns[ch], ch, 1, wire.Seal(kind, id, m))
}

// isolate cuts a member off from the others; heal lets the frames pass that were held back.
func (c *cluster) isolate(m *member) { c.cut = m }

func (c *cluster) heal() {
	c.cut = nil
	held := c.held
	c.held = nil
	for _, f := range held {
		f()
	}
}

func (c *cluster) freeze(m *member) { m.frozen = true }

func (c *cluster) thaw(m *member, gap int64) {
	m.frozen = false
	c.step(m, kernel.Thawed{Gap: gap})
	waiting := m.waiting
	m.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// restart ends a member's process and starts it again with its disk.
func (c *cluster) restart(m *member) { c.start(m) }

// leader is the member that leads a part and may take its edits, and follower some other one.
func (c *cluster) leader(part int) *member {
	for _, m := range c.members {
		if m.seats.Owns(part) && !m.frozen && m != c.cut {
			return m
		}
	}
	return nil
}

// settled runs until a part has a leader that was in office for a while.
func (c *cluster) settled(part int) *member {
	for range 100 {
		c.run(100*millisecond, nil)
		if m := c.leader(part); m != nil {
			c.run(second, nil)
			if c.leader(part) == m {
				return m
			}
		}
	}
	c.t.Fatal("no leader was elected")
	return nil
}

func (c *cluster) others(m *member) (out []*member) {
	for _, v := range c.members {
		if v != m {
			out = append(out, v)
		}
	}
	return out
}
