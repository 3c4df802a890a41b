// A desk under many threads, deadlines, and what the node's own state does to requests.

package dispatch

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
)

func TestDeskUnderManyThreads(t *testing.T) {
	f := fixed(6, 5)
	f.rich()
	var mu sync.Mutex
	f.Dispatcher.cfg.Snapshot = func() *snapshot.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		// The table changes all the time.
		v := *f.snap
		v.At = begun
		return &v
	}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 300 {
				at := begun + int64(i)*1000
				m := f.chart([]string{"gather", "once", "read", "split"}[(g+i)%4])
				todo := asks(m.Step(at, Begin{}))
				for n := 0; n < len(todo) && n < 40; n++ {
					r := okay("0123456789abcdef")
					r.Seal = string(rune('a' + n))
					if (g+i+n)%7 == 0 {
						r.Class = Class((i + n) % 5)
					}
					todo = append(todo, asks(m.Step(at+int64(n)*100, AttemptDone{N: todo[n].N, Result: r}))...)
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

func TestNodeThatIsBehindRefusesSome(t *testing.T) {
	f := fixed(4, 4)
	refused := func(late int64) (n int) {
		for range 100 {
			for range 10 {
				f.lag.record(begun, late)
			}
			m := f.chart("gather")
			acts := m.Step(begun, Begin{})
			if o := finish(acts); o != nil && o.Status == 503 {
				n++
			}
			for i, a := range asks(acts) {
				r := okay("")
				r.Seal = string(rune('a' + i))
				m.Step(begun+1000, AttemptDone{N: a.N, Result: r})
			}
		}
		return n
	}
	must.Eq(t, 0, refused(0))
	must.Eq(t, 0, refused(20_000), must.Sprint("a little is borne"))
	must.Between(t, 30, refused(90_000), 100)
	must.Between(t, 0, refused(0), 10, must.Sprint("it passes"))
}

func TestForgottenConnectionDoesNotCondemnTheOnlyBackend(t *testing.T) {
	f := fixed(1, 1)
	f.rich()
	for range 10 {
		m := f.chart("read")
		m.Step(begun, Begin{})
		a := asks(m.Step(begun+500, AttemptDone{N: 0, Result: Result{Class: ClassFailed, ReusedConn: true}}))
		must.Len(t, 1, a)
		must.Eq(t, 200, finish(m.Step(begun+3000, AttemptDone{N: a[0].N, Result: okay("x")})).Status)
	}
	must.Eq(t, 0, f.count.ejections.Load())
}

func TestColdByItsOwnWord(t *testing.T) {
	f := fixed(1, 2)
	f.src.Pools[0].RampPerS = 1
	for _, s := range f.snap.Pools["p0"].Backends {
		s.Gauge.SlowStartUntil.Store(begun + 3*second)
	}
	sent := 0
	for i := range 2000 {
		at := begun + int64(i)*1000
		m := NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example"}, at)
		for _, a := range asks(m.Step(at, Begin{})) {
			sent++
			m.Step(at+500, AttemptDone{N: a.N, Result: okay("x")})
		}
	}
	must.Between(t, 1, sent, 6)
}

func TestDeadline(t *testing.T) {
	m := fixed(2, 4).chart("once")
	m.Step(begun, Begin{})
	o := finish(m.Step(begun+498_000, TimerFired{}))
	must.Eq(t, 504, o.Status)
	must.Eq(t, 0, o.RetryAfter)
	f := fixed(2, 4)
	m = NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example", Timeout: 200_000}, begun)
	must.Eq(t, 192_000, asks(m.Step(begun, Begin{}))[0].Timeout, must.Sprint("the client's budget, less the way back"))
	m = NewStateMachine(f.Dispatcher, Request{Path: "/once/", Host: "site.example", Timeout: 200_000, ReadAt: begun - 300_000}, begun)
	o = finish(m.Step(begun, Begin{}))
	must.Eq(t, 503, o.Status, must.Sprint("nothing was ever sent"))
}
