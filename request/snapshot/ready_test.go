package snapshot

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/configsync"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const second = clock.Second

// timers is a heap of a process's timers, the next one first.
type timers []kernel.Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].At < h[j].At }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(v any)        { *h = append(*h, v.(kernel.Timer)) }
func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fakeCore replies to pulls unless it is unresponsive.
type fakeCore struct {
	term             uint64
	revision         int64
	contact, relayed uint32
	unresponsive     bool
	delay            int64
	requested        int
}

func (f *fakeCore) pullReply() *wire.PullReply {
	table, err := proto.Marshal(&routingpb.RoutingTable{Revision: f.revision})
	if err != nil {
		panic(err)
	}
	v := wire.Versioned{Version: wire.Version{Term: f.term, Seq: 1}, Body: wire.Encode(&wire.ConfigBody{Routing: table})}
	return &wire.PullReply{Versions: []wire.Versioned{v}, ContactMask: f.contact, RelayedMask: f.relayed}
}

// node is one node's process. The test simulates the platform and the cores, which cores holds by address.
type node struct {
	t       *testing.T
	kernel  *kernel.Kernel
	builder *Builder
	now     int64
	timers  timers
	later   map[int64][]func()
	cores   map[string]*fakeCore
}

func startNode(t *testing.T, cores map[string]*fakeCore) *node {
	t.Helper()
	e := settings.Settings{Mesh: "10.0.9.1:1", Zone: "z1", PlatformURL: "http://platform/list", ListInterval: second, PollsPer10s: 20, QuorumMember: true}
	e.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	n := &node{t: t, cores: cores, later: map[int64][]func(){}, now: second}
	n.kernel = kernel.New(kernel.Boot{Settings: e, Role: "node", Seed: 1, Key: kernel.KeyFrom(bytes.Repeat([]byte{1}, 32))})
	n.builder = kernel.Find[*Builder](n.kernel)
	n.feed(kernel.Start{})
	return n
}

func (n *node) feed(in kernel.Input) {
	out := n.kernel.Step(n.now, n.now, in)
	for _, v := range out.Timers {
		heap.Push(&n.timers, v)
	}
	for _, v := range out.Fetches {
		body, err := json.Marshal(&wire.BackendList{Complete: true, Backends: []wire.Backend{{ID: "s", State: "ready"}}})
		must.NoError(n.t, err)
		n.feed(kernel.Fetched{Plugin: v.Plugin, Key: v.Key, Status: 200, Body: body})
	}
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(n.t, err)
		if core := n.cores[s.Addr]; core != nil && f.Kind == wire.KindPull {
			n.respond(core, f.ID)
		}
	}
}

func (n *node) respond(core *fakeCore, id uint64) {
	core.requested++
	if core.unresponsive {
		return
	}
	data := wire.Seal(wire.KindPullReply, id, core.pullReply())
	at := n.now + max(core.delay, 1)
	n.later[at] = append(n.later[at], func() { n.feed(kernel.Received{Conn: 1, Data: data}) })
	heap.Push(&n.timers, kernel.Timer{At: at})
}

func (n *node) run(d int64) {
	for end := n.now + d; ; {
		if len(n.timers) == 0 || n.timers[0].At > end {
			n.now = end
			return
		}
		v := heap.Pop(&n.timers).(kernel.Timer)
		n.now = max(n.now, v.At)
		if v.Plugin != "" {
			n.feed(v.Tick)
			continue
		}
		for _, f := range n.later[v.At] {
			f()
		}
		delete(n.later, v.At)
	}
}

// readyWithin returns the time until the node is ready to serve, or a time above most if it takes longer.
func (n *node) readyWithin(most int64) int64 {
	for began := n.now; ; n.run(10_000) {
		if n.builder.Current().Ready() || n.now-began > most {
			return n.now - began
		}
	}
}

func TestStartedNodeServesConfirmedStateImmediately(t *testing.T) {
	core := &fakeCore{term: 3, revision: 7, contact: 1}
	n := startNode(t, map[string]*fakeCore{"10.0.0.1:1": core, "10.0.0.2:1": core, "10.0.0.3:1": core})
	must.Less(t, configsync.StartupPullInterval+second/4, n.readyWithin(second))
	must.Zero(t, n.kernel.Counts.Of("table_unconfirmed").Load())
}

// TestStartedNodeSkipsPartitionedCore checks that a started node does not serve the old configuration of a
// core that is partitioned from the other two, even if it pulls from that core first.
func TestStartedNodeSkipsPartitionedCore(t *testing.T) {
	for _, partitioned := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		cores := map[string]*fakeCore{}
		for _, a := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			cores[a] = &fakeCore{term: 4, revision: 9, contact: 1}
		}
		old := &fakeCore{term: 3, revision: 7}
		cores[partitioned] = old
		n := startNode(t, cores)
		must.Less(t, second, n.readyWithin(2*second))
		must.Eq(t, 9, n.builder.Current().Routing.Revision)
		n.run(10 * second)
		must.Less(t, 10, old.requested, must.Sprint("the node seldom pulls from a core that is not in contact with a majority"))
	}
}

