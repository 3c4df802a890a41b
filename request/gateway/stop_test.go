package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// freeAddr returns a local TCP address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestReadiness(t *testing.T) {
	var force atomic.Bool
	var addr string
	w := newFixture(t, func(w *fixture, c *Config) {
		c.ReadinessAddr = freeAddr(t)
		addr = c.ReadinessAddr
		c.Ready = func() bool { return force.Load() && w.snapshot.Load().Ready() }
	})
	status := func(path string) int {
		resp, err := http.Get("http://" + addr + path)
		must.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	must.Eq(t, 503, status("/ready"))
	must.Eq(t, 404, status("/other"))
	must.Eq(t, "", w.server.Addr(), must.Sprint("the server must not listen for clients before the node is ready"))
	force.Store(true)
	must.Eq(t, 200, status("/ready"))
	c := w.dial()
	c.send(get("a"))
	c.readResponse("GET")
	w.snapshot.Store(&snapshot.Snapshot{})
	must.Eq(t, 503, status("/ready"))
}

func TestStopBeforeReadiness(t *testing.T) {
	w := newFixture(t, func(_ *fixture, c *Config) { c.Ready = func() bool { return false } })
	w.server.Stop()
	must.Eq(t, "", w.server.Addr())
}

// TestStopFinishesRequestsInFlight checks that a stop closes idle connections immediately, and other connections after
// the response to the request that was read.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	w := newFixture(t, nil)
	h := w.block("/a")
	idle, active := w.dial(), w.dial()
	active.send(get("a"))
	<-h.enter
	stopped := make(chan bool)
	go func() { w.server.Stop(); close(stopped) }()
	idle.ends()
	_, err := net.Dial("tcp", w.server.Addr())
	must.Error(t, err)
	select {
	case <-stopped:
		t.Fatal("Stop returned before the request in flight was finished")
	default:
	}
	h.leave["/a"] <- true
	resp, body := active.readResponse("GET")
	must.Eq(t, "/a", body)
	must.True(t, resp.Close)
	active.ends()
	<-stopped
}

// TestStopKeepsAcceptingAtFirst checks that new connections are served during AcceptTime, and that each response is the
// last on its connection.
func TestStopKeepsAcceptingAtFirst(t *testing.T) {
	w := newFixture(t, func(_ *fixture, c *Config) { c.AcceptTime = 300 * clock.Millisecond })
	old := w.dial()
	old.send(get("a"))
	resp, _ := old.readResponse("GET")
	must.False(t, resp.Close)
	go w.server.Stop()
	for !w.server.draining.Load() {
		runtime.Gosched()
	}
	fresh := w.dial()
	for _, c := range []*wireConn{old, fresh} {
		c.send(get("b"))
		resp, _ := c.readResponse("GET")
		must.Eq(t, 200, resp.StatusCode)
		must.True(t, resp.Close)
		c.ends()
	}
}

func TestStopWaitsForAbandonedExchanges(t *testing.T) {
	w := newFixture(t, nil)
	h := w.block("/left")
	entered := make(chan bool)
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		again := dispatch.SetTimer{At: w.now() + clock.Millisecond}
		if _, ok := ev.(dispatch.Begin); ok {
			return []dispatch.Action{s.attemptTo(0, "/left", false), again}
		}
		select {
		case <-entered:
			return []dispatch.Action{dispatch.Abandon{N: 0}, finish(dispatch.Outcome{Status: 504, Code: dispatch.CodeFailed})}
		default:
			// An exchange that is abandoned before the request is written would never reach the backend.
			return []dispatch.Action{again}
		}
	}
	c := w.dial()
	c.send(get("a"))
	<-h.enter
	close(entered)
	c.readResponse("GET")
	stopped := make(chan bool)
	go func() { w.server.Stop(); close(stopped) }()
	c.ends()
	h.leave["/left"] <- true
	<-stopped
	must.Eq(t, 0, w.server.exchanges.Load())
	must.Eq(t, 0, len(h.abandoned))
}

// TestStopAbortsAtEndOfGrace checks that a stop ends in time although a backend does not respond, and that the
// client gets no response that looks complete.
func TestStopAbortsAtEndOfGrace(t *testing.T) {
	w := newFixture(t, func(_ *fixture, c *Config) { c.GracePeriod = 1 })
	h := w.block("/a")
	c := w.dial()
	c.send(get("a"))
	<-h.enter
	w.server.Stop()
	c.ends()
}

// TestStopUnderLoadLosesNothing stops the node while many clients open and close connections. Every request that
// a backend received must have got a complete response.
func TestStopUnderLoadLosesNothing(t *testing.T) {
	w := newFixture(t, func(_ *fixture, c *Config) { c.AcceptTime = 100 * clock.Millisecond })
	addr := w.dial().RemoteAddr().String()
	var clients sync.WaitGroup
	var mu sync.Mutex
	complete := map[string]bool{}
	begun := make(chan bool, 1000)
	for n := range 16 {
		clients.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for i := 0; ; i++ {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						return
					}
					r = bufio.NewReader(c)
				}
				id := fmt.Sprint(n, "-", i)
				if _, err := io.WriteString(c, get(id)); err != nil {
					c.Close()
					c = nil
					continue
				}
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				if err == nil && resp.Header.Get("Stamp") == "s."+id {
					mu.Lock()
					complete[id] = true
					mu.Unlock()
				}
				select {
				case begun <- true:
				default:
				}
				if err != nil || resp.Close || i%5 == n%5 {
					c.Close()
					c = nil
				}
			}
		})
	}
	for range 100 {
		<-begun
	}
	go func() {
		for range w.delivered {
		}
	}()
	w.server.Stop()
	clients.Wait()
	must.Eq(t, 0, w.server.inFlight.Load())
	got := w.requests()
	for _, s := range got {
		must.True(t, complete[s.head.Get("Try-Id")], must.Sprint(s.head.Get("Try-Id"), " reached the backend, but its client got no complete response"))
	}
	must.Eq(t, len(got), len(complete))
	t.Logf("%d requests, none lost", len(got))
}

// TestStopEndsInLastSixthOfGrace checks that a stop aborts no request before the last sixth of the grace period.
func TestStopEndsInLastSixthOfGrace(t *testing.T) {
	start := time.Unix(100, 0)
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		end := shutdownDeadline(start, grace).Sub(start)
		must.GreaterEq(t, grace-grace/6, end, must.Sprint(grace))
		must.Less(t, grace, end, must.Sprint(grace))
	}
	must.Eq(t, time.Second, shutdownDeadline(start, 0).Sub(start))
}
