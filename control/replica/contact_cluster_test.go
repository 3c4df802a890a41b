// A small cluster of replicas in simulated time: a network with latency and partitions that delay frames, disks with
// latency, and processes that can be suspended.

package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// member is one process of the cluster.
type member struct {
	name, addr  string
	kernel      *kernel.Kernel
	host        *Host
	files       map[string][]byte
	incarnation int
	startedAt   clock.Micros
	frozen      bool
	waiting     []func()
}

type cluster struct {
	timeline
	t       *testing.T
	rnd     *rand.Rand
	members []*member
	conns   map[uint64]*connection
	direct  map[string]uint64
	nextID  uint64
	// isolated is the member that a network partition separates from the others. Frames to and from that member are
	// held until heal is called.
	isolated *member
	held     []func()
}

// newCluster starts members m0, m1 and so on as one group. All members are voters if their number is odd. Otherwise
// the last member is a standby.
func newCluster(t *testing.T, seed uint64, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), conns: map[uint64]*connection{}, direct: map[string]uint64{}}
	bootstrap := wire.Bootstrap{BootstrapID: "f", Commit: true}
	for i := range size {
		m := &member{name: fmt.Sprintf("m%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1)}
		if i < (size-1)|1 {
			bootstrap.Voters = append(bootstrap.Voters, wire.Replica{ID: m.name, Addr: m.addr, Zone: fmt.Sprintf("z%d", i)})
		}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.files = map[string][]byte{"seat": diskfile.Pack([]byte(m.name))}
		if contains(bootstrap.Voters, m.name) {
			m.files["formation"] = diskfile.Pack(wire.Encode(&bootstrap))
		}
		c.start(m)
	}
	return c
}

func (c *cluster) start(m *member) {
	e := settings.Settings{Mesh: m.addr, Zone: "z" + m.name[1:], BootstrapKnown: true}
	e.Tolerance.Machines = (len(c.members) - 1) / 2
	for _, other := range c.members {
		e.Seeds = append(e.Seeds, other.addr)
	}
	files := map[string][]byte{}
	for name, data := range m.files {
		files[name] = bytes.Clone(data)
	}
	m.incarnation++
	m.frozen, m.waiting, m.startedAt = false, nil, c.now
	m.kernel = kernel.New(kernel.Boot{Settings: e, Role: "core", Seed: c.rnd.Uint64(), Key: kernel.KeyFrom(bytes.Repeat([]byte{m.name[1]}, 32)), Files: files})
	m.host = kernel.Find[*Host](m.kernel)
	c.step(m, kernel.Start{})
}

// repeat calls do immediately, and again after every interval d.
func (c *cluster) repeat(d clock.Micros, do func()) {
	do()
	c.after(d, func() { c.repeat(d, do) })
}

// run advances the time by d and calls afterEach, if set, after each event.
func (c *cluster) run(d clock.Micros, afterEach func()) {
	for end := c.now + d; c.advance(end); {
		if afterEach != nil {
			afterEach()
		}
	}
}

// feed passes an input to a member if it is still the same incarnation. If the member is suspended, the input waits
// until the member resumes.
func (c *cluster) feed(m *member, incarnation int, in kernel.Input) {
	if m.incarnation != incarnation {
		return
	}
	if m.frozen {
		m.waiting = append(m.waiting, func() { c.feed(m, incarnation, in) })
		return
	}
	c.step(m, in)
}

func (c *cluster) step(m *member, in kernel.Input) {
	now, expected := c.now-m.startedAt, m.incarnation
	out := m.kernel.Step(now, 1_700_000_000*clock.Second+c.now, in)
	for _, v := range out.Timers {
		c.after(v.At-now, func() { c.feed(m, expected, v.Tick) })
	}
	for _, w := range out.Writes {
		c.write(m, w)
	}
	for _, s := range out.Sends {
		c.send(m, s)
	}
}

func (c *cluster) freeze(m *member) { m.frozen = true }

func (c *cluster) thaw(m *member, gap clock.Micros) {
	m.frozen = false
	c.step(m, kernel.Thawed{Gap: gap})
	waiting := m.waiting
	m.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// restart ends a member's process and starts it again on the same disk.
func (c *cluster) restart(m *member) { c.start(m) }

// leader returns the member that leads a partition and is ready to serve, unless it is suspended or isolated; nil if
// there is none.
func (c *cluster) leader(partition int) *member {
	for _, m := range c.members {
		if m.host.Leads(partition) && !m.frozen && m != c.isolated {
			return m
		}
	}
	return nil
}

// committedLeader runs until a partition has had the same leader for one second, and returns that leader.
func (c *cluster) committedLeader(partition int) *member {
	for range 100 {
		c.run(100*clock.Millisecond, nil)
		if m := c.leader(partition); m != nil {
			c.run(clock.Second, nil)
			if c.leader(partition) == m {
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
