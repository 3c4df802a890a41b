package search

import (
	"testing"

	"wallport/request/snapshot"
)

func BenchmarkSearchStateMachine(b *testing.B) {
	snap := newSnapshot(12, 4)
	d := newTestDispatcher(snap)
	result := Result{Class: ClassOK, Records: []Record{{ID: "a", Score: 3}, {ID: "b", Score: 2}, {ID: "c", Score: 1}}}
	now := int64(0)
	for b.Loop() {
		now += 1000
		m := NewStateMachine(d, Request{Kind: KindSearch, Index: "a", Limit: 10}, now)
		for _, v := range sends(m.Step(now, Begin{})) {
			m.Step(now+500, AttemptDone{Attempt: v.Attempt, Result: result})
		}
	}
}

func BenchmarkSearchTrace(b *testing.B) {
	snap := newSnapshot(12, 4)
	r := newTraceRing()
	in := &Request{Kind: KindSearch, Index: "a"}
	choice := Selection{Backend: snap.Indexes["a"].Shards[0][0], Sampled: []string{"x", "y"}, Tier: "usable"}
	for b.Loop() {
		t := newTrace("n-1", in, 0)
		t.snapshot = (*snapshot.Snapshot)(snap)
		for _, s := range []State{StateClassified, StateAdmitted, StateAdmitted, StateSelected, StateSelected, StateSelected, StateSelected, StateGathered, StateAnswered} {
			t.transition(1, s, "")
		}
		for n := range 4 {
			t.sent(1, n, n, choice, false)
			t.ended(2, n, Result{Class: ClassOK})
		}
		r.put(t, 3, Outcome{Code: CodeOK})
	}
}
