// What a search costs a node beside HTTP, and how much of it explain's trace is.

package search

import (
	"testing"

	"wallport/request/snapshot"
)

func BenchmarkSearchChart(b *testing.B) {
	cp := newSnapshot(12, 4)
	d := desk(cp)
	reply := Reply{Class: ReplyOK, Records: []Record{{ID: "a", Score: 3}, {ID: "b", Score: 2}, {ID: "c", Score: 1}}}
	now := int64(0)
	for b.Loop() {
		now += 1000
		c := NewChart(d, Inquiry{Kind: Search, Index: "a", Limit: 10}, now)
		for _, v := range asks(c.Step(now, Begin{})) {
			c.Step(now+500, Replied{N: v.N, Reply: reply})
		}
	}
}

func BenchmarkTraceOfASearch(b *testing.B) {
	cp := newSnapshot(12, 4)
	r := newTraces()
	in := &Inquiry{Kind: Search, Index: "a"}
	choice := Choice{Server: cp.Indexes["a"].Shards[0][0], Drawn: []string{"x", "y"}, Tier: "usable"}
	for b.Loop() {
		t := newTrace("n-1", in, 0)
		t.cp = (*snapshot.Snapshot)(cp)
		for _, s := range []State{StClassified, StLetIn, StLetIn, StPicked, StPicked, StPicked, StPicked, StGathered, StAnswered} {
			t.add(1, s, "")
		}
		for n := range 4 {
			t.pick(1, n, n, choice, false)
			t.reply(2, n, Reply{Class: ReplyOK})
		}
		r.put(t, 3, Outcome{Code: OK})
	}
}
