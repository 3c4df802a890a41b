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

// blockedBackend is a backend that blocks each request until the test sends to the channel for the request's path
// in leave. The backend sends the paths of arriving requests to enter, and the paths of aborted requests to abandoned.
type blockedBackend struct {
	enter     chan string
	leave     map[string]chan bool
	abandoned chan string
}

// block makes the backend block requests to the given paths.
func (w *fixture) block(paths ...string) *blockedBackend {
	blocked := &blockedBackend{enter: make(chan string, 10), leave: map[string]chan bool{}, abandoned: make(chan string, 10)}
	for _, p := range paths {
		blocked.leave[p] = make(chan bool, 1)
	}
	w.t.Cleanup(func() {
		for _, c := range blocked.leave {
			close(c)
		}
	})
	w.handleBackend = func(rw http.ResponseWriter, r *http.Request) {
		blocked.enter <- r.URL.Path
		select {
		case <-blocked.leave[r.URL.Path]:
			rw.Write([]byte(r.URL.Path))
		case <-r.Context().Done():
			blocked.abandoned <- r.URL.Path
		}
	}
	return blocked
}

// attemptTo returns an attempt with the given path. The path tells the backend which attempt it is.
func (s *script) attemptTo(n int, path string, once bool) dispatch.Send {
	a := s.attempt(n, once)
	req := *a.Request
	req.Target = path
	a.Request = &req
	return a
}

func TestHedgedRequest(t *testing.T) {
	for _, warm := range []bool{false, true} {
		w := newFixture(t, nil)
		if warm {
			// This leaves an idle connection for the attempts below.
			c := w.dial()
			c.send(get("warm"))
			c.readResponse("GET")
		}
		h := w.block("/first", "/second")
		w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
			switch v := ev.(type) {
			case dispatch.Begin:
				return []dispatch.Action{s.attemptTo(0, "/first", false), dispatch.SetTimer{At: w.now() + 20_000}}
			case dispatch.TimerFired:
				return []dispatch.Action{s.attemptTo(1, "/second", false)}
			case dispatch.AttemptDone:
				if v.N == 1 {
					return []dispatch.Action{dispatch.Abandon{N: 0}, finish(dispatch.Outcome{Status: 200, Response: &v.Result})}
				}
			}
			return nil
		}
		c := w.dial()
		c.send(get("a"))
		// Both attempts reach the backend before either has a response. Their order is not determined, because
		// each uses its own connection.
		must.SliceContainsAll(t, []string{"/first", "/second"}, []string{<-h.enter, <-h.enter})
		h.leave["/second"] <- true
		resp, body := c.readResponse("GET")
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "/second", body)
		// The abandoned attempt still completes, and the state machine receives its result.
		h.leave["/first"] <- true
		for {
			if r := await[dispatch.AttemptDone](w); r.N == 0 && string(r.Result.Body) == "/first" {
				must.Eq(t, dispatch.ClassResponse, r.Result.Class)
				break
			}
		}
	}
}

