package operations

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// node runs the kernel of a node or core and records its output.
type node struct {
	t       *testing.T
	k       *kernel.Kernel
	now     clock.Micros
	timers  []kernel.Timer
	answers map[uint64]any
	// edits has the addresses that edits were sent to, and frames the edits themselves.
	edits  []string
	frames []sentEdit
}

type sentEdit struct {
	id   uint64
	edit wire.Edit
}

// newNode returns a node to which a core has reported that "owner" leads partition 0.
func newNode(t *testing.T) *node {
	t.Helper()
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1", Zone: "z1"}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	n := &node{t: t, k: k, now: 1 * clock.Second, answers: map[uint64]any{}}
	n.step(kernel.Start{})
	n.receive(wire.KindPullReply, 0, &wire.PullReply{Leaders: []wire.Leader{{Partition: 0, Term: 3, Replica: "s", Addr: "owner"}}})
	return n
}

func (n *node) step(in kernel.Input) {
	out := n.k.Step(n.now, n.now, in)
	for _, timer := range out.Timers {
		if timer.Plugin == PluginName {
			n.timers = append(n.timers, timer)
		}
	}
	for _, a := range out.Replies {
		n.answers[a.ID] = a.Value
	}
	for _, s := range out.Sends {
		if f, err := wire.Open(s.Data); err == nil && f.Kind == wire.KindEdit {
			n.edits = append(n.edits, s.Addr)
			var e wire.Edit
			must.NoError(n.t, wire.Decode(f.Body, &e))
			n.frames = append(n.frames, sentEdit{f.ID, e})
		}
	}
}

func (n *node) receive(kind uint8, id uint64, m interface{ MarshalMsg([]byte) ([]byte, error) }) {
	n.step(kernel.Received{Conn: 4, Data: wire.Seal(kind, id, m)})
}

func (n *node) reply(id uint64, r wire.EditReply) { n.receive(wire.KindEditReply, id, &r) }

func (n *node) call(id uint64, request any) {
	n.step(kernel.Call{Plugin: PluginName, ID: id, Request: request})
}

// advance advances the time by span and delivers the timers that expire, in order.
func (n *node) advance(span clock.Micros) {
	for end := n.now + span; ; {
		next := -1
		for i, v := range n.timers {
			if v.At <= end && (next < 0 || v.At < n.timers[next].At) {
				next = i
			}
		}
		if next < 0 {
			n.now = end
			return
		}
		v := n.timers[next]
		n.timers = append(n.timers[:next], n.timers[next+1:]...)
		n.now = max(n.now, v.At)
		n.step(v.Tick)
	}
}

// code returns the code of a call's result, or "" if the call has not been answered.
func (n *node) code(id uint64) wire.Code {
	v, ok := n.answers[id]
	if !ok {
		return ""
	}
	return v.(Result).Reply.Code
}

// routingEdit returns an edit that is sent without a preceding query for a zone's version.
func routingEdit() wire.Edit { return wire.Edit{Op: wire.OpPutRouting} }

func TestSubmitTimesOutAsUnknown(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: routingEdit(), AwaitInForce: true, AwaitTimeout: 300 * clock.Millisecond, Timeout: 800 * clock.Millisecond})
	n.advance(800*clock.Millisecond - 1)
	must.Eq(t, "", n.code(1))
	n.advance(1)
	must.Eq(t, wire.CodeUnknown, n.code(1))
	must.Eq(t, 5, len(n.edits), must.Sprint("the edit must be sent five times before the time-out"))
}

func TestSubmitWithoutCoresIsOverloaded(t *testing.T) {
	k := newNode(t)
	k.k = kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1"}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	k.call(1, Submit{Edit: routingEdit(), Timeout: 800 * clock.Millisecond})
	k.advance(800 * clock.Millisecond)
	must.Eq(t, wire.CodeOverloaded, k.code(1))
}

