// Tests of a dispatcher under concurrent requests, of deadlines, and of the effects of node lag, stale connections
// and slow start.

package dispatch

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

func TestDispatcherServesConcurrentRequests(t *testing.T) {
	f := newFixture(6, 5)
	f.fillRetryBudgets()
	var mu sync.Mutex
	f.Dispatcher.cfg.Snapshot = func() *snapshot.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		// Every call returns a new snapshot.
		v := *f.snap
		v.At = startTime
		return &v
	}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 300 {
				at := startTime + int64(i)*1000
				m := f.stateMachine([]string{"gather", "once", "read", "split"}[(g+i)%4])
				todo := sends(m.Step(at, Begin{}))
				for n := 0; n < len(todo) && n < 40; n++ {
					r := success("0123456789abcdef")
					r.Seal = string(rune('a' + n))
					if (g+i+n)%7 == 0 {
						r.Class = Class((i + n) % 5)
					}
					todo = append(todo, sends(m.Step(at+int64(n)*100, AttemptDone{N: todo[n].N, Result: r}))...)
				}
				m.Step(at+600_000, TimerFired{})
				must.True(t, m.Done())
			}
		})
	}
	wg.Wait()
	f.backends.Range(func(id, v any) bool {
		must.Eq(t, 0, v.(*backend).inFlight.Load(), must.Sprint(id))
		return true
	})
}

func TestAdmissionRejectsUnderLag(t *testing.T) {
	f := newFixture(4, 4)
	countRejections := func(late clock.Micros) (n int) {
		for range 100 {
			for range 10 {
				f.lag.record(startTime, late)
			}
			m := f.stateMachine("gather")
			acts := m.Step(startTime, Begin{})
			if o := outcomeOf(acts); o != nil && o.Status == 503 {
				n++
			}
			for i, a := range sends(acts) {
				r := success("")
				r.Seal = string(rune('a' + i))
				m.Step(startTime+1000, AttemptDone{N: a.N, Result: r})
			}
		}
		return n
	}
	must.Eq(t, 0, countRejections(0))
	must.Eq(t, 0, countRejections(20_000), must.Sprint("no request is rejected at a lag of 20 ms"))
	must.Between(t, 30, countRejections(90_000), 100)
	must.Between(t, 0, countRejections(0), 10, must.Sprint("the estimated lag decays once steps are on time again"))
}

func TestStaleConnectionDoesNotEject(t *testing.T) {
	f := newFixture(1, 1)
	f.fillRetryBudgets()
	for range 10 {
		m := f.stateMachine("read")
		m.Step(startTime, Begin{})
		a := sends(m.Step(startTime+500, AttemptDone{N: 0, Result: Result{Class: ClassFailed, ReusedConn: true}}))
		must.Len(t, 1, a)
		must.Eq(t, 200, outcomeOf(m.Step(startTime+3000, AttemptDone{N: a[0].N, Result: success("x")})).Status)
	}
	must.Eq(t, 0, f.count.ejections.Load())
}

func TestSlowStartHonorsReportedWarmUp(t *testing.T) {
	f := newFixture(1, 2)
	f.table.Pools[0].RampPerS = 1
	for _, s := range f.snap.Pools["p0"].Backends {
		s.Gauge.SlowStartUntil.Store(startTime + 3*second)
	}
	sent := 0
	for i := range 2000 {
		at := startTime + int64(i)*1000
		m := NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example"}, at)
		for _, a := range sends(m.Step(at, Begin{})) {
			sent++
			m.Step(at+500, AttemptDone{N: a.N, Result: success("x")})
		}
	}
	must.Between(t, 1, sent, 6)
}

func TestDeadlineKeepsNetworkAllowance(t *testing.T) {
	m := newFixture(2, 4).stateMachine("once")
	m.Step(startTime, Begin{})
	o := outcomeOf(m.Step(startTime+498_000, TimerFired{}))
	must.Eq(t, 504, o.Status)
	must.Eq(t, 0, o.RetryAfter)
	f := newFixture(2, 4)
	m = NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example", Timeout: 200_000}, startTime)
	must.Eq(t, 192_000, sends(m.Step(startTime, Begin{}))[0].Timeout, must.Sprint("the client's timeout less the network allowance"))
	m = NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example", Timeout: 200_000, ReadAt: startTime - 300_000}, startTime)
	o = outcomeOf(m.Step(startTime, Begin{}))
	must.Eq(t, 503, o.Status, must.Sprint("the request is rejected, since the client's timeout expired before any attempt"))
}
