// Tests of a single state machine, step by step.

package dispatch

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// fixture is a dispatcher with a routing table that tests can change.
type fixture struct {
	*Dispatcher
	snap  *snapshot.Snapshot
	table *routingpb.RoutingTable
}

const startTime = 100 * second

// newFixture returns a fixture with pools p0, p1, ..., the given number of backends in each, and a route of each kind.
func newFixture(pools, backends int) *fixture {
	f := &fixture{table: &routingpb.RoutingTable{Revision: 3}}
	var names []string
	for i := range pools {
		names = append(names, fmt.Sprintf("p%d", i))
		f.table.Pools = append(f.table.Pools, &routingpb.Pool{Name: names[i], SlowStartUs: 3 * second})
	}
	one := func(name string, r *routingpb.Route) *routingpb.Route {
		r.Name, r.Host, r.Prefix = name, "Site.example", "/"+name+"/"
		r.TimeoutUs, r.TargetLatencyUs = 500*clock.Millisecond, 100*clock.Millisecond
		return r
	}
	f.table.Routes = []*routingpb.Route{
		one("gather", &routingpb.Route{Repeatable: true, FanoutPools: names, ResultLimit: 3, MinCoverage: 0.75, MaxBackends: proto.Int32(2), Priority: 2}),
		one("once", &routingpb.Route{Pool: "p0", MaxBackends: proto.Int32(1)}),
		one("once2", &routingpb.Route{Pool: "p0", MaxBackends: proto.Int32(2)}),
		one("read", &routingpb.Route{Pool: "p0", Repeatable: true, MaxBackends: proto.Int32(2)}),
		one("split", &routingpb.Route{Repeatable: true, MaxBackends: proto.Int32(2), PoolWeights: []*routingpb.PoolWeight{{Pool: "p0", Weight: 0}, {Pool: "p1", Weight: 1}, {Pool: "p2", Weight: 1}}}),
	}
	f.snap = &snapshot.Snapshot{At: startTime, Complete: true, Zone: "z0", Divisor: 1, LiveNodeCount: 1, Pools: map[string]*snapshot.Pool{}}
	for _, p := range f.table.Pools {
		q := &snapshot.Pool{Pool: p}
		for i := range backends {
			q.Backends = append(q.Backends, &snapshot.Backend{Backend: wire.Backend{ID: fmt.Sprintf("%s-%d", p.Name, i), Zone: fmt.Sprintf("z%d", i%2), Slots: 2}, Gauge: &snapshot.Gauge{}})
		}
		f.snap.Pools[p.Name] = q
	}
	f.Dispatcher = NewDispatcher(Config{Snapshot: func() *snapshot.Snapshot { return f.snap }, Seed: 1, Retry: RetryConfig{Ratio: 0.2, Allowance: 60}})
	f.publishTable()
	return f
}

// publishTable publishes a snapshot with the current routing table.
func (f *fixture) publishTable() {
	snap := *f.snap
	snap.At++
	snap.Routing = routing.Compile(f.table)
	f.snap = &snap
}

func (f *fixture) stateMachine(route string) *StateMachine {
	return NewStateMachine(f.Dispatcher, Request{ID: "r1", Method: "GET", Target: "/" + route + "/x", Path: "/" + route + "/x", Host: "site.example:80"}, startTime)
}

// fillRetryBudgets adds ten attempts to each pool's retry budget.
func (f *fixture) fillRetryBudgets() {
	for name := range f.snap.Pools {
		f.retryBudgetOf(name).Add(10_000, 10_000)
	}
}

// drainRetryBudgets prevents the pools' retry budgets from being refilled over time.
func (f *fixture) drainRetryBudgets() {
	for name := range f.snap.Pools {
		f.retryBudgetOf(name).RefilledAt.Store(startTime + 100*second)
	}
}

// sends returns the Send actions among the actions.
func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if v, ok := a.(Send); ok {
			out = append(out, v)
		}
	}
	return out
}

// outcomeOf returns the outcome among the actions, or nil if there is none.
func outcomeOf(acts []Action) *Outcome {
	for _, a := range acts {
		if v, ok := a.(Finish); ok {
			return &v.Outcome
		}
	}
	return nil
}

func success(body string) Result {
	return Result{Class: ClassResponse, Status: 200, Seal: "seal", Header: http.Header{"X": {"y"}}, Body: []byte(body)}
}

func TestStateMachinePassesResponseOnUnchanged(t *testing.T) {
	for _, route := range []string{"once", "read", "split"} {
		m := newFixture(4, 4).stateMachine(route)
		a := sends(m.Step(startTime, Begin{}))
		must.Len(t, 1, a)
		must.Eq(t, route == "once", a[0].AtMostOnce)
		o := outcomeOf(m.Step(startTime+5000, AttemptDone{N: a[0].N, Result: success("body")}))
		must.NotNil(t, o)
		must.Eq(t, 200, o.Status)
		must.Eq(t, "seal", o.Response.Seal)
		must.Eq(t, "body", string(o.Response.Body))
		must.True(t, m.Done())
	}
}

