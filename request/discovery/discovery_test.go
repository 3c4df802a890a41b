package discovery

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"wallport/cluster/membership"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const second = clock.Second

// rig runs one node's kernel. The test simulates the leader, the platform and the other nodes.
type rig struct {
	t             *testing.T
	k             *kernel.Kernel
	lister        *Lister
	now           int64
	timers        []kernel.Timer
	fetches       []int64
	leaseRequests []wire.LeaseRequest
	// status and list are the platform's response. If grants is set, the simulated leader grants lease requests.
	status int
	list   wire.BackendList
	grants bool
	// peer is the node at the other end of connection 1. Frames to a node wait in its inbox until both nodes have
	// stepped.
	peer  *rig
	inbox [][]byte
}

func newRig(t *testing.T, e settings.Settings) *rig {
	t.Helper()
	return newNode(t, e, 0)
}

func newNode(t *testing.T, e settings.Settings, n byte) *rig {
	t.Helper()
	e.Name, e.Mesh, e.PlatformURL = "n"+string('0'+n), "10.0.0."+string('1'+n)+":1", "http://platform/list"
	r := &rig{t: t, status: 200, list: wire.BackendList{Complete: true, Backends: []wire.Backend{{ID: "s", State: "ready"}}}}
	r.k = kernel.New(kernel.Boot{Settings: e, Role: "node", Seed: 1, Key: kernel.KeyFrom(bytes.Repeat([]byte{n}, 32))})
	r.lister = kernel.Find[*Lister](r.k)
	r.feed(kernel.Start{})
	return r
}

func (r *rig) feed(in kernel.Input) {
	out := r.k.Step(r.now, r.now, in)
	r.timers = append(r.timers, out.Timers...)
	for range out.Fetches {
		r.fetches = append(r.fetches, r.now)
		body, err := json.Marshal(&r.list)
		must.NoError(r.t, err)
		v := kernel.Fetched{Plugin: pluginName, Key: fetchList, Status: r.status, Body: body}
		if r.status == 0 {
			v.Err = "connection refused"
		}
		r.feed(v)
	}
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(r.t, err)
		if r.peer != nil && s.Conn == 1 {
			r.peer.inbox = append(r.peer.inbox, s.Data)
			continue
		}
		var h wire.LeaseRequest
		if f.Kind != wire.KindLeaseRequest || wire.Decode(f.Body, &h) != nil {
			continue
		}
		r.leaseRequests = append(r.leaseRequests, h)
		if r.grants && !h.Release {
			granted := &wire.LeaseReply{Task: LeaseTask, Holder: r.lister.mesh.Self(), Duration: 800_000, LeaseID: 3}
			r.feed(kernel.Received{Data: wire.Seal(wire.KindLeaseReply, f.ID, granted)})
		}
	}
}

func (r *rig) message(kind uint8, m msgp.Marshaler) {
	r.feed(kernel.Received{Data: wire.Seal(kind, 0, m)})
}

// learnLeader informs the node of a leader of the lease's partition.
func (r *rig) learnLeader() {
	r.message(wire.KindPullReply, &wire.PullReply{Leaders: []wire.Leader{{Partition: state.PartitionOf(LeaseTask), Term: 1, Replica: "s", Addr: "10.0.0.9:1"}}})
}

// connect opens a mesh connection between two nodes, with id 1 on both.
func connect(a, b *rig) {
	a.peer, b.peer = b, a
	a.feed(kernel.ConnUp{Conn: 1, Addr: b.k.Boot.Settings.Mesh, Peer: b.lister.mesh.Self(), Dialed: true, Mesh: true})
	b.feed(kernel.ConnUp{Conn: 1, Addr: a.k.Boot.Settings.Mesh, Peer: a.lister.mesh.Self(), Mesh: true})
}

// run advances the clocks of the node and its peer together, in slices of 50 ms.
func (r *rig) run(d int64) {
	const slice = 50_000
	for end := r.now + d; r.now < end; {
		r.advance(min(slice, end-r.now))
		if r.peer == nil {
			continue
		}
		r.peer.advance(r.now - r.peer.now)
		for _, q := range []*rig{r, r.peer} {
			inbox := q.inbox
			q.inbox = nil
			for _, data := range inbox {
				q.feed(kernel.Received{Conn: 1, Data: data})
			}
		}
	}
}

// advance advances the clock of one node and fires its timers.
func (r *rig) advance(d int64) {
	for end := r.now + d; ; {
		next := -1
		for i, v := range r.timers {
			if v.At <= end && (next < 0 || v.At < r.timers[next].At) {
				next = i
			}
		}
		if next < 0 {
			r.now = end
			return
		}
		v := r.timers[next]
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.now = max(r.now, v.At)
		r.feed(v.Tick)
	}
}

