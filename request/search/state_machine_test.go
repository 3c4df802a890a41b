// The chart's promises where scenarios would need luck to reach them.

package search

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

func newSnapshot(perShard, shards int) *snapshot.Snapshot {
	svc := &configpb.Service{Index: "a", Capacity: 10000, RequiredShare: 75, DeadlineUs: 500_000, MaxDeadlineUs: 1_000_000, HedgeUs: 40_000, RampUs: 1_000_000}
	x := &snapshot.Index{Name: "a", ShardMap: wire.ShardMap{Name: "c1", Shards: shards}, Service: svc, Limits: map[string]snapshot.Limit{}, Capacity: 10000}
	for sh := range shards {
		var list []*snapshot.Backend
		for i := range perShard {
			list = append(list, &snapshot.Backend{Backend: wire.Backend{ID: fmt.Sprintf("s%d-%d", sh, i), Zone: fmt.Sprintf("z%d", i%2), Incarnation: 1}, Born: -10_000_000, Gauge: &snapshot.Gauge{}})
		}
		x.Shards = append(x.Shards, list)
	}
	return &snapshot.Snapshot{Complete: true, Zone: "z0", Divisor: 1, Peers: 1, Version: wire.Version{Term: 1, Seq: 1}, Indexes: map[string]*snapshot.Index{"a": x}}
}

func newTestDispatcher(snap *snapshot.Snapshot) *Dispatcher {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{}, Role: "none", Key: kernel.KeyFrom(make([]byte, 32))})
	return &Dispatcher{Snapshot: func() *snapshot.Snapshot { return snap }, LoadReport: &loadreport.Reporter{}, Counts: k.Counts, Traces: newTraceRing(), Name: "n", Seed: 1, StartedAt: -100_000_000}
}

func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if v, ok := a.(Send); ok {
			out = append(out, v)
		}
	}
	return out
}

func outcome(acts []Action) *Outcome {
	for _, a := range acts {
		if v, ok := a.(Finish); ok {
			return &v.Outcome
		}
	}
	return nil
}

func TestCorrectionIsNotRetriedAfterWrite(t *testing.T) {
	for _, class := range []ReplyClass{ReplyFailed, ReplyInvalid} {
		m := NewStateMachine(newTestDispatcher(newSnapshot(3, 2)), Request{Kind: KindCorrect, Index: "a", Record: "r"}, 0)
		a := sends(m.Step(0, Start{}))
		must.Len(t, 1, a)
		acts := m.Step(1000, ReplyReceived{Attempt: a[0].Attempt, Reply: Reply{Class: class, Reason: "reset"}})
		must.SliceEmpty(t, sends(acts))
		o := outcome(acts)
		must.NotNil(t, o)
		must.Eq(t, CodeOutcomeUnknown, o.Code)
		must.Eq(t, ExecutionUnknown, o.Ran)
	}
}

func TestUnwrittenCorrectionIsSentToAnotherBackend(t *testing.T) {
	d := newTestDispatcher(newSnapshot(3, 2))
	m := NewStateMachine(d, Request{Kind: KindCorrect, Index: "a", Record: "r"}, 0)
	first := sends(m.Step(0, Start{}))
	second := sends(m.Step(1000, ReplyReceived{Attempt: 0, Reply: Reply{Class: ReplyNotWritten}}))
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Backend.ID, second[0].Backend.ID)
	must.True(t, second[0].Replacement, must.Sprint("it adds nothing to the pool's traffic"))
	must.Eq(t, 0, d.Counts.Of("extra_tries").Load())
	third := sends(m.Step(2000, ReplyReceived{Attempt: 1, Reply: Reply{Class: ReplyRejected}}))
	must.Len(t, 1, third, must.Sprint("a server's own refusal did not run it"))
	must.True(t, third[0].Retry)
	must.Eq(t, 1, d.Counts.Of("extra_tries").Load())
}

func TestCorrectionIsNotHedgedAndIsUnknownAtDeadline(t *testing.T) {
	m := NewStateMachine(newTestDispatcher(newSnapshot(3, 2)), Request{Kind: KindPart, Index: "a", Record: "r", Deadline: 400_000}, 0)
	m.Step(0, Start{})
	acts := m.Step(200_000, TimerFired{})
	must.SliceEmpty(t, sends(acts))
	must.Nil(t, outcome(acts))
	o := outcome(m.Step(399_999, TimerFired{}))
	must.NotNil(t, o)
	must.Eq(t, CodeOutcomeUnknown, o.Code)
}

func TestSearchFailsAtOnceBelowRequiredShare(t *testing.T) {
	m := NewStateMachine(newTestDispatcher(newSnapshot(1, 4)), Request{Kind: KindSearch, Index: "a", Limit: 5}, 0)
	m.Step(0, Start{})
	must.Nil(t, outcome(m.Step(1000, ReplyReceived{Attempt: 0, Reply: Reply{Class: ReplyFailed}})), must.Sprint("three of four are still enough"))
	o := outcome(m.Step(2000, ReplyReceived{Attempt: 1, Reply: Reply{Class: ReplyFailed}}))
	must.NotNil(t, o, must.Sprint("two of four never are: no waiting for the deadline"))
	must.Eq(t, CodeGivenUp, o.Code)
	must.Positive(t, o.Retry)
}

