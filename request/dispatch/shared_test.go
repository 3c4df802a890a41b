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
	f.Desk.cfg.Table = func() *snapshot.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		// The table changes all the time.
		v := *f.cp
		v.At = begun
		return &v
	}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 300 {
				at := begun + int64(i)*1000
				c := f.chart([]string{"gather", "once", "read", "split"}[(g+i)%4])
				todo := asks(c.Step(at, Begin{}))
				for n := 0; n < len(todo) && n < 40; n++ {
					r := okay("0123456789abcdef")
					r.Seal = string(rune('a' + n))
					if (g+i+n)%7 == 0 {
						r.Class = Class((i + n) % 5)
					}
					todo = append(todo, asks(c.Step(at+int64(n)*100, Replied{N: todo[n].N, Reply: r}))...)
				}
				c.Step(at+600_000, Due{})
				must.True(t, c.Done())
			}
		})
	}
	wg.Wait()
	f.backends.Range(func(id, v any) bool {
		must.Eq(t, 0, v.(*backend).open.Load(), must.Sprint(id))
		return true
	})
}

func TestNodeThatIsBehindRefusesSome(t *testing.T) {
	f := fixed(4, 4)
	refused := func(late int64) (n int) {
		for range 100 {
			for range 10 {
				f.lag.note(begun, late)
			}
			c := f.chart("gather")
			acts := c.Step(begun, Begin{})
			if o := finish(acts); o != nil && o.Status == 503 {
				n++
			}
			for i, a := range asks(acts) {
				r := okay("")
				r.Seal = string(rune('a' + i))
				c.Step(begun+1000, Replied{N: a.N, Reply: r})
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
		c := f.chart("read")
		c.Step(begun, Begin{})
		a := asks(c.Step(begun+500, Replied{N: 0, Reply: Reply{Class: ClassFailed, Reused: true}}))
		must.Len(t, 1, a)
		must.Eq(t, 200, finish(c.Step(begun+3000, Replied{N: a[0].N, Reply: okay("x")})).Status)
	}
	must.Eq(t, 0, f.count.ejected.Load())
}

func TestColdByItsOwnWord(t *testing.T) {
	f := fixed(1, 2)
	f.src.Pools[0].RampPerS = 1
	for _, s := range f.cp.Pools["p0"].Servers {
		s.Gauge.SlowStartUntil.Store(begun + 3*second)
	}
	sent := 0
	for i := range 2000 {
		at := begun + int64(i)*1000
		c := NewChart(f.Desk, Request{Path: "/once/", Host: "site.example"}, at)
		for _, a := range asks(c.Step(at, Begin{})) {
			sent++
			c.Step(at+500, Replied{N: a.N, Reply: okay("x")})
		}
	}
	must.Between(t, 1, sent, 6)
}

func TestDeadline(t *testing.T) {
	c := fixed(2, 4).chart("once")
	c.Step(begun, Begin{})
	o := finish(c.Step(begun+498_000, Due{}))
	must.Eq(t, 504, o.Status)
	must.Eq(t, 0, o.RetryAfterUs)
	f := fixed(2, 4)
	c = NewChart(f.Desk, Request{Path: "/once/", Host: "site.example", BudgetUs: 200_000}, begun)
	must.Eq(t, 192_000, asks(c.Step(begun, Begin{}))[0].WithinUs, must.Sprint("the client's budget, less the way back"))
	c = NewChart(f.Desk, Request{Path: "/once/", Host: "site.example", BudgetUs: 200_000, ReadUs: begun - 300_000}, begun)
	o = finish(c.Step(begun, Begin{}))
	must.Eq(t, 503, o.Status, must.Sprint("nothing was ever sent"))
}
