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
	c := f.chart(route)
	a := asks(c.Step(begun, Begin{}))
	must.SliceNotEmpty(t, a)
	return c, a[0]
}

// asksAgain asks for the chart's first way once more, whatever became of the ask before.
func asksAgain(c *StateMachine) invariant.Name {
	return violation.By(func() { c.send(begun+1_000, 0, sendReplacement) })
}

func TestViolationsOfAsks(t *testing.T) {
	c, _ := asked(t, "once2")
	must.Eq(t, invariant.AtMostOnce, asksAgain(c), must.Sprint("one is under way"))

	c, a := asked(t, "once2")
	c.Step(begun+1_000, AttemptDone{N: a.N, Result: Result{Class: ClassFailed}})
	c.finished = false
	must.Eq(t, invariant.AtMostOnce, asksAgain(c), must.Sprint("one may have run"))

	c, a = asked(t, "once2")
	c.Step(begun+1_000, AttemptDone{N: a.N, Result: okay("x")})
	must.Eq(t, invariant.NoSendAfterOutcome, asksAgain(c))

	c, _ = asked(t, "read")
	c.shards[0].sent = c.maxBackends()
	must.Eq(t, invariant.BackendsWithinRoute, asksAgain(c))

	c, _ = asked(t, "read")
	for i := range c.shards[0].pool.endpoints {
		c.shards[0].pool.endpoints[i].server.Health = snapshot.Draining
	}
	must.Eq(t, invariant.NoSendToDraining, asksAgain(c))

	c, a = asked(t, "read")
	c.shards[0].inFlight = 0
	must.Eq(t, invariant.GaugesNotNegative, violation.By(func() { c.closeAttempt(begun+1_000, a.N, nil) }))
}

// ends has a chart give an outcome.
func ends(c *StateMachine, o Outcome) invariant.Name {
	return violation.By(func() { c.finish(begun+1_000, StateResponded, o) })
}

func TestViolationsOfOutcomes(t *testing.T) {
	for status, name := range map[int]invariant.Name{503: invariant.RejectedNotRun, 429: invariant.RejectedNotRun, 504: "", 502: ""} {
		c, _ := asked(t, "once2")
		must.Eq(t, name, ends(c, Outcome{Status: status, Code: "refused"}), must.Sprint(status))
	}
	c, _ := asked(t, "read")
	must.Eq(t, "", ends(c, Outcome{Status: 503, Code: "refused"}), must.Sprint("what may be repeated may be refused"))
	for _, r := range []*Result{nil, {Class: ClassResponse, Status: 200}, {Class: ClassResponse, Status: 500, Seal: "s"}} {
		c, _ := asked(t, "read")
		must.Eq(t, invariant.SuccessSealed, ends(c, Outcome{Status: 200, Code: "ok", Response: r}))
	}
	for _, o := range []Outcome{
		{Seals: []string{"a"}, Missing: 0},
		{Seals: []string{"a", "a"}},
		{Seals: []string{"a", "b"}, Missing: 1},
	} {
		f := fixed(2, 2)
		f.rich()
		c := f.chart("gather")
		c.Step(begun, Begin{})
		o.Status, o.Code = 200, "ok"
		must.Eq(t, invariant.ShardsComplete, ends(c, o))
	}
}
