// Rebuilding a group whose newest version is large: it is found by its number and then
// fetched, and an older one never takes its place because it came sooner.

package operations

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func held(from string, seq uint64, body string) wire.RebuildReply {
	v := wire.Versioned{Version: wire.Version{Term: 2, Seq: seq}}
	if body != "" {
		v.Body = []byte(body)
	}
	return wire.RebuildReply{From: from, OK: true, Stored: v}
}

func TestTheNewestVersionIsFetchedBeforeAnyCoreHoldsIt(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Operate](n.k)
	n.call(1, Rebuild{Partition: 0})
	r := o.rebuilds[1]
	for _, m := range []wire.RebuildReply{held("s1", 7, ""), held("s2", 9, ""), held("s3", 8, "")} {
		n.receive(wire.KindRebuildReply, 1, &m)
	}
	must.Eq(t, wire.Version{}, r.version.Version, must.Sprint("a version without its body is none"))
	n.pass(AskedFor)
	must.True(t, r.fetching)
	must.Eq(t, "s2", r.holder)
	older := held("s1", 7, "older")
	n.receive(wire.KindRebuildReply, 1, &older)
	must.True(t, r.fetching)
	must.Eq(t, "", n.code(1))
	newest := held("s2", 9, "newest")
	n.receive(wire.KindRebuildReply, 1, &newest)
	must.False(t, r.fetching)
	must.Eq(t, "newest", string(r.version.Body))
}

func TestARebuildingWhoseNewestVersionDoesNotArriveChangesNothing(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Operate](n.k)
	n.call(1, Rebuild{Partition: 0})
	r := o.rebuilds[1]
	newest := held("s2", 9, "")
	n.receive(wire.KindRebuildReply, 1, &newest)
	n.pass(AskedFor)
	n.pass(FetchFor - 1)
	must.Eq(t, "", n.code(1))
	n.pass(1)
	must.Eq(t, "invalid", n.code(1))
	must.False(t, r.doing)
}

// The timer of a step that ended sooner does not end the next one.
func TestATimerOfAnEarlierStepEndsNoLaterOne(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Operate](n.k)
	n.call(1, Rebuild{Partition: 0})
	o.rebuilds[1].doing, o.rebuilds[1].dueAt = true, n.now+2*AskedFor
	n.pass(AskedFor)
	must.Eq(t, "", n.code(1))
}
