// The driver: asks in parallel, early ones, those that are left or cancelled,
// clients that go, and freezes. What may run once is written once.

package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/wire"
)

// blockedBackend makes the backend hold each request until it is let go, by its ask's path.
type blockedBackend struct {
	enter     chan string
	leave     map[string]chan bool
	abandoned chan string
}

func (w *world) block(paths ...string) *blockedBackend {
	h := &blockedBackend{enter: make(chan string, 10), leave: map[string]chan bool{}, abandoned: make(chan string, 10)}
	for _, p := range paths {
		h.leave[p] = make(chan bool, 1)
	}
	w.t.Cleanup(func() {
		for _, c := range h.leave {
			close(c)
		}
	})
	w.serve = func(rw http.ResponseWriter, r *http.Request) {
		h.enter <- r.URL.Path
		select {
		case <-h.leave[r.URL.Path]:
			rw.Write([]byte(r.URL.Path))
		case <-r.Context().Done():
			h.abandoned <- r.URL.Path
		}
	}
	return h
}

// to is an ask with a path of its own, so that the backend can tell it from others.
func (s *script) to(n int, path string, once bool) dispatch.Send {
	a := s.attempt(n, once)
	req := *a.Request
	req.Target = path
	a.Request = &req
	return a
}

func TestHedgedRequest(t *testing.T) {
	for _, warm := range []bool{false, true} {
		w := newWorld(t, nil)
		if warm {
			// With an idle connection, the client's goroutine carries out the first ask itself.
			c := w.dial()
			c.send(get("warm"))
			c.readResponse("GET")
		}
		h := w.block("/first", "/second")
		w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
			switch v := ev.(type) {
			case dispatch.Begin:
				return []dispatch.Action{s.to(0, "/first", false), dispatch.SetTimer{At: w.now() + 20_000}}
			case dispatch.TimerFired:
				return []dispatch.Action{s.to(1, "/second", false)}
			case dispatch.AttemptDone:
				if v.N == 1 {
					return []dispatch.Action{dispatch.Abandon{N: 0}, finish(dispatch.Outcome{Status: 200, Response: &v.Result})}
				}
			}
			return nil
		}
		c := w.dial()
		c.send(get("a"))
		// Both are at work before either is answered. Which one the backend's own goroutines take
		// up first is up to the machine: each comes on a connection of its own.
		must.SliceContainsAll(t, []string{"/first", "/second"}, []string{<-h.enter, <-h.enter})
		h.leave["/second"] <- true
		resp, body := c.readResponse("GET")
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "/second", body)
		// The one that was left runs out, and the chart hears of it.
		h.leave["/first"] <- true
		for {
			if r := await[dispatch.AttemptDone](w); r.N == 0 && string(r.Result.Body) == "/first" {
				must.Eq(t, dispatch.ClassResponse, r.Result.Class)
				break
			}
		}
	}
}

// TestGatheredResponse asks several at once and ends with what is there.
func TestGatheredResponse(t *testing.T) {
	w := newWorld(t, nil)
	paths := []string{"/0", "/1", "/2", "/3", "/4", "/5"}
	h := w.block(paths...)
	w.step = func(s *script, ev dispatch.Event) (acts []dispatch.Action) {
		switch v := ev.(type) {
		case dispatch.Begin:
			for n, p := range paths {
				acts = append(acts, s.to(n, p, false))
			}
		case dispatch.AttemptDone:
			if len(w.events[s.req.ID]) == 4 {
				return []dispatch.Action{dispatch.Cancel{N: 4}, dispatch.Cancel{N: 5}, dispatch.Abandon{N: 3}, finish(dispatch.Outcome{Status: 200, Seals: []string{"x"}, Missing: 3, Body: v.Result.Body})}
			}
		}
		return acts
	}
	c := w.dial()
	c.send(get("a"))
	for range paths {
		<-h.enter
	}
	for _, p := range paths[:3] {
		h.leave[p] <- true
	}
	resp, _ := c.readResponse("GET")
	must.Eq(t, "3", resp.Header.Get("Parts-Missing"))
	gone := map[string]bool{<-h.abandoned: true, <-h.abandoned: true}
	must.Eq(t, map[string]bool{"/4": true, "/5": true}, gone, must.Sprint("cancelled ones are broken off"))
	h.leave["/3"] <- true
	for {
		if r := await[dispatch.AttemptDone](w); r.N == 3 {
			must.Eq(t, dispatch.ClassResponse, r.Result.Class, must.Sprint("the one that was left is not"))
			return
		}
	}
}

