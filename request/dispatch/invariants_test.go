// Every invariant of the request path is seen to be violated where it does not hold.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/violation"
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// asked is a chart of a route with its first ask under way.
func asked(t *testing.T, route string) (*StateMachine, Send) {
	t.Helper()
	f := fixed(1, 3)
	f.rich()
	m := f.chart(route)
	a := asks(m.Step(begun, Begin{}))
	must.SliceNotEmpty(t, a)
	return m, a[0]
}

// asksAgain asks for the chart's first way once more, whatever became of the ask before.
func asksAgain(m *StateMachine) invariant.Name {
	return violation.By(func() { m.send(begun+1_000, 0, sendReplacement) })
}

func TestViolationsOfAsks(t *testing.T) {
	m, _ := asked(t, "once2")
	must.Eq(t, invariant.AtMostOnce, asksAgain(m), must.Sprint("one is under way"))

	m, a := asked(t, "once2")
	m.Step(begun+1_000, AttemptDone{N: a.N, Result: Result{Class: ClassFailed}})
	m.finished = false
	must.Eq(t, invariant.AtMostOnce, asksAgain(m), must.Sprint("one may have run"))

	m, a = asked(t, "once2")
	m.Step(begun+1_000, AttemptDone{N: a.N, Result: okay("x")})
	must.Eq(t, invariant.NoSendAfterOutcome, asksAgain(m))

	m, _ = asked(t, "read")
	m.shards[0].sent = m.maxBackends()
	must.Eq(t, invariant.BackendsWithinRoute, asksAgain(m))

	m, _ = asked(t, "read")
	for i := range m.shards[0].pool.endpoints {
		m.shards[0].pool.endpoints[i].server.Health = snapshot.Draining
	}
	must.Eq(t, invariant.NoSendToDraining, asksAgain(m))

	m, a = asked(t, "read")
	m.shards[0].inFlight = 0
	must.Eq(t, invariant.GaugesNotNegative, violation.By(func() { m.closeAttempt(begun+1_000, a.N, nil) }))
}

// ends has a chart give an outcome.
func ends(m *StateMachine, o Outcome) invariant.Name {
	return violation.By(func() { m.finish(begun+1_000, StateResponded, o) })
}

func TestViolationsOfOutcomes(t *testing.T) {
	for status, name := range map[int]invariant.Name{503: invariant.RejectedNotRun, 429: invariant.RejectedNotRun, 504: "", 502: ""} {
		m, _ := asked(t, "once2")
		must.Eq(t, name, ends(m, Outcome{Status: status, Code: "refused"}), must.Sprint(status))
	}
	m, _ := asked(t, "read")
	must.Eq(t, "", ends(m, Outcome{Status: 503, Code: "refused"}), must.Sprint("what may be repeated may be refused"))
	for _, result := range []*Result{nil, {Class: ClassResponse, Status: 200}, {Class: ClassResponse, Status: 500, Seal: "s"}} {
		m, _ := asked(t, "read")
		must.Eq(t, invariant.SuccessSealed, ends(m, Outcome{Status: 200, Code: "ok", Response: result}))
	}
	for _, o := range []Outcome{
		{Seals: []string{"a"}, Missing: 0},
		{Seals: []string{"a", "a"}},
		{Seals: []string{"a", "b"}, Missing: 1},
	} {
		f := fixed(2, 2)
		f.rich()
		m := f.chart("gather")
		m.Step(begun, Begin{})
		o.Status, o.Code = 200, "ok"
		must.Eq(t, invariant.ShardsComplete, ends(m, o))
	}
}