func TestLeaseHolderReadsAtConfiguredInterval(t *testing.T) {
	for _, c := range []struct {
		every, polls, calls int64
		least, most         int
	}{
		{second, 440, 1, 9, 10},
		{second, 440, 5, 9, 10},
		// Five calls per reading with an allowance of five per second: readings are eight fifths of a second apart.
		{second, 50, 5, 5, 7},
		// Without a configured interval, readings use five eighths of the allowance.
		{0, 20, 0, 12, 13},
	} {
		r := newRig(t, settings.Settings{ListInterval: c.every, PollsPer10s: c.polls})
		r.grants, r.list.Calls = true, c.calls
		r.learnLeader()
		r.run(2 * second)
		r.fetches = nil
		r.run(10 * second)
		must.Between(t, c.least, len(r.fetches), c.most, must.Sprint(c))
	}
}

func TestTimedOutLeaseHolderIsReplaced(t *testing.T) {
	r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440})
	// Assume that a list is known: a node without one reads it soon after start (firstread_test.go).
	r.lister.listUnknown = false
	r.run(StaleAfter)
	must.SliceEmpty(t, r.fetches, must.Sprint("the node does not read the list before StaleAfter has passed"))
	r.run(2 * RenewInterval)
	must.Len(t, 1, r.fetches, must.Sprint("this node reads the list first, since it has the first rank"))
	r.run(5 * second)
	must.Between(t, 5, len(r.fetches), 6, must.Sprint("the node reads once per second while no other node reads"))
}

func TestLeaseHolderWithoutResponsesReleasesLease(t *testing.T) {
	for _, status := range []int{0, 429, 500} {
		r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440})
		connect(r, newNode(t, settings.Settings{ListInterval: second, PollsPer10s: 440}, 1))
		r.grants = true
		r.learnLeader()
		r.run(2 * second)
		r.status, r.leaseRequests = status, nil
		r.run(2 * second)
		releases := 0
		for _, h := range r.leaseRequests {
			if h.Release {
				releases++
			}
		}
		if status != 0 {
			must.Zero(t, releases, must.Sprint(status))
			continue
		}
		must.Positive(t, releases)
		requestsBefore := len(r.leaseRequests)
		r.run(2 * second)
		must.Eq(t, requestsBefore, len(r.leaseRequests), must.Sprint("the node does not request the lease during ReleaseBackoff"))
		r.run(ReleaseBackoff)
		must.Less(t, len(r.leaseRequests), requestsBefore)
	}
}

func TestLeaseHolderWithoutPeersKeepsLease(t *testing.T) {
	r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440})
	r.grants, r.status = true, 0
	r.learnLeader()
	r.run(10 * second)
	must.Between(t, 9, len(r.fetches), 10)
}

func TestDrainingNodeRequestsNoLease(t *testing.T) {
	r := newRig(t, settings.Settings{ListInterval: second, PollsPer10s: 440})
	r.grants = true
	r.learnLeader()
	r.run(second)
	kernel.Find[*membership.Members](r.k).Update(func(m *wire.Member) { m.Draining = true })
	requestsBefore := len(r.leaseRequests)
	r.run(5 * second)
	must.Eq(t, requestsBefore, len(r.leaseRequests))
}

func TestChangedReportsAllButExpiringSlowStart(t *testing.T) {
	l := &Lister{}
	read := func(at, slowStart clock.Micros, state string) bool {
		return l.changed(at, &wire.BackendList{Complete: true, Backends: []wire.Backend{{ID: "b", WarmUpRemaining: slowStart, State: "ready"}, {ID: "a", State: state}}})
	}
	must.True(t, read(0, 0, "ready"))
	must.False(t, read(second, 0, "ready"))
	must.True(t, read(2*second, 0, "leaving"), must.Sprint("a backend's state changed"))
	must.True(t, read(3*second, 5*second, "leaving"), must.Sprint("slow start began"))
	must.False(t, read(4*second, 4*second+100_000, "leaving"), must.Sprint("only the remaining slow start decreased"))
	must.True(t, read(5*second, 9*second, "leaving"), must.Sprint("slow start began again"))
	must.False(t, read(14*second, 0, "leaving"), must.Sprint("slow start ended as announced"))
	must.True(t, read(15*second, 9*second, "leaving"))
	must.True(t, read(16*second, 0, "leaving"), must.Sprint("slow start ended earlier than announced"))
	must.True(t, l.changed(17*second, &wire.BackendList{Complete: true, Backends: []wire.Backend{{ID: "b"}}}), must.Sprint("a backend was removed"))
}