func TestStateMachineReportsNoRouteOnlyWithRoutingTable(t *testing.T) {
	f := newFixture(2, 2)
	must.Eq(t, 404, outcomeOf(f.stateMachine("nowhere").Step(startTime, Begin{})).Status)
	f.snap = &snapshot.Snapshot{Complete: true}
	o := outcomeOf(f.stateMachine("nowhere").Step(startTime, Begin{}))
	must.Eq(t, 503, o.Status)
	must.Positive(t, o.RetryAfter)
	f.snap = nil
	must.Eq(t, 503, outcomeOf(f.stateMachine("nowhere").Step(startTime, Begin{})).Status)
}

func TestStateMachineWaitsForFreshSnapshot(t *testing.T) {
	f := newFixture(2, 2)
	f.snap.Stale = true
	m := f.stateMachine("read")
	acts := m.Step(startTime, Begin{})
	must.SliceEmpty(t, sends(acts))
	must.Nil(t, outcomeOf(acts))
	acts = m.Step(startTime+10_000, TimerFired{})
	must.SliceEmpty(t, sends(acts))
	f.snap.Stale = false
	must.Len(t, 1, sends(m.Step(startTime+20_000, TimerFired{})))
}

func TestRetryNeverRepeatsRequestThatMayHaveRun(t *testing.T) {
	for _, route := range []string{"once", "once2"} {
		for _, class := range []Class{ClassFailed, ClassInvalid, ClassResponse} {
			f := newFixture(2, 4)
			f.fillRetryBudgets()
			m := f.stateMachine(route)
			m.Step(startTime, Begin{})
			must.SliceEmpty(t, sends(m.Step(startTime+90_000, TimerFired{})), must.Sprint("no hedged request is sent"))
			acts := m.Step(startTime+100_000, AttemptDone{N: 0, Result: Result{Class: class, Status: 503, Seal: "s"}})
			must.SliceEmpty(t, sends(acts))
			must.Eq(t, 502, outcomeOf(acts).Status, must.Sprint("a 503 is not passed on unless the backend stated that the request has not run"))
		}
	}
}

func TestRetrySendsRequestThatHasNotRunToAnotherBackend(t *testing.T) {
	f := newFixture(2, 4)
	f.fillRetryBudgets()
	m := f.stateMachine("once")
	first := sends(m.Step(startTime, Begin{}))
	second := sends(m.Step(startTime+1000, AttemptDone{N: 0, Result: Result{Class: ClassNotSent}}))
	must.Len(t, 1, second, must.Sprint("a request of which no byte was written is sent again"))
	must.NotEq(t, first[0].Backend.ID, second[0].Backend.ID)
	must.Eq(t, 0, f.count.retries.Load())
	o := outcomeOf(m.Step(startTime+2000, AttemptDone{N: 1, Result: Result{Class: ClassRejected, Status: 503}}))
	must.Eq(t, 503, o.Status, must.Sprint("the request is not sent again, since the route allows only one backend"))
	must.Positive(t, o.RetryAfter)

	m = f.stateMachine("once2")
	m.Step(startTime, Begin{})
	must.Len(t, 1, sends(m.Step(startTime+1000, AttemptDone{N: 0, Result: Result{Class: ClassRejected, Status: 503}})))
	must.Eq(t, 1, f.count.retries.Load())
}

func TestRetryBoundsUnsentAttempts(t *testing.T) {
	f := newFixture(2, 19)
	m := f.stateMachine("once")
	acts := m.Step(startTime, Begin{})
	n := 0
	for ; outcomeOf(acts) == nil; n++ {
		must.Less(t, 10, n)
		acts = m.Step(startTime+int64(n), AttemptDone{N: n, Result: Result{Class: ClassNotSent}})
	}
	must.Eq(t, 503, outcomeOf(acts).Status)
}

func TestRetryStaysWithinBudget(t *testing.T) {
	f := newFixture(2, 4)
	f.drainRetryBudgets()
	m := f.stateMachine("read")
	m.Step(startTime, Begin{})
	o := outcomeOf(m.Step(startTime+1000, AttemptDone{N: 0, Result: Result{Class: ClassResponse, Status: 500, Seal: "s", Body: []byte("why")}}))
	must.NotNil(t, o, must.Sprint("the request ends without a retry, since the retry budget is used up"))
	must.Eq(t, 500, o.Status, must.Sprint("the backend's own response is passed on"))
	must.Eq(t, CodePassedThrough, o.Code)
	must.Eq(t, "why", string(o.Response.Body))
	f.fillRetryBudgets()
	m = f.stateMachine("read")
	m.Step(startTime, Begin{})
	must.Len(t, 1, sends(m.Step(startTime+1000, AttemptDone{N: 0, Result: Result{Class: ClassFailed}})))
	must.Eq(t, 502, outcomeOf(m.Step(startTime+2000, AttemptDone{N: 1, Result: Result{Class: ClassFailed}})).Status, must.Sprint("the request is not sent a third time, since the route allows only two backends"))
}

