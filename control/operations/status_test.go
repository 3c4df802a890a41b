package operations

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// addCores adds cores with these names to the node's members.
func (n *node) addCores(cores ...string) {
	for _, name := range cores {
		row := wire.Member{Name: name, Role: "core", Zone: "z-" + name, Addr: name + ":1"}
		n.step(mesh.Stored{Origin: name, Entry: &wire.Entry{Type: "member", Body: wire.Encode(&row)}})
	}
}

// statusReply delivers the reply of a core that has one replica with version seq.
func (n *node) statusReply(id uint64, name string, seq uint64) {
	n.receive(wire.KindStatusReply, id, &wire.StatusReply{
		Addr: name + ":1", Replicas: []wire.ReplicaStatus{{State: "follower", Committed: wire.Version{Term: 4, Seq: seq}}},
	})
}

func (n *node) status(id uint64) (Status, bool) {
	status, answered := n.answers[id].(Status)
	return status, answered
}

func TestStatusIsCompleteOnceAllCoresReply(t *testing.T) {
	n := newNode(t)
	n.addCores("b", "a")
	n.call(1, ReadStatus{})
	n.statusReply(1, "b", 9)
	_, answered := n.status(1)
	must.False(t, answered)
	n.statusReply(1, "a", 7)
	status, answered := n.status(1)
	must.True(t, answered)
	must.Len(t, 2, status.Cores)
	must.Eq(t, "a", status.Cores[0].Name)
	must.Eq(t, "z-b", status.Cores[1].Zone)
	must.Eq(t, wire.Version{Term: 4, Seq: 9}, status.Newest()[0])
}

func TestStatusNamesTimedOutCore(t *testing.T) {
	n := newNode(t)
	n.addCores("a", "b")
	n.call(1, ReadStatus{})
	n.statusReply(1, "a", 7)
	n.advance(StatusTimeout - 1)
	_, answered := n.status(1)
	must.False(t, answered)
	n.advance(1)
	status, answered := n.status(1)
	must.True(t, answered)
	must.True(t, status.Cores[0].Responded)
	must.False(t, status.Cores[1].Responded)
	n.statusReply(1, "b", 8)
	again, _ := n.status(1)
	must.Eq(t, status, again, must.Sprint("a late reply must change nothing"))
}

func TestStatusWithoutCoresIsEmpty(t *testing.T) {
	n := newNode(t)
	n.call(1, ReadStatus{})
	status, answered := n.status(1)
	must.True(t, answered)
	must.SliceEmpty(t, status.Cores)
}

func TestStatusOfCanceledCallIsNotAnswered(t *testing.T) {
	n := newNode(t)
	n.addCores("a")
	n.call(1, ReadStatus{})
	n.step(kernel.Canceled{Plugin: PluginName, ID: 1})
	n.statusReply(1, "a", 7)
	n.advance(StatusTimeout)
	_, answered := n.status(1)
	must.False(t, answered)
}

func TestKnownCoresListsRestartedCoreOnce(t *testing.T) {
	row := func(name, addr, origin string, live bool) membership.Member {
		return membership.Member{Member: wire.Member{Name: name, Role: "core", Addr: addr}, Origin: origin, Live: live}
	}
	node := membership.Member{Member: wire.Member{Name: "n", Role: "node", Addr: "n:1"}, Live: true}
	cores := knownCores([]membership.Member{row("a", "a:1", "before", false), row("a", "a:1", "now", true), row("b", "b:1", "gone", false), node})
	must.Len(t, 2, cores)
	must.Eq(t, "now", cores[0].Origin)
	must.Eq(t, "gone", cores[1].Origin)
	cores = knownCores([]membership.Member{row("a", "a:1", "now", true), row("a", "a:1", "before", false)})
	must.Len(t, 1, cores)
	must.Eq(t, "now", cores[0].Origin)
}
