// A group of cores in simulated time. Each core has its own disk and a link of limited bandwidth.

package replica

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const (
	linkDelay  = 1 * clock.Millisecond
	diskDelay  = 2 * clock.Millisecond
	clientConn = 1 << 40
)

// bandwidthMember is one core of a bandwidthCluster.
type bandwidthMember struct {
	id          string
	k           *kernel.Kernel
	host        *Host
	files       map[string][]byte
	up          bool
	incarnation int
	linkFreeAt  clock.Micros
	bytesIn     int64
	replies     map[uint64]wire.EditReply
}

// bandwidthCluster connects cores "a", "b" and "c", whose addresses are their names.
type bandwidthCluster struct {
	timeline
	t        testing.TB
	members  map[string]*bandwidthMember
	conns    map[string]uint64    // connection ids, by the dialing and the dialed core
	ends     map[uint64][2]string // the cores at both ends of each open connection, by its id
	nextConn uint64
	// bytesPerSecond is the bandwidth of each core's link; 0 is unlimited.
	bytesPerSecond int64
	nextEdit       uint64
}

func newBandwidthCluster(t testing.TB, bytesPerSecond int64) *bandwidthCluster {
	t.Helper()
	c := &bandwidthCluster{t: t, members: map[string]*bandwidthMember{}, conns: map[string]uint64{}, ends: map[uint64][2]string{}, bytesPerSecond: bytesPerSecond}
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true}
	for _, id := range []string{"a", "b", "c"} {
		bootstrap.Voters = append(bootstrap.Voters, wire.Replica{ID: id, Addr: id, Zone: "z" + id})
	}
	for _, id := range []string{"a", "b", "c"} {
		files := map[string][]byte{"seat": diskfile.Pack([]byte(id)), "formation": diskfile.Pack(wire.Encode(&bootstrap))}
		c.members[id] = &bandwidthMember{id: id, files: files}
		c.start(id)
	}
	return c
}

// start starts a core with the files on its disk.
func (c *bandwidthCluster) start(id string) {
	m := c.members[id]
	m.up, m.replies, m.bytesIn = true, map[uint64]wire.EditReply{}, 0
	m.incarnation++
	boot := kernel.Boot{Settings: settings.Settings{Name: id, Mesh: id, Zone: "z" + id, DataDir: "disk"}, Role: "core", Seed: uint64(id[0]), Key: kernel.KeyFrom(bytes.Repeat([]byte(id), 32)), Files: map[string][]byte{}}
	for name, b := range m.files {
		boot.Files[name] = b
	}
	m.k = kernel.New(boot)
	m.host = kernel.Find[*Host](m.k)
	c.step(m, kernel.Start{})
}

// stop ends a core as a power loss would: writes that are not synced are lost.
func (c *bandwidthCluster) stop(id string) {
	m := c.members[id]
	m.up = false
	m.incarnation++
	for conn, ends := range c.ends {
		if ends[0] == id || ends[1] == id {
			delete(c.ends, conn)
			delete(c.conns, ends[0]+">"+ends[1])
		}
	}
}

func (c *bandwidthCluster) step(m *bandwidthMember, in kernel.Input) {
	out := m.k.Step(c.now, c.now, in)
	expected := m.incarnation
	for _, timer := range out.Timers {
		c.after(timer.At-c.now, func() {
			if m.incarnation == expected {
				c.step(m, timer.Tick)
			}
		})
	}
	for _, w := range out.Writes {
		c.after(diskDelay, func() {
			if m.incarnation != expected {
				return
			}
			if m.files[w.File] = w.Data; w.Data == nil {
				delete(m.files, w.File)
			}
			if w.Key != "" {
				c.step(m, kernel.Written{Plugin: w.Plugin, Key: w.Key})
			}
		})
	}
	for _, s := range out.Sends {
		c.send(m, s)
	}
}

// send transmits a frame on its connection; a frame that exceeds the size limit is dropped.
func (c *bandwidthCluster) send(m *bandwidthMember, s kernel.Send) {
	if s.Conn == clientConn {
		f, err := wire.Open(s.Data)
		must.NoError(c.t, err)
		var r wire.EditReply
		must.NoError(c.t, wire.Decode(f.Body, &r))
		m.replies[f.ID] = r
		return
	}
	conn := s.Conn
	if s.Addr != "" {
		conn = c.connect(m.id, s.Addr)
	}
	ends, open := c.ends[conn]
	var b bytes.Buffer
	if !open || wire.WriteTo(&b, s.Data) != nil {
		return
	}
	to := c.members[ends[0]]
	if to == m {
		to = c.members[ends[1]]
	}
	at := max(c.now, m.linkFreeAt)
	if c.bytesPerSecond > 0 {
		at += int64(b.Len()) * clock.Second / c.bytesPerSecond
	}
	m.linkFreeAt = at
	expected := to.incarnation
	c.after(at-c.now+linkDelay, func() {
		if to.incarnation == expected && to.up {
			to.bytesIn += int64(len(s.Data))
			c.step(to, kernel.Received{Conn: conn, Data: s.Data})
		}
	})
}

func (c *bandwidthCluster) connect(from, to string) uint64 {
	key := from + ">" + to
	if c.members[to] == nil || !c.members[to].up {
		return 0
	}
	if c.conns[key] == 0 {
		c.nextConn++
		c.conns[key] = c.nextConn
		c.ends[c.nextConn] = [2]string{from, to}
	}
	return c.conns[key]
}

// run runs until a condition holds and returns how long that took; it fails the test after limit.
func (c *bandwidthCluster) run(limit clock.Micros, what string, until func() bool) clock.Micros {
	c.t.Helper()
	began := c.now
	for !until() {
		if !c.advance(began + limit) {
			c.t.Fatalf("not reached within %d us: %s", limit, what)
		}
	}
	return c.now - began
}

// leader returns the core that leads the configuration and is ready to serve; nil if there is none.
func (c *bandwidthCluster) leader() *bandwidthMember {
	for _, id := range []string{"a", "b", "c"} {
		if m := c.members[id]; m.up && m.host.Leads(state.ConfigPartition) {
			return m
		}
	}
	return nil
}

func (c *bandwidthCluster) lead() *bandwidthMember {
	c.run(20*clock.Second, "a core leads the configuration", func() bool { return c.leader() != nil })
	return c.leader()
}

// edit sends an edit of the configuration to its leader and returns the reply.
func (c *bandwidthCluster) edit(e *routingpb.RoutingEdit, within clock.Micros) wire.EditReply {
	c.t.Helper()
	m := c.lead()
	b, err := proto.Marshal(e)
	must.NoError(c.t, err)
	c.nextEdit++
	id := c.nextEdit
	edit := wire.Edit{Op: "routing", Body: b, EditID: fmt.Sprint(id)}
	c.step(m, kernel.Received{Conn: clientConn, Data: wire.Seal(wire.KindEdit, id, &edit)})
	c.run(within, "a reply to the edit", func() bool { _, ok := m.replies[id]; return ok })
	return m.replies[id]
}

// pools returns an edit that sets pools with the given names, each with a source of size bytes.
func pools(base int64, size int, names ...string) *routingpb.RoutingEdit {
	up := new(routingpb.RoutingTable)
	for _, name := range names {
		up.Pools = append(up.Pools, &routingpb.Pool{Name: name, Source: bytes.Repeat([]byte(name[:1]), size)})
	}
	return &routingpb.RoutingEdit{Base: base, Revision: base + 1, Upsert: up}
}
