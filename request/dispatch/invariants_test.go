// Tests that every invariant of the request path reports its violations.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/violation"
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// startRequest returns a request to a route and its first attempt, which is in flight.
func startRequest(t *testing.T, route string) (*StateMachine, Send) {
	t.Helper()
	f := newFixture(1, 3)
	f.fillRetryBudgets()
	m := f.stateMachine(route)
	a := sends(m.Step(startTime, Begin{}))
	must.SliceNotEmpty(t, a)
	return m, a[0]
}

// violationOfSend sends the request to the pool of its first shard again, regardless of the previous attempt, and
// returns the violated invariant.
func violationOfSend(m *StateMachine) invariant.Name {
	return violation.By(func() { m.send(startTime+1_000, 0, sendReplacement) })
}

func TestViolationsOfSends(t *testing.T) {
	m, _ := startRequest(t, "once2")
	must.Eq(t, invariant.AtMostOnce, violationOfSend(m), must.Sprint("the request is sent again while an attempt is in flight"))

	m, a := startRequest(t, "once2")
	m.Step(startTime+1_000, AttemptDone{N: a.N, Result: Result{Class: ClassFailed}})
	m.finished = false
	must.Eq(t, invariant.AtMostOnce, violationOfSend(m), must.Sprint("the request is sent again although the first attempt may have run"))

	m, a = startRequest(t, "once2")
	m.Step(startTime+1_000, AttemptDone{N: a.N, Result: success("x")})
	must.Eq(t, invariant.NoSendAfterOutcome, violationOfSend(m))

	m, _ = startRequest(t, "read")
	m.shards[0].sent = m.maxBackends()
	must.Eq(t, invariant.BackendsWithinRoute, violationOfSend(m))

	m, _ = startRequest(t, "read")
	for i := range m.shards[0].pool.endpoints {
		m.shards[0].pool.endpoints[i].listed.Health = snapshot.Draining
	}
	must.Eq(t, invariant.NoSendToDraining, violationOfSend(m))

	m, a = startRequest(t, "read")
	m.shards[0].inFlight = 0
	must.Eq(t, invariant.GaugesNotNegative, violation.By(func() { m.closeAttempt(startTime+1_000, a.N, nil) }))
}

// violationOfFinish finishes the request with an outcome and returns the violated invariant.
func violationOfFinish(m *StateMachine, o Outcome) invariant.Name {
	return violation.By(func() { m.finish(startTime+1_000, StateResponded, o) })
}

func TestViolationsOfOutcomes(t *testing.T) {
	for status, name := range map[int]invariant.Name{503: invariant.RejectedNotRun, 429: invariant.RejectedNotRun, 504: "", 502: ""} {
		m, _ := startRequest(t, "once2")
		must.Eq(t, name, violationOfFinish(m, Outcome{Status: status, Code: CodeRejected}), must.Sprint(status))
	}
	m, _ := startRequest(t, "read")
	must.Eq(t, "", violationOfFinish(m, Outcome{Status: 503, Code: CodeRejected}), must.Sprint("a request that may run twice may be rejected"))
	for _, result := range []*Result{nil, {Class: ClassResponse, Status: 200}, {Class: ClassResponse, Status: 500, Seal: "s"}} {
		m, _ := startRequest(t, "read")
		must.Eq(t, invariant.SuccessSealed, violationOfFinish(m, Outcome{Status: 200, Code: CodeOK, Response: result}))
	}
	for _, o := range []Outcome{
		{Seals: []string{"a"}, Missing: 0},
		{Seals: []string{"a", "a"}},
		{Seals: []string{"a", "b"}, Missing: 1},
	} {
		f := newFixture(2, 2)
		f.fillRetryBudgets()
		m := f.stateMachine("gather")
		m.Step(startTime, Begin{})
		o.Status, o.Code = 200, CodeOK
		must.Eq(t, invariant.ShardsComplete, violationOfFinish(m, o))
	}
}
