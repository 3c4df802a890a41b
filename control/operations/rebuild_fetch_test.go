package operations

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func storedReply(from string, seq uint64, body string) wire.RebuildReply {
	v := wire.Versioned{Version: wire.Version{Term: 2, Seq: seq}}
	if body != "" {
		v.Body = []byte(body)
	}
	return wire.RebuildReply{From: from, OK: true, Stored: v}
}

func TestRebuildFetchesNewestVersionFirst(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Service](n.k)
	n.call(1, Rebuild{Partition: 0})
	r := o.rebuilds[1]
	for _, m := range []wire.RebuildReply{storedReply("s1", 7, ""), storedReply("s2", 9, ""), storedReply("s3", 8, "")} {
		n.receive(wire.KindRebuildReply, 1, &m)
	}
	must.Eq(t, wire.Version{}, r.versioned.Version, must.Sprint("a version without a body must not be used"))
	n.advance(StepTimeout)
	must.True(t, r.fetching)
	must.Eq(t, "s2", r.newestReplica)
	older := storedReply("s1", 7, "older")
	n.receive(wire.KindRebuildReply, 1, &older)
	must.True(t, r.fetching)
	must.Eq(t, "", n.code(1))
	newest := storedReply("s2", 9, "newest")
	n.receive(wire.KindRebuildReply, 1, &newest)
	must.False(t, r.fetching)
	must.Eq(t, "newest", string(r.versioned.Body))
}

func TestRebuildFailsWithoutNewestVersion(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Service](n.k)
	n.call(1, Rebuild{Partition: 0})
	r := o.rebuilds[1]
	newest := storedReply("s2", 9, "")
	n.receive(wire.KindRebuildReply, 1, &newest)
	n.advance(StepTimeout)
	n.advance(FetchTimeout - 1)
	must.Eq(t, "", n.code(1))
	n.advance(1)
	must.Eq(t, wire.CodeInvalid, n.code(1))
	must.False(t, r.applying)
}

// The timer of a step that ended before its deadline must not end the next step.
func TestRebuildIgnoresTimerOfEarlierStep(t *testing.T) {
	n := newNode(t)
	o := kernel.Find[*Service](n.k)
	n.call(1, Rebuild{Partition: 0})
	o.rebuilds[1].applying, o.rebuilds[1].deadline = true, n.now+2*StepTimeout
	n.advance(StepTimeout)
	must.Eq(t, "", n.code(1))
}
