package search

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

func TestExplainReportsEveryCandidate(t *testing.T) {
	snap := newSnapshot(3, 2)
	snap.Indexes["a"].Shards[0][1].Health = snapshot.Unreachable
	d := newTestDispatcher(snap)
	m := NewStateMachine(d, Request{Kind: KindSearch, Index: "a", Limit: 3}, 0)
	for _, v := range sends(m.Step(0, Begin{})) {
		m.Step(clock.Millisecond, AttemptDone{Attempt: v.Attempt, Result: Result{Class: ClassOK}})
	}
	tr, ok := d.Traces.Get(m.ID())
	must.True(t, ok)
	e := Explain(tr, func(*snapshot.Snapshot) string { return "1.1" })
	must.Len(t, 6, e.Candidates)
	selected := 0
	for _, k := range e.Candidates {
		must.NotEq(t, "", k.Reason)
		if k.Reason == "picked" {
			selected++
		}
		if k.Backend == "s0-1" {
			must.Eq(t, "condition is lost", k.Reason)
		}
	}
	must.Eq(t, 2, selected)
	_, ok = d.Traces.Get("n-ffff")
	must.False(t, ok)
}
