package idempotency

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// node is a process under test that has just started, with a simulated clock.
type node struct {
	k   *kernel.Kernel
	c   *Coordinator
	now int64
}

// peerConn is the connection on which other nodes send messages to the node under test.
const peerConn = 7

func newNode(t *testing.T) *node {
	t.Helper()
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1", Name: "a", Seeds: []string{"10.0.0.2:1"}}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	n := &node{k: k, c: kernel.Find[*Coordinator](k), now: 1_000_000}
	n.step(kernel.Start{})
	n.step(kernel.Tick{Plugin: "table", Key: "build"})
	must.Len(t, 1, n.c.builder.Current().KeyOwners)
	return n
}

func (n *node) step(in kernel.Input) kernel.Output { return n.k.Step(n.now, n.now, in) }

func (n *node) receive(kind uint8, id uint64, m interface {
	MarshalMsg([]byte) ([]byte, error)
}) kernel.Output {
	return n.step(kernel.Received{Conn: peerConn, Data: wire.Seal(kind, id, m)})
}

// otherNodes returns the given number of nodes of a fleet, not including the one under test.
func otherNodes(count int) (out []snapshot.Node) {
	for i := range count {
		name := string(rune('b' + i))
		out = append(out, snapshot.Node{Name: name, Zone: "z" + name, Addr: "10.0.1." + name + ":1", Origin: "origin-" + name, Live: true})
	}
	return out
}

// self returns the node under test as it appears in its own roster.
func (n *node) self() snapshot.Node { return n.c.builder.Current().KeyOwners[0] }

// startAdmission starts an admission for a caller's first attempt, with the node under test and the given nodes as
// owners, and returns its id.
func (n *node) startAdmission(t *testing.T, others []snapshot.Node) uint64 {
	t.Helper()
	n.step(kernel.Call{Plugin: "idempotency", ID: 1, Request: Admit{Key: "k", Digest: 5, FirstAttempt: true, Timeout: 5_000_000}})
	must.MapLen(t, 1, n.c.admissions)
	for id, w := range n.c.admissions {
		w.owners = append([]snapshot.Node{n.self()}, others...)
		n.now += ResendInterval
		must.SliceEmpty(t, n.tick(id).Replies, must.Sprint("the admission must not be decided: only one of several owners admitted the key"))
		return id
	}
	return 0
}

// tick fires the timer of an admission.
func (n *node) tick(id uint64) kernel.Output {
	return n.step(kernel.Tick{Plugin: "idempotency", ID: id})
}

func soleAdmission(t *testing.T, out kernel.Output) search.Admission {
	t.Helper()
	must.Len(t, 1, out.Replies)
	return out.Replies[0].Value.(search.Admission)
}

// A node that has just started may see only two of the seven other nodes. If it and these two were enough to admit a
// key, another node could get the same key admitted by the remaining five.
func TestMajorityIsOfTheLargestRosterAmongAgreeingOwners(t *testing.T) {
	for _, c := range []struct {
		counted int
		in      bool
	}{{counted: 3, in: true}, {counted: 5, in: true}, {counted: 6, in: false}, {counted: 8, in: false}} {
		t.Run(fmt.Sprint(c.counted), func(t *testing.T) {
			n := newNode(t)
			owners := otherNodes(2)
			id := n.startAdmission(t, owners)
			n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[0].Name, From: owners[0].Origin, Code: "in", KeyOwners: c.counted})
			out := n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[1].Name, From: owners[1].Origin, Code: "in", KeyOwners: c.counted})
			if c.in {
				must.Eq(t, "in", soleAdmission(t, out).Code)
				return
			}
			must.SliceEmpty(t, out.Replies, must.Sprint("the admission must not be decided: three owners are not a majority of the reported number"))
			n.now += MaxAdmissionWait
			must.Eq(t, "short", soleAdmission(t, n.tick(id)).Code)
		})
	}
}

// An owner with a larger roster must not raise the number of owners required if the owners with a smaller roster
// are a majority of the smaller roster.
func TestMajorityDoesNotNeedOwnersWithALargerRoster(t *testing.T) {
	n := newNode(t)
	owners := otherNodes(2)
	id := n.startAdmission(t, owners)
	n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[0].Name, From: owners[0].Origin, Code: "in", KeyOwners: 9})
	out := n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[1].Name, From: owners[1].Origin, Code: "in", KeyOwners: 3})
	must.Eq(t, "in", soleAdmission(t, out).Code)
}