func TestPartialSearchReportsMissingShards(t *testing.T) {
	snap := newSnapshot(1, 4)
	m := NewStateMachine(newTestDispatcher(snap), Request{Kind: KindSearch, Index: "a", Limit: 3}, 0)
	a := sends(m.Step(0, Start{}))
	var acts []Action
	for i, v := range a {
		r := Reply{Class: ReplyOK, Records: []Record{{ID: fmt.Sprint("x", v.Shard), Score: int64(10 + v.Shard)}}}
		if i == 1 {
			r = Reply{Class: ReplyFailed}
		}
		acts = m.Step(1000, ReplyReceived{Attempt: v.Attempt, Reply: r})
	}
	o := outcome(acts)
	must.NotNil(t, o)
	must.Eq(t, []int{a[1].Shard}, o.Missing)
	must.Eq(t, []string{"x3", "x2", "x0"}, []string{o.Records[0].ID, o.Records[1].ID, o.Records[2].ID})
}

func TestDrainingBackendsAreNeverSelected(t *testing.T) {
	snap := newSnapshot(3, 1)
	list := snap.Indexes["a"].Shards[0]
	list[0].Health, list[1].Health, list[2].Health = snapshot.Draining, snapshot.ZoneDrained, snapshot.Unreachable
	r := random.Source(1)
	for range 50 {
		c, ok := selectBackend(snap, snap.Indexes["a"], list, nil, 0, &r)
		must.True(t, ok)
		must.Eq(t, list[2].ID, c.Backend.ID, must.Sprint("the least bad"))
	}
	_, ok := selectBackend(snap, snap.Indexes["a"], list, []string{list[2].ID}, 0, &r)
	must.False(t, ok)
}

func TestSlowStartBackendIsSelectedByItsWarmth(t *testing.T) {
	snap := newSnapshot(10, 1)
	list := snap.Indexes["a"].Shards[0]
	list[0].Born = 0
	for _, s := range list {
		s.Zone = "z0"
	}
	r := random.Source(7)
	for _, at := range []int64{0, 250_000, 500_000} {
		n := 0
		for range 20000 {
			if c, _ := selectBackend(snap, snap.Indexes["a"], list, nil, at, &r); c.Backend == list[0] {
				n++
			}
		}
		fair := 20000 * max(100, at*1000/1_000_000) / 1000 / 10
		must.Less(t, int(fair)*3/2, n, must.Sprintf("at %d", at))
	}
}

func TestShardInSlowStartIsServedAtOnce(t *testing.T) {
	snap := newSnapshot(4, 1)
	for _, s := range snap.Indexes["a"].Shards[0] {
		s.Born = 0
	}
	r := random.Source(7)
	seen := map[string]int{}
	for range 4000 {
		c, ok := selectBackend(snap, snap.Indexes["a"], snap.Indexes["a"].Shards[0], nil, 0, &r)
		must.True(t, ok)
		seen[c.Backend.ID]++
	}
	for id, n := range seen {
		must.Greater(t, 500, n, must.Sprint(id))
	}
}

// TestRetryBudgetHoldsInAnyTenSeconds has traffic that stops dead now and then,
// for what was earned before a window began must not be spent within it.
func TestRetryBudgetHoldsInAnyTenSeconds(t *testing.T) {
	snap := newSnapshot(1, 1)
	d := newTestDispatcher(snap)
	extras, firsts := map[int64]int64{}, map[int64]int64{}
	for now := int64(0); now < 90_000_000; now += 10_000 {
		sec := now / 1_000_000
		if sec%17 > 12 {
			continue
		}
		d.replenishRetryBudget(snap, "a", now)
		firsts[sec]++
		for range 2 {
			if sec%5 == 4 && d.takeRetries(snap, "a", now, 1) {
				extras[sec]++
			}
		}
	}
	var all int64
	for s := int64(0); s < 80; s++ {
		var e, f int64
		for i := s; i < s+10; i++ {
			e += extras[i]
			f += firsts[i]
		}
		all += e
		must.LessEq(t, f/5+60, e, must.Sprintf("from second %d", s))
	}
	must.Greater(t, 1000, all, must.Sprint("and the allowance is used"))
}

func TestExplainReportsEveryCandidate(t *testing.T) {
	snap := newSnapshot(3, 2)
	snap.Indexes["a"].Shards[0][1].Health = snapshot.Unreachable
	d := newTestDispatcher(snap)
	m := NewStateMachine(d, Request{Kind: KindSearch, Index: "a", Limit: 3}, 0)
	for _, v := range sends(m.Step(0, Start{})) {
		m.Step(1000, ReplyReceived{Attempt: v.Attempt, Reply: Reply{Class: ReplyOK}})
	}
	tr, ok := d.Traces.Get(m.ID())
	must.True(t, ok)
	e := Explain(tr, func(*snapshot.Snapshot) string { return "1.1" })
	must.Len(t, 6, e.Candidates)
	picked := 0
	for _, k := range e.Candidates {
		must.NotEq(t, "", k.Reason)
		if k.Reason == "picked" {
			picked++
		}
		if k.Backend == "s0-1" {
			must.Eq(t, "condition is lost", k.Reason)
		}
	}
	must.Eq(t, 2, picked)
	_, ok = d.Traces.Get("n-ffff")
	must.False(t, ok)
}