// TestStartedNodePullsFromOneCoreAfterAnother checks that a started node finds the only one of three cores
// that is in contact with a majority. A former leader and followers that are partitioned together with it have
// no such contact.
func TestStartedNodePullsFromOneCoreAfterAnother(t *testing.T) {
	for _, inContact := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		cores := map[string]*fakeCore{}
		for _, a := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
			cores[a] = &fakeCore{term: 3, revision: 7}
		}
		cores[inContact] = &fakeCore{term: 4, revision: 9, contact: 1}
		n := startNode(t, cores)
		must.Less(t, second, n.readyWithin(2*second))
		must.Eq(t, 9, n.builder.Current().Routing.Revision)
	}
}

// TestDelayedReplyConfirmsNothing checks that a core's reply older than MaxReplyAge does not confirm its
// state, since a network partition may have delayed it.
func TestDelayedReplyConfirmsNothing(t *testing.T) {
	late := &fakeCore{term: 3, revision: 7, contact: 1, delay: configsync.MaxReplyAge + second}
	n := startNode(t, map[string]*fakeCore{"10.0.0.1:1": late, "10.0.0.2:1": {unresponsive: true}, "10.0.0.3:1": {unresponsive: true}})
	must.Greater(t, configsync.MaxReplyAge+second+configsync.UnconfirmedTimeout-second, n.readyWithin(30*second))
	must.Eq(t, 1, n.kernel.Counts.Of("table_unconfirmed").Load())
}

// TestNodeServesUnconfirmedAfterDelayWithoutContact checks a node that reaches only one core, which is not in
// contact with a majority because a majority of the disks is lost or that core is partitioned. The node serves
// the unconfirmed state, but only after UnconfirmedTimeout. Until then it looks for a core in contact with a
// majority.
func TestNodeServesUnconfirmedAfterDelayWithoutContact(t *testing.T) {
	old := &fakeCore{term: 3, revision: 7}
	n := startNode(t, map[string]*fakeCore{"10.0.0.1:1": old, "10.0.0.2:1": {unresponsive: true}, "10.0.0.3:1": {unresponsive: true}})
	took := n.readyWithin(20 * second)
	must.Between(t, configsync.UnconfirmedTimeout, took, configsync.UnconfirmedTimeout+second)
	must.Eq(t, 1, n.kernel.Counts.Of("table_unconfirmed").Load())
	before := old.requested
	n.run(10 * second)
	must.Between(t, 5, old.requested-before, 60, must.Sprint("the node pulls from the core no more often than usual"))
}

// TestUnconfirmedStateIsNotServedWhileCoreHasContact checks that unconfirmed state is not served if a core
// in contact with a majority becomes reachable before UnconfirmedTimeout.
func TestUnconfirmedStateIsNotServedWhileCoreHasContact(t *testing.T) {
	inContact := &fakeCore{term: 4, revision: 9, contact: 1, unresponsive: true}
	cores := map[string]*fakeCore{"10.0.0.1:1": {term: 3, revision: 7}, "10.0.0.2:1": inContact, "10.0.0.3:1": {unresponsive: true}}
	n := startNode(t, cores)
	must.Greater(t, 4*second, n.readyWithin(4*second))
	inContact.unresponsive = false
	must.Less(t, configsync.UnconfirmedTimeout-4*second, n.readyWithin(4*second))
	must.Eq(t, 9, n.builder.Current().Routing.Revision)
	must.Zero(t, n.kernel.Counts.Of("table_unconfirmed").Load())
}

// TestRelayedContactConfirmsAndRunningNodeKeepsServing checks that a confirmation that one core relays
// for another core suffices, and that a serving process continues to serve after all cores have lost contact
// with a majority.
func TestRelayedContactConfirmsAndRunningNodeKeepsServing(t *testing.T) {
	core := &fakeCore{term: 3, revision: 7, relayed: 1}
	n := startNode(t, map[string]*fakeCore{"10.0.0.1:1": core, "10.0.0.2:1": core, "10.0.0.3:1": core})
	must.Less(t, second, n.readyWithin(second))
	core.relayed = 0
	n.run(30 * second)
	must.True(t, n.builder.Current().Ready())
	// The node accepts a newer version from any core, since a majority has committed it.
	core.term, core.revision = 5, 8
	n.run(5 * second)
	must.Eq(t, 8, n.builder.Current().Routing.Revision)
}

// TestThawedNodeWaitsForCoreInContact checks that after a freeze the state counts as stale until a core in
// contact with a majority has replied to a pull.
func TestThawedNodeWaitsForCoreInContact(t *testing.T) {
	core := &fakeCore{term: 3, revision: 7, contact: 1}
	n := startNode(t, map[string]*fakeCore{"10.0.0.1:1": core, "10.0.0.2:1": core, "10.0.0.3:1": core})
	must.Less(t, second, n.readyWithin(second))
	core.contact = 0
	n.feed(kernel.Thawed{Gap: 5 * second})
	n.run(second / 2)
	must.False(t, n.builder.staleness.pulled)
	core.contact = 1
	n.run(second / 2)
	must.True(t, n.builder.staleness.pulled)
}
