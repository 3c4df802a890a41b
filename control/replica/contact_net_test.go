// The network and the disks of the cluster in contact_cluster_test.go.

package replica

import (
	"fmt"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// connection carries frames in both directions between two members, or between the test and a member.
type connection struct {
	ends [2]*member
	// freeAt is the earliest arrival time of the next frame at each end, so that frames keep their order.
	freeAt       [2]clock.Micros
	incarnations [2]int
	reply        func(f wire.Frame)
}

func (c *cluster) write(m *member, w kernel.Write) {
	expected := m.incarnation
	c.after(clock.Millisecond+c.rnd.Int64N(5*clock.Millisecond), func() {
		if m.incarnation != expected {
			return
		}
		if w.Data == nil {
			delete(m.files, w.File)
			return
		}
		m.files[w.File] = w.Data
		if w.Key != "" {
			c.feed(m, expected, kernel.Written{Plugin: w.Plugin, Key: w.Key})
		}
	})
}

// connect opens a connection to a member, from another member or, if from is nil, from the test.
func (c *cluster) connect(from, to *member) uint64 {
	c.nextID++
	conn := &connection{ends: [2]*member{from, to}, incarnations: [2]int{0, to.incarnation}}
	if from != nil {
		conn.incarnations[0] = from.incarnation
	}
	c.conns[c.nextID] = conn
	return c.nextID
}

func (c *cluster) send(m *member, s kernel.Send) {
	id := s.Conn
	if s.Addr != "" {
		key := fmt.Sprint(m.name, m.incarnation, ">", s.Addr)
		to := c.memberAt(s.Addr)
		if to == nil {
			return
		}
		conn := c.conns[c.direct[key]]
		if conn == nil || conn.incarnations[1] != to.incarnation {
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

func (c *cluster) memberAt(addr string) *member {
	for _, m := range c.members {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (c *cluster) deliver(conn *connection, id uint64, side int, data []byte) {
	to, from := conn.ends[side], conn.ends[1-side]
	if to != nil && from != nil && (to == c.isolated || from == c.isolated) {
		c.held = append(c.held, func() { c.deliver(conn, id, side, data) })
		return
	}
	at := max(c.now+150+c.rnd.Int64N(2*clock.Millisecond), conn.freeAt[side]+1)
	conn.freeAt[side] = at
	c.after(at-c.now, func() {
		if to == nil {
			f, err := wire.Open(data)
			must.NoError(c.t, err)
			conn.reply(f)
			return
		}
		c.feed(to, conn.incarnations[side], kernel.Received{Conn: id, Data: data})
	})
}

// request sends a frame from the test to a member; reply is called with every frame that the member sends back.
func (c *cluster) request(to *member, kind uint8, id uint64, m interface{ MarshalMsg([]byte) ([]byte, error) }, reply func(f wire.Frame)) {
	ch := c.connect(nil, to)
	c.conns[ch].reply = reply
	c.deliver(c.conns[ch], ch, 1, wire.Seal(kind, id, m))
}

// isolate separates a member from the others by a network partition; heal ends the partition and delivers the held
// frames.
func (c *cluster) isolate(m *member) { c.isolated = m }

func (c *cluster) heal() {
	c.isolated = nil
	held := c.held
	c.held = nil
	for _, f := range held {
		f()
	}
}
