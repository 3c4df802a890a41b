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

// node is one process under test that has just started, and its clock.
type node struct {
	k   *kernel.Kernel
	c   *Coordinator
	now int64
}

// peerConn is the channel of whoever asks the node under test.
const peerConn = 7

func newNode(t *testing.T) *node {
	t.Helper()
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1", Name: "a", Seeds: []string{"10.0.0.2:1"}}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	n := &node{k: k, c: kernel.Find[*Coordinator](k), now: 1_000_000}
	n.step(kernel.Start{})
	n.step(kernel.Tick{Plugin: "table", Key: "build"})
	must.Len(t, 1, n.c.table.Current().KeyOwners)
	return n
}

func (n *node) step(in kernel.Input) kernel.Output { return n.k.Step(n.now, n.now, in) }

func (n *node) receive(kind uint8, id uint64, m interface {
	MarshalMsg([]byte) ([]byte, error)
}) kernel.Output {
	return n.step(kernel.Received{Conn: peerConn, Data: wire.Seal(kind, id, m)})
}

// otherNodes are so many nodes of a fleet beside the one under test.
func otherNodes(count int) (out []snapshot.Node) {
	for i := range count {
		name := string(rune('b' + i))
		out = append(out, snapshot.Node{Name: name, Zone: "z" + name, Addr: "10.0.1." + name + ":1", Origin: "origin-" + name, Live: true})
	}
	return out
}

// self is the node under test as its roster has it.
func (n *node) self() snapshot.Node { return n.c.table.Current().KeyOwners[0] }

// startAdmission begins a claim, by a caller's first try, at the node under test and other owners, and returns its number.
func (n *node) startAdmission(t *testing.T, others []snapshot.Node) uint64 {
	t.Helper()
	n.step(kernel.Call{Plugin: "idempotency", ID: 1, Request: Admit{Key: "k", Digest: 5, FirstAttempt: true, Timeout: 5_000_000}})
	must.MapLen(t, 1, n.c.admissions)
	for id, w := range n.c.admissions {
		w.owners = append([]snapshot.Node{n.self()}, others...)
		n.now += ResendInterval
		must.SliceEmpty(t, n.tick(id).Replies, must.Sprint("one of several owners let it in"))
		return id
	}
	return 0
}

// tick is the timer of a claim.
func (n *node) tick(id uint64) kernel.Output {
	return n.step(kernel.Tick{Plugin: "idempotency", ID: id})
}

func soleAdmission(t *testing.T, out kernel.Output) search.Admission {
	t.Helper()
	must.Len(t, 1, out.Replies)
	return out.Replies[0].Value.(search.Admission)
}

// A node that has just started may see two others of eight. What those two and itself let in
// another node, that asks the other five, could let in too.
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
			must.SliceEmpty(t, out.Replies, must.Sprint("three of more owners are no majority"))
			n.now += MaxAdmissionWait
			must.Eq(t, "short", soleAdmission(t, n.tick(id)).Code)
		})
	}
}

// Owners that see a larger roster are not needed where those that see a smaller one are a majority of it.
func TestMajorityDoesNotNeedOwnersWithALargerRoster(t *testing.T) {
	n := newNode(t)
	owners := otherNodes(2)
	id := n.startAdmission(t, owners)
	n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[0].Name, From: owners[0].Origin, Code: "in", KeyOwners: 9})
	out := n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[1].Name, From: owners[1].Origin, Code: "in", KeyOwners: 3})
	must.Eq(t, "in", soleAdmission(t, out).Code)
}

// An owner that let the claim in may have lost it before the claim is decided.
func TestMajorityLostWhileWaitingForStragglersAdmitsNothing(t *testing.T) {
	n := newNode(t)
	owners := otherNodes(4)
	id := n.startAdmission(t, owners)
	n.c.admissions[id].request.FirstAttempt = false
	for _, o := range owners[:3] {
		out := n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: o.Name, From: o.Origin, Code: "in"})
		must.SliceEmpty(t, out.Replies)
	}
	must.Positive(t, n.c.admissions[id].decideAt, must.Sprint("three of five: the others are waited for"))
	n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[0].Name, From: "a new process", Code: "unsure"})
	n.now += StragglerWait
	must.SliceEmpty(t, n.tick(id).Replies, must.Sprint("two of five"))
	must.Eq(t, "in", soleAdmission(t, n.receive(wire.KindAdmitReply, id, &wire.AdmitReply{Key: "k", Name: owners[3].Name, From: owners[3].Origin, Code: "in"})).Code)
}

// An owner says how many owners it counts.
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

// What is handed over to a node that the sender does not count yet would miss what it lets in
// afterwards, as one of the fewer owners that it counts.
func TestRecordsAreHandedOverOnlyToARosterMember(t *testing.T) {
	n := newNode(t)
	n.c.epochs = nil
	n.c.roster = append([]snapshot.Node{n.self()}, otherNodes(2)...)
	request := &wire.RecordsRequest{Epoch: 4, Name: "z", NewNodes: encodeRoster(append([]snapshot.Node{{Name: "z"}}, n.c.roster...))}
	must.SliceEmpty(t, n.receive(wire.KindRecordsRequest, 0, request).Sends)
	n.c.roster = append(n.c.roster, snapshot.Node{Name: "z"})
	must.Len(t, 1, n.receive(wire.KindRecordsRequest, 0, request).Sends)
}

// An owner that lost its records and sees two others of eight needs as many of them to hand over
// as share one with every majority of eight.
func TestOwnerVouchesOnceEnoughOfTheLargestRosterHandedOver(t *testing.T) {
	n := newNode(t)
	all := otherNodes(7)
	n.c.roster = append([]snapshot.Node{n.self()}, all[:2]...)
	n.c.invalidateRecords(&kernel.Context{Now: n.now})
	lossEpoch := n.c.epochs[0]
	for i, o := range all[:4] {
		must.False(t, n.c.canVouch("k", "index", n.now), must.Sprintf("%d of seven others", i))
		if i == 2 {
			n.c.roster = append([]snapshot.Node{n.self()}, all...)
		}
		n.receive(wire.KindRecordsReply, 0, &wire.RecordsReply{Epoch: lossEpoch.id, Name: o.Name, Last: true, KeyOwners: 8})
	}
	must.True(t, n.c.canVouch("k", "index", n.now), must.Sprint("four of seven others"))
}

// A claim that came while the owner could not vouch for the key hides none that was let in before.
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
	// The one's release is not the other's.
	n.receive(wire.KindOutcome, 0, &wire.Outcome{Key: "k", Code: "released", Body: []byte("later#1")})
	must.Eq(t, "running", n.c.handleAdmitRequest(&kernel.Context{Now: n.now, Counts: n.k.Counts}, admit).Code)
}