// An owner that admitted the key may restart and lose its record before the admission is decided. Its earlier reply
// must not count any more.
func TestMajorityLostWhileWaitingForStragglersAdmitsNothing(t *testing.T) {
	n := newNode(t)
	owners := otherNodes(4)
	id := n.startAdmission(t, owners)
	n.c.admissions[id].request.FirstAttempt = false
	for _, o := range owners[:3] {
		out := n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: o.Name, From: o.Origin, Code: "in"})
		must.SliceEmpty(t, out.Replies)
	}
	must.Positive(t, n.c.admissions[id].decideAt, must.Sprint("three of five owners admitted the key, so the admission must wait for the others"))
	n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[0].Name, From: "a new process", Code: "unsure"})
	n.now += StragglerWait
	must.SliceEmpty(t, n.tick(id).Replies, must.Sprint("the key must not be admitted: only two of five owners still have its record"))
	must.Eq(t, "in", soleAdmission(t, n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[3].Name, From: owners[3].Origin, Code: "in"})).Code)
}

// An owner must report its owner count in its replies. Otherwise a node with a smaller roster could not notice that
// a majority of that roster is too small.
func TestAdmitReplyCarriesTheOwnerCount(t *testing.T) {
	n := newNode(t)
	n.c.roster = append([]snapshot.Node{n.self()}, otherNodes(7)...)
	out := n.receive(wire.KindAdmitRequest, 3, &wire.AdmitRequest{Key: "k", From: "p#1"})
	must.Len(t, 1, out.Sends)
	f, err := wire.Open(out.Sends[0].Data)
	must.NoError(t, err)
	var r wire.AdmitReply
	must.NoError(t, wire.Decode(f.Body, &r))
	must.Eq(t, 8, r.KeyOwners)
}

// A node must not hand over its records to a node that is not in its roster. The receiver would lack the records of
// the keys that the sender admits afterwards under that smaller roster.
func TestRecordsAreHandedOverOnlyToARosterMember(t *testing.T) {
	n := newNode(t)
	n.c.epochs = nil
	n.c.roster = append([]snapshot.Node{n.self()}, otherNodes(2)...)
	request := &wire.RecordsRequest{Epoch: 4, Name: "z", NewNodes: encodeRoster(append([]snapshot.Node{{Name: "z"}}, n.c.roster...))}
	must.SliceEmpty(t, n.receive(wire.KindRecordsRequest, 0, request).Sends)
	n.c.roster = append(n.c.roster, snapshot.Node{Name: "z"})
	must.Len(t, 1, n.receive(wire.KindRecordsRequest, 0, request).Sends)
}

// An owner that lost its records sees only two of the seven other nodes at first. It must not treat a missing record
// as proof that a key was never admitted until four of the other nodes have handed over their records: any four of
// eight owners include a member of every majority.
func TestOwnerIsCertainOnceEnoughOfTheLargestRosterHandedOver(t *testing.T) {
	n := newNode(t)
	all := otherNodes(7)
	n.c.roster = append([]snapshot.Node{n.self()}, all[:2]...)
	n.c.invalidateRecords(&kernel.Context{Now: n.now})
	lossEpoch := n.c.epochs[0]
	for i, o := range all[:4] {
		must.False(t, n.c.isCertain("k", "index", n.now), must.Sprintf("the owner must be uncertain after %d of seven hand-overs", i))
		if i == 2 {
			n.c.roster = append([]snapshot.Node{n.self()}, all...)
		}
		n.receive(wire.KindRecordsReply, 0, &wire.RecordsReply{Epoch: lossEpoch.id, Name: o.Name, Last: true, KeyOwners: 8})
	}
	must.True(t, n.c.isCertain("k", "index", n.now), must.Sprint("the owner must be certain after four of seven hand-overs"))
}

// While an owner is uncertain about a key, it still records an admission request for it. That record must not hide an
// earlier admission of the key that another owner hands over.
func TestUncertainRecordYieldsToOneThatIsHandedOver(t *testing.T) {
	n := newNode(t)
	n.c.roster = append([]snapshot.Node{n.self()}, otherNodes(2)...)
	n.c.invalidateRecords(&kernel.Context{Now: n.now})
	lossEpoch := n.c.epochs[0]
	admit := wire.AdmitRequest{Key: "k", From: "later#1", Sum: 5}
	must.Eq(t, "unsure", n.c.handleAdmitRequest(&kernel.Context{Now: n.now, Counts: n.k.Counts}, admit).Code)
	for _, o := range otherNodes(2) {
		n.receive(wire.KindRecordsReply, 0, &wire.RecordsReply{Epoch: lossEpoch.id, Name: o.Name, Last: true, Records: []wire.Outcome{{Key: "k", Code: "running", Status: 5, Body: []byte("earlier#1")}}})
	}
	must.Eq(t, "running", n.c.handleAdmitRequest(&kernel.Context{Now: n.now, Counts: n.k.Counts}, admit).Code)
	// A release of the later request must not free the key for which the earlier one was admitted.
	n.receive(wire.KindOutcome, 0, &wire.Outcome{Key: "k", Code: "released", Body: []byte("later#1")})
	must.Eq(t, "running", n.c.handleAdmitRequest(&kernel.Context{Now: n.now, Counts: n.k.Counts}, admit).Code)
}