// TestGatheredResponse sends several attempts at the same time and responds before all of them have a result.
func TestGatheredResponse(t *testing.T) {
	w := newFixture(t, nil)
	paths := []string{"/0", "/1", "/2", "/3", "/4", "/5"}
	h := w.block(paths...)
	w.step = func(s *script, ev dispatch.Event) (actions []dispatch.Action) {
		switch v := ev.(type) {
		case dispatch.Begin:
			for n, p := range paths {
				actions = append(actions, s.attemptTo(n, p, false))
			}
		case dispatch.AttemptDone:
			if len(w.events[s.req.ID]) == 4 {
				return []dispatch.Action{dispatch.Cancel{N: 4}, dispatch.Cancel{N: 5}, dispatch.Abandon{N: 3}, finish(dispatch.Outcome{Status: 200, Seals: []string{"x"}, Missing: 3, Body: v.Result.Body})}
			}
		}
		return actions
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
	canceled := map[string]bool{<-h.abandoned: true, <-h.abandoned: true}
	must.Eq(t, map[string]bool{"/4": true, "/5": true}, canceled, must.Sprint("the cancelled attempts must be aborted"))
	h.leave["/3"] <- true
	for {
		if r := await[dispatch.AttemptDone](w); r.N == 3 {
			must.Eq(t, dispatch.ClassResponse, r.Result.Class, must.Sprint("the abandoned attempt must not be aborted"))
			return
		}
	}
}

// TestClientDisconnects checks that the state machine receives ClientGone when the client closes its connection.
func TestClientDisconnects(t *testing.T) {
	w := newFixture(t, nil)
	h := w.block("/once", "/again")
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		switch ev.(type) {
		case dispatch.Begin:
			return []dispatch.Action{s.attemptTo(0, "/once", true), s.attemptTo(1, "/again", false), dispatch.SetTimer{At: w.now() + 1000}}
		case dispatch.TimerFired:
			return []dispatch.Action{dispatch.SetTimer{At: w.now() + 1000}}
		case dispatch.ClientGone:
			return []dispatch.Action{dispatch.Abandon{N: 0}, dispatch.Cancel{N: 1}, finish(dispatch.Outcome{Code: dispatch.CodeClientGone})}
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

// TestExchangeFailures checks that the state machine receives the result of each failed attempt, and that the
// server does not retry by itself.
func TestExchangeFailures(t *testing.T) {
	w := newFixture(t, nil)
	w.handleBackend = func(rw http.ResponseWriter, r *http.Request) {
		conn, _, _ := http.NewResponseController(rw).Hijack()
		if r.Header.Get("Try-Id") == "cut" {
			conn.Write([]byte("HTTP/1.1 200 OK\r\nTry-Id: cut\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf"))
		}
		conn.Close()
	}
	unreachable := snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: freeAddr(t)}}
	w.step = func(s *script, ev dispatch.Event) []dispatch.Action {
		actions := forwardOnce(s, ev)
		if _, ok := ev.(dispatch.Begin); ok && s.req.ID == "unreachable" {
			a := actions[0].(dispatch.Send)
			a.Backend = &unreachable
			return []dispatch.Action{a}
		}
		return actions
	}
	c := w.dial()
	for _, id := range []string{"cut", "closed"} {
		c.send(get(id))
		resp, body := c.readResponse("GET")
		must.Eq(t, 502, resp.StatusCode)
		must.StrContains(t, body, `"code":"unknown"`)
		must.StrNotContains(t, body, "half")
	}
	c.send(get("unreachable"))
	_, body := c.readResponse("GET")
	must.StrContains(t, body, "dial: ")
	must.Len(t, 2, w.requests())
}

// TestConnectionIsAbortedWithoutOutcome checks that the connection is closed without a response if the outcome
// has no status.
func TestConnectionIsAbortedWithoutOutcome(t *testing.T) {
	w := newFixture(t, nil)
	w.step = func(*script, dispatch.Event) []dispatch.Action {
		return []dispatch.Action{finish(dispatch.Outcome{Code: dispatch.CodeClientGone})}
	}
	c := w.dial()
	c.send(get("a"))
	c.ends()
}

// TestRequestIsDecidedAfterThaw checks that after a freeze no event reaches a state machine before the snapshot
// is fresh again.
func TestRequestIsDecidedAfterThaw(t *testing.T) {
	var frozen atomic.Bool
	thaw := make(chan bool)
	w := newFixture(t, func(_ *fixture, c *Config) {
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
	must.Eq(t, 0, len(w.delivered))
	thaw <- true
	c.readResponse("GET")

	h := w.block("/a")
	c.send(get("b"))
	<-h.enter
	frozen.Store(true)
	for len(w.delivered) > 0 {
		<-w.delivered
	}
	h.leave["/a"] <- true
	thaw <- true
	await[dispatch.AttemptDone](w)
	c.readResponse("GET")
}