// TestClientDisconnects tells the chart at the next moment that it is woken.
func TestClientDisconnects(t *testing.T) {
	w := newWorld(t, nil)
	h := w.block("/once", "/again")
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		switch ev.(type) {
		case dispatch.Begin:
			return []dispatch.Action{s.to(0, "/once", true), s.to(1, "/again", false), dispatch.SetTimer{At: w.now() + 1000}}
		case dispatch.TimerFired:
			return []dispatch.Action{dispatch.SetTimer{At: w.now() + 1000}}
		case dispatch.ClientGone:
			return []dispatch.Action{dispatch.Abandon{N: 0}, dispatch.Cancel{N: 1}, finish(dispatch.Outcome{Code: "client_gone"})}
		}
		return nil
	}
	c := w.dial()
	c.send(get("a"))
	<-h.enter
	<-h.enter
	await[dispatch.TimerFired](w)
	must.NoError(t, c.Close())
	await[dispatch.ClientGone](w)
	must.Eq(t, "/again", <-h.abandoned)
	h.leave["/once"] <- true
	for {
		if r := await[dispatch.AttemptDone](w); r.N == 0 {
			must.Eq(t, "/once", string(r.Result.Body))
			return
		}
	}
}

// TestExchangeFailures gives the chart what became of each ask, and nothing is written twice.
func TestExchangeFailures(t *testing.T) {
	w := newWorld(t, nil)
	w.serve = func(rw http.ResponseWriter, r *http.Request) {
		conn, _, _ := http.NewResponseController(rw).Hijack()
		if r.Header.Get("Try-Id") == "cut" {
			conn.Write([]byte("HTTP/1.1 200 OK\r\nTry-Id: cut\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf"))
		}
		conn.Close()
	}
	nobody := snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: freeAddr(t)}}
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		acts := forwardOnce(s, ev)
		if _, ok := ev.(dispatch.Begin); ok && s.req.ID == "nobody" {
			a := acts[0].(dispatch.Send)
			a.Backend = &nobody
			return []dispatch.Action{a}
		}
		return acts
	}
	c := w.dial()
	for _, id := range []string{"cut", "closed"} {
		c.send(get(id))
		resp, body := c.readResponse("GET")
		must.Eq(t, 502, resp.StatusCode)
		must.StrContains(t, body, `"code":"unknown"`)
		must.StrNotContains(t, body, "half")
	}
	c.send(get("nobody"))
	_, body := c.readResponse("GET")
	must.StrContains(t, body, "dial: ")
	must.Len(t, 2, w.requests())
}

// TestConnectionIsAbortedWithoutOutcome closes the connection where there is nothing to say.
func TestConnectionIsAbortedWithoutOutcome(t *testing.T) {
	w := newWorld(t, nil)
	w.step = func(*script, dispatch.Event) []dispatch.Action {
		return []dispatch.Action{finish(dispatch.Outcome{Code: "client_gone"})}
	}
	c := w.dial()
	c.send(get("a"))
	c.ends()
}

// TestRequestIsDecidedAfterThaw lets no event reach a chart before the table is fresh again.
func TestRequestIsDecidedAfterThaw(t *testing.T) {
	var frozen atomic.Bool
	thaw := make(chan bool)
	w := newWorld(t, func(_ *world, c *Config) {
		c.AwaitThaw = func() {
			if frozen.Load() {
				<-thaw
				frozen.Store(false)
			}
		}
	})
	frozen.Store(true)
	c := w.dial()
	c.send(get("a"))
	must.Eq(t, 0, len(w.told))
	thaw <- true
	c.readResponse("GET")

	h := w.block("/a")
	c.send(get("b"))
	<-h.enter
	frozen.Store(true)
	for len(w.told) > 0 {
		<-w.told
	}
	h.leave["/a"] <- true
	thaw <- true
	await[dispatch.AttemptDone](w)
	c.readResponse("GET")
}