func TestSubmitDeclinedByAllIsOverloadedAndBySomeUnknown(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: routingEdit(), Timeout: 800 * clock.Millisecond})
	for range 8 {
		for range len(n.edits) {
			n.reply(1, wire.EditReply{Code: wire.CodeNotLeader})
		}
		n.edits = nil
		n.advance(100 * clock.Millisecond)
	}
	must.Eq(t, wire.CodeOverloaded, n.code(1))
	n.call(2, Submit{Edit: routingEdit(), Timeout: 800 * clock.Millisecond})
	n.reply(2, wire.EditReply{Code: wire.CodeNotLeader})
	n.advance(800 * clock.Millisecond)
	must.Eq(t, wire.CodeUnknown, n.code(2), must.Sprint("the outcome must be unknown, because the later attempts were not declined"))
}

func TestSubmitFollowsRedirectsToLeader(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: routingEdit(), Timeout: 800 * clock.Millisecond})
	n.reply(1, wire.EditReply{Code: wire.CodeNotLeader, Addr: "other"})
	must.Eq(t, []string{"owner", "other"}, n.edits)
	n.reply(1, wire.EditReply{Code: wire.CodeOK, Version: wire.Version{Term: 3, Seq: 1}})
	must.Eq(t, wire.CodeOK, n.code(1))
	// Two cores that redirect to each other must not keep an edit circulating.
	n.call(2, Submit{Edit: routingEdit()})
	n.edits = nil
	for range 100 {
		n.reply(2, wire.EditReply{Code: wire.CodeNotLeader, Addr: "other"})
	}
	must.Eq(t, maxRedirects, len(n.edits))
}

func TestSubmitRetriesUnknownOutcome(t *testing.T) {
	n := newNode(t)
	n.call(1, Submit{Edit: routingEdit(), Timeout: 800 * clock.Millisecond})
	n.reply(1, wire.EditReply{Code: wire.CodeUnknown})
	must.Eq(t, "", n.code(1))
	n.advance(200 * clock.Millisecond)
	n.reply(1, wire.EditReply{Code: wire.CodeOK})
	must.Eq(t, wire.CodeOK, n.code(1))
}

func TestAwaitInForceIsBounded(t *testing.T) {
	at := wire.Version{Term: 9, Seq: 1}
	for _, v := range []struct {
		name                                   string
		awaitTimeout, timeout, repliedAt, ends clock.Micros
	}{
		{"by its own time-out", 300 * clock.Millisecond, 900 * clock.Millisecond, 0, 300 * clock.Millisecond},
		{"by the time-out of the call", 300 * clock.Millisecond, 900 * clock.Millisecond, 800 * clock.Millisecond, 900 * clock.Millisecond},
		{"by the default", 0, 0, 0, InForceTimeout},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newNode(t)
			// The only live node is this one, which does not have that version in force.
			n.call(1, Submit{Edit: routingEdit(), AwaitInForce: true, AwaitTimeout: v.awaitTimeout, Timeout: v.timeout})
			n.advance(v.repliedAt)
			n.reply(1, wire.EditReply{Code: wire.CodeOK, Version: at})
			n.advance(v.ends - v.repliedAt - 1)
			must.Eq(t, "", n.code(1))
			n.advance(1)
			must.Eq(t, wire.CodeOK, n.code(1))
			must.Len(t, 1, n.answers[1].(Result).Laggards)
		})
	}
}

func TestReadRoutingFromLeader(t *testing.T) {
	b, err := proto.Marshal(&routingpb.RoutingTable{Revision: 7})
	must.NoError(t, err)
	n := newNode(t)
	n.call(1, ReadRouting{Timeout: 800 * clock.Millisecond})
	n.reply(1, wire.EditReply{Code: wire.CodeOK, Body: wire.Encode(&wire.ConfigBody{Routing: b})})
	got := n.answers[1].(Routing)
	must.Eq(t, wire.CodeOK, got.Code)
	must.Eq(t, 7, got.Table.Revision)
	n.call(2, ReadRouting{Timeout: 800 * clock.Millisecond})
	n.reply(2, wire.EditReply{Code: wire.CodeOK})
	must.Eq(t, Routing{Code: wire.CodeOK}, n.answers[2].(Routing), must.Sprint("the table must be nil if none has ever been set"))
	n.call(3, ReadRouting{Timeout: 800 * clock.Millisecond})
	n.advance(800 * clock.Millisecond)
	must.Eq(t, Routing{Code: wire.CodeOverloaded}, n.answers[3].(Routing))
}
