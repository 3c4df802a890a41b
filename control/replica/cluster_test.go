// A cluster of cores with simulated time, network and disks. It runs the real state machines under a load of edits
// and checks the invariants after every step.

package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const (
	simWallStart   = 1_700_000_000 * clock.Second
	simPullEvery   = 200 * clock.Millisecond
	simEditEvery   = 100 * clock.Millisecond
	simLatency     = clock.Micros(300)
	simSyncTime    = 2 * clock.Millisecond
	operatorChanID = 1 << 40
)

// simShape defines the number of cores, their zones, and the losses that must be tolerated.
type simShape struct {
	name      string
	zones     []string
	tolerance settings.Tolerance
}

type simCluster struct {
	timeline
	t        *testing.T
	shape    simShape
	random   *rand.Rand
	machines []*simMachine
	byAddr   map[string]*simMachine
	links    map[uint64]*simLink
	direct   map[string]*simLink
	nextLink uint64
	// acknowledged contains the digests of the edits that were answered "ok"; edits maps request ids to the digests of
	// the edits.
	acknowledged []string
	lastAck      clock.Micros
	edits        map[uint64]string
	nextEdit     uint64
	newest       wire.Version
	violations   []string
	logLines     []string
}

func newSimCluster(t *testing.T, shape simShape, seed uint64) *simCluster {
	t.Helper()
	c := &simCluster{
		t: t, shape: shape, random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*simMachine{},
		links: map[uint64]*simLink{}, direct: map[string]*simLink{}, edits: map[uint64]string{},
	}
	for _, zone := range shape.zones {
		c.addMachine(zone).mayBootstrap = true
	}
	for _, m := range c.machines {
		m.start()
	}
	c.after(0, c.editLoop)
	c.runUntil("the cluster must form", 15*clock.Second, func() bool { return c.leader(0) != nil && len(c.acknowledged) > 0 })
	return c
}

func (c *simCluster) addMachine(zone string) *simMachine {
	m := &simMachine{cluster: c, zone: zone, addr: fmt.Sprintf("10.0.0.%d:1", len(c.machines)+1), disk: map[string][]byte{}}
	c.machines = append(c.machines, m)
	c.byAddr[m.addr] = m
	return m
}

func (c *simCluster) run(d clock.Micros) {
	for end := c.now + d; c.advance(end); {
	}
}

// runUntil runs until the condition holds, and fails the test if that takes longer than limit.
func (c *simCluster) runUntil(what string, limit clock.Micros, condition func() bool) (took clock.Micros) {
	c.t.Helper()
	for began := c.now; ; c.run(10 * clock.Millisecond) {
		if condition() {
			return c.now - began
		}
		if c.now-began > limit {
			c.fail(what)
		}
	}
}

func (c *simCluster) fail(what string) {
	c.t.Helper()
	for _, note := range c.logLines {
		c.t.Log(note)
	}
	c.t.Fatalf("failed at %d us: %s", c.now, what)
}

func (c *simCluster) log(text string) {
	c.logLines = append(c.logLines, fmt.Sprintf("%9d %s", c.now, text))
}

// leader returns the machine whose process leads a partition in the highest term and is ready to serve; nil if there
// is none.
func (c *simCluster) leader(partition int) (best *simMachine) {
	for _, m := range c.machines {
		if m.up && m.host.Leads(partition) && (best == nil || m.host.groups[partition].term > best.host.groups[partition].term) {
			best = m
		}
	}
	return best
}

// editLoop sends an edit to the leader every simEditEvery.
func (c *simCluster) editLoop() {
	c.after(simEditEvery, c.editLoop)
	if leader := c.leader(0); leader != nil {
		c.nextEdit++
		edit := routingEdit(c.t, c.revision(leader), int64(c.nextEdit), int64(c.nextEdit))
		var sent routingpb.RoutingEdit
		must.NoError(c.t, proto.Unmarshal(edit.Body, &sent))
		digest := routing.Digest(&sent)
		c.edits[c.nextEdit] = string(digest[:])
		leader.step(kernel.Received{Conn: operatorChanID, Data: wire.Seal(wire.KindEdit, c.nextEdit, &edit)})
	}
}

// revision returns the revision of the routing table that a leader has committed.
func (c *simCluster) revision(leader *simMachine) int64 {
	config, err := state.ReadConfig(leader.host.groups[0].committed.Body)
	must.NoError(c.t, err)
	table, err := state.RoutingOf(config)
	must.NoError(c.t, err)
	return table.GetRevision()
}

func (c *simCluster) handleReply(data []byte) {
	f, err := wire.Open(data)
	must.NoError(c.t, err)
	var r wire.EditReply
	if f.Kind != wire.KindEditReply || wire.Decode(f.Body, &r) != nil || r.Code != "ok" {
		return
	}
	c.acknowledged = append(c.acknowledged, c.edits[f.ID])
	c.lastAck = c.now
}
