package search

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// newSnapshot returns a snapshot with one index named "a". Each shard has perShard backends, spread over
// two zones.
func newSnapshot(perShard, shards int) *snapshot.Snapshot {
	svc := &configpb.Service{Index: "a", Capacity: 10000, RequiredShare: 75, DeadlineUs: 500 * clock.Millisecond, MaxDeadlineUs: clock.Second, HedgeUs: 40 * clock.Millisecond, RampUs: clock.Second}
	x := &snapshot.Index{Name: "a", ShardMap: wire.ShardMap{Name: "c1", Shards: shards}, Service: svc, Limits: map[string]snapshot.Limit{}, Capacity: 10000}
	for sh := range shards {
		var backends []*snapshot.Backend
		for i := range perShard {
			backends = append(backends, &snapshot.Backend{Backend: wire.Backend{ID: fmt.Sprintf("s%d-%d", sh, i), Zone: fmt.Sprintf("z%d", i%2), Incarnation: 1}, IncarnationStartedAt: -10 * clock.Second, Gauge: &snapshot.Gauge{}})
		}
		x.Shards = append(x.Shards, backends)
	}
	return &snapshot.Snapshot{Complete: true, Zone: "z0", Divisor: 1, LiveNodeCount: 1, Version: wire.Version{Term: 1, Seq: 1}, Indexes: map[string]*snapshot.Index{"a": x}}
}

// newTestDispatcher returns the dispatcher of a node that started 100 s ago.
func newTestDispatcher(snap *snapshot.Snapshot) *Dispatcher {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{}, Role: "none", Key: kernel.KeyFrom(make([]byte, 32))})
	return &Dispatcher{Snapshot: func() *snapshot.Snapshot { return snap }, LoadReport: &loadreport.Reporter{}, Counts: k.Counts, Traces: newTraceRing(), Name: "n", Seed: 1, StartedAt: -100 * clock.Second}
}

// sends returns the Send actions.
func sends(actions []Action) (out []Send) {
	for _, a := range actions {
		if v, ok := a.(Send); ok {
			out = append(out, v)
		}
	}
	return out
}

// outcome returns the outcome of the Finish action, or nil if there is none.
func outcome(actions []Action) *Outcome {
	for _, a := range actions {
		if v, ok := a.(Finish); ok {
			return &v.Outcome
		}
	}
	return nil
}

func TestCorrectionIsNotRetriedAfterWrite(t *testing.T) {
	for _, class := range []Class{ClassFailed, ClassInvalid} {
		m := NewStateMachine(newTestDispatcher(newSnapshot(3, 2)), Request{Kind: KindCorrect, Index: "a", Record: "r"}, 0)
		a := sends(m.Step(0, Begin{}))
		must.Len(t, 1, a)
		actions := m.Step(clock.Millisecond, AttemptDone{Attempt: a[0].Attempt, Result: Result{Class: class, Reason: "reset"}})
		must.SliceEmpty(t, sends(actions))
		o := outcome(actions)
		must.NotNil(t, o)
		must.Eq(t, CodeOutcomeUnknown, o.Code)
		must.Eq(t, ExecutionUnknown, o.Ran)
	}
}

func TestUnwrittenCorrectionIsSentToAnotherBackend(t *testing.T) {
	d := newTestDispatcher(newSnapshot(3, 2))
	m := NewStateMachine(d, Request{Kind: KindCorrect, Index: "a", Record: "r"}, 0)
	first := sends(m.Step(0, Begin{}))
	second := sends(m.Step(clock.Millisecond, AttemptDone{Attempt: 0, Result: Result{Class: ClassNotSent}}))
	must.Len(t, 1, second)
	must.NotEq(t, first[0].Backend.ID, second[0].Backend.ID)
	must.True(t, second[0].Replacement, must.Sprint("the second attempt must be marked as a replacement, which is not charged to the retry budget"))
	must.Eq(t, 0, d.Counts.Of("extra_tries").Load())
	third := sends(m.Step(2*clock.Millisecond, AttemptDone{Attempt: 1, Result: Result{Class: ClassRejected}}))
	must.Len(t, 1, third, must.Sprint("a request that a backend rejected did not run, so it must be retried"))
	must.True(t, third[0].Retry)
	must.Eq(t, 1, d.Counts.Of("extra_tries").Load())
}

func TestCorrectionIsNotHedgedAndIsUnknownAtDeadline(t *testing.T) {
	m := NewStateMachine(newTestDispatcher(newSnapshot(3, 2)), Request{Kind: KindPart, Index: "a", Record: "r", Deadline: 400 * clock.Millisecond}, 0)
	m.Step(0, Begin{})
	actions := m.Step(200*clock.Millisecond, TimerFired{})
	must.SliceEmpty(t, sends(actions))
	must.Nil(t, outcome(actions))
	o := outcome(m.Step(400*clock.Millisecond-1, TimerFired{}))
	must.NotNil(t, o)
	must.Eq(t, CodeOutcomeUnknown, o.Code)
}

func TestSearchFailsAtOnceBelowRequiredShare(t *testing.T) {
	m := NewStateMachine(newTestDispatcher(newSnapshot(1, 4)), Request{Kind: KindSearch, Index: "a", Limit: 5}, 0)
	m.Step(0, Begin{})
	must.Nil(t, outcome(m.Step(clock.Millisecond, AttemptDone{Attempt: 0, Result: Result{Class: ClassFailed}})), must.Sprint("the search must not fail while three of four shards can still answer"))
	o := outcome(m.Step(2*clock.Millisecond, AttemptDone{Attempt: 1, Result: Result{Class: ClassFailed}}))
	must.NotNil(t, o, must.Sprint("two of four shards are below the required share, so the search must fail without waiting for its deadline"))
	must.Eq(t, CodeGivenUp, o.Code)
	must.Positive(t, o.Retry)
}

func TestPartialSearchReportsMissingShards(t *testing.T) {
	snap := newSnapshot(1, 4)
	m := NewStateMachine(newTestDispatcher(snap), Request{Kind: KindSearch, Index: "a", Limit: 3}, 0)
	a := sends(m.Step(0, Begin{}))
	var actions []Action
	for i, v := range a {
		r := Result{Class: ClassOK, Records: []Record{{ID: fmt.Sprint("x", v.Shard), Score: int64(10 + v.Shard)}}}
		if i == 1 {
			r = Result{Class: ClassFailed}
		}
		actions = m.Step(clock.Millisecond, AttemptDone{Attempt: v.Attempt, Result: r})
	}
	o := outcome(actions)
	must.NotNil(t, o)
	must.Eq(t, []int{a[1].Shard}, o.Missing)
	must.Eq(t, []string{"x3", "x2", "x0"}, []string{o.Records[0].ID, o.Records[1].ID, o.Records[2].ID})
}