func TestHedgeTakesFirstSuccessAndAbandonsOther(t *testing.T) {
	f := newFixture(2, 4)
	f.fillRetryBudgets()
	m := f.stateMachine("read")
	m.Step(startTime, Begin{})
	a := sends(m.Step(startTime+60_000, TimerFired{}))
	must.Len(t, 1, a)
	acts := m.Step(startTime+62_000, AttemptDone{N: 1, Result: success("x")})
	must.Eq(t, 200, outcomeOf(acts).Status)
	must.Eq(t, 1, f.count.abandoned.Load())
	must.SliceContains(t, acts, Action(Abandon{N: 0}))
	b := f.backendOf("p0-0")
	before := b.inFlight.Load() + f.backendOf("p0-1").inFlight.Load() + f.backendOf("p0-2").inFlight.Load() + f.backendOf("p0-3").inFlight.Load()
	must.Eq(t, 1, before, must.Sprint("the first attempt is still in flight"))
	must.SliceEmpty(t, m.Step(startTime+70_000, AttemptDone{N: 0, Result: success("late")}))
	must.Eq(t, 0, b.inFlight.Load()+f.backendOf("p0-1").inFlight.Load()+f.backendOf("p0-2").inFlight.Load()+f.backendOf("p0-3").inFlight.Load())
}

func TestSelectPoolSkipsPoolsWithoutWeight(t *testing.T) {
	f := newFixture(4, 2)
	for i := range 2 {
		f.backendOf(fmt.Sprintf("p1-%d", i)).eject(startTime)
		f.backendOf(fmt.Sprintf("p2-%d", i)).eject(startTime)
	}
	for range 20 {
		o := outcomeOf(f.stateMachine("split").Step(startTime, Begin{}))
		must.NotNil(t, o)
		must.Eq(t, 503, o.Status)
	}
}

// eject ejects a backend as unresponsive for 10 s.
func (b *backend) eject(now clock.Micros) {
	b.recordFailure(now, failure{startedAt: now, weight: 1, timedOut: true}, 1)
	b.ejectedUntil.Store(now + 10*second)
}

// TestRouteThatAllowsNoBackendSendsNothing guards against a request that runs on a backend although the route's
// max_retries, the largest number of backends that it may be sent to, is 0.
func TestRouteThatAllowsNoBackendSendsNothing(t *testing.T) {
	for _, c := range []struct {
		maxBackends *int32
		sent        int
	}{{nil, 1}, {proto.Int32(0), 0}, {proto.Int32(1), 1}} {
		for i, route := range []string{"gather", "once", "once2", "read", "split"} {
			f := newFixture(4, 2)
			f.table.Routes[i].MaxBackends = c.maxBackends
			f.publishTable()
			acts := f.stateMachine(route).Step(startTime, Begin{})
			if c.sent > 0 {
				must.SliceNotEmpty(t, sends(acts))
				continue
			}
			must.SliceEmpty(t, sends(acts), must.Sprint(route))
			must.Eq(t, 503, outcomeOf(acts).Status)
			must.Positive(t, outcomeOf(acts).RetryAfter)
		}
	}
}

// TestSlotsOfAnyNumberAreServed guards against a panic: in thousandths, some large numbers of slots are 0 modulo the
// range of an integer, and the expected time in a backend's queue divided by them.
func TestSlotsOfAnyNumberAreServed(t *testing.T) {
	for _, slots := range []int{1 << 61, math.MaxInt, math.MaxInt/unit + 1, 1 << 31, -1} {
		f := newFixture(4, 3)
		for _, p := range f.snap.Pools {
			for _, b := range p.Backends {
				b.Slots = slots
			}
		}
		f.publishTable()
		for i := range int64(50) {
			for _, route := range []string{"gather", "once", "read", "split"} {
				now := startTime + i*clock.Millisecond
				m := f.stateMachine(route)
				for _, s := range sends(m.Step(now, Begin{})) {
					result := shardResult(fmt.Sprint("s", s.N), "a")
					result.Load = LoadReport{Known: true, Running: slots, Queued: slots, Slots: slots}
					m.Step(now+clock.Millisecond, AttemptDone{N: s.N, Result: result})
				}
				must.True(t, m.Done())
			}
		}
	}
}
