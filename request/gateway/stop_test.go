// Readiness, and the planned stop: no request that was read is lost.

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
)

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestReadiness(t *testing.T) {
	var force atomic.Bool
	var addr string
	w := newWorld(t, func(w *world, c *Config) {
		c.ReadinessAddr = freeAddr(t)
		addr = c.ReadinessAddr
		c.Ready = func() bool { return force.Load() && w.cp.Load().Ready() }
	})
	status := func(path string) int {
		resp, err := http.Get("http://" + addr + path)
		must.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	must.Eq(t, 503, status("/ready"))
	must.Eq(t, 404, status("/other"))
	must.Eq(t, "", w.s.Addr(), must.Sprint("nobody is served before the node is ready"))
	force.Store(true)
	must.Eq(t, 200, status("/ready"))
	c := w.dial()
	c.send(get("a"))
	c.readResponse("GET")
	w.cp.Store(&snapshot.Snapshot{})
	must.Eq(t, 503, status("/ready"))
}

func TestStopBeforeReadiness(t *testing.T) {
	w := newWorld(t, func(_ *world, c *Config) { c.Ready = func() bool { return false } })
	w.s.Stop()
	must.Eq(t, "", w.s.Addr())
}

// TestStopFinishesRequestsInFlight answers what was read, on a connection that is closed then, and gives up those that rest.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	w := newWorld(t, nil)
	h := w.block("/a")
	rests, works := w.dial(), w.dial()
	works.send(get("a"))
	<-h.enter
	stopped := make(chan bool)
	go func() { w.s.Stop(); close(stopped) }()
	rests.ends()
	_, err := net.Dial("tcp", w.s.Addr())
	must.Error(t, err)
	select {
	case <-stopped:
		t.Fatal("the stop waits for what was read")
	default:
	}
	h.leave["/a"] <- true
	resp, body := works.readResponse("GET")
	must.Eq(t, "/a", body)
	must.True(t, resp.Close)
	works.ends()
	<-stopped
}

// TestStopKeepsAcceptingAtFirst serves new connections as well for a while, and says that each answer is the last.
func TestStopKeepsAcceptingAtFirst(t *testing.T) {
	w := newWorld(t, func(_ *world, c *Config) { c.AcceptTime = 300_000 })
	old := w.dial()
	old.send(get("a"))
	resp, _ := old.readResponse("GET")
	must.False(t, resp.Close)
	go w.s.Stop()
	for !w.s.draining.Load() {
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

// TestStopWaitsForAbandonedExchanges waits for an ask that a chart has left.
func TestStopWaitsForAbandonedExchanges(t *testing.T) {
	w := newWorld(t, nil)
	h := w.block("/left")
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		if _, ok := ev.(dispatch.Begin); ok {
			return []dispatch.Action{s.to(0, "/left", false), dispatch.SetTimer{At: w.now() + 1000}}
		}
		return []dispatch.Action{dispatch.Abandon{N: 0}, finish(dispatch.Outcome{Status: 504, Code: "given_up"})}
	}
	c := w.dial()
	c.send(get("a"))
	<-h.enter
	c.readResponse("GET")
	stopped := make(chan bool)
	go func() { w.s.Stop(); close(stopped) }()
	c.ends()
	h.leave["/left"] <- true
	<-stopped
	must.Eq(t, 0, w.s.exchanges.Load())
	must.Eq(t, 0, len(h.abandoned))
}

// TestStopAbortsAtEndOfGrace ends in its time though a backend does not answer; the answer does not look complete.
func TestStopAbortsAtEndOfGrace(t *testing.T) {
	w := newWorld(t, func(_ *world, c *Config) { c.GracePeriod = 1 })
	h := w.block("/a")
	c := w.dial()
	c.send(get("a"))
	<-h.enter
	w.s.Stop()
	c.ends()
}

// TestStopUnderLoadLosesNothing counts, over many clients that come and go while a node stops, the requests that a backend got
// and those whose clients got a whole answer: none is lost.
func TestStopUnderLoadLosesNothing(t *testing.T) {
	w := newWorld(t, func(_ *world, c *Config) { c.AcceptTime = 100_000 })
	addr := w.dial().RemoteAddr().String()
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole := map[string]bool{}
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
					whole[id] = true
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
		for range w.told {
		}
	}()
	w.s.Stop()
	clients.Wait()
	must.Eq(t, 0, w.s.inFlight.Load())
	got := w.requests()
	for _, s := range got {
		must.True(t, whole[s.head.Get("Try-Id")], must.Sprint(s.head.Get("Try-Id"), " was lost"))
	}
	must.Eq(t, len(got), len(whole))
	t.Logf("%d requests, none lost", len(got))
}

// A stop cuts nothing before the last sixth of the grace, in which a backend still at work excuses it.
func TestStopEndsInLastSixthOfGrace(t *testing.T) {
	began := time.Unix(100, 0)
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		end := shutdownDeadline(began, grace).Sub(began)
		must.GreaterEq(t, grace-grace/6, end, must.Sprint(grace))
		must.Less(t, grace, end, must.Sprint(grace))
	}
	must.Eq(t, time.Second, shutdownDeadline(began, 0).Sub(began))
}
