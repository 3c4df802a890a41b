package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

var testNames = Names{ID: "Try-Id", Budget: "Left", Seal: "Stamp", Target: "Meant-For", ShardSeals: "Stamps", MissingShards: "Parts-Missing", ReadinessPath: "/ready"}

// script is a scripted state machine: its step function returns the actions for each event.
type script struct {
	w        *fixture
	req      dispatch.Request
	step     func(s *script, ev dispatch.Event) []dispatch.Action
	finished bool
}

func (s *script) Done() bool { return s.finished }

func (s *script) Step(_ clock.Micros, ev dispatch.Event) []dispatch.Action {
	s.w.record(s.req.ID, ev)
	actions := s.step(s, ev)
	for _, action := range actions {
		if _, ok := action.(dispatch.Finish); ok {
			s.finished = true
		}
	}
	return actions
}

func (s *script) attempt(n int, once bool) dispatch.Send {
	return dispatch.Send{N: n, Backend: &s.w.backend, Timeout: 20 * clock.Second, AtMostOnce: once, Request: &s.req}
}

func finish(o dispatch.Outcome) dispatch.Finish { return dispatch.Finish{Outcome: o} }

// forwardOnce is a step function that sends one attempt and responds with its result.
func forwardOnce(s *script, ev dispatch.Event) []dispatch.Action {
	switch v := ev.(type) {
	case dispatch.Begin:
		return []dispatch.Action{s.attempt(0, true)}
	case dispatch.AttemptDone:
		if v.Result.Class == dispatch.ClassResponse {
			return []dispatch.Action{finish(dispatch.Outcome{Status: v.Result.Status, Code: dispatch.CodeOK, Response: &v.Result})}
		}
		return []dispatch.Action{finish(dispatch.Outcome{Status: 502, Code: dispatch.CodeUnknown, Reason: v.Result.Reason})}
	}
	return nil
}

// receivedRequest is a request that the backend received.
type receivedRequest struct {
	method, uri, host, body string
	head                    http.Header
}

// fixture is a server with scripted state machines and an httptest.Server as its backend.
type fixture struct {
	t             *testing.T
	server        *Server
	backend       snapshot.Backend
	snapshot      atomic.Pointer[snapshot.Snapshot]
	now           func() clock.Micros
	step          func(s *script, ev dispatch.Event) []dispatch.Action
	handleBackend func(w http.ResponseWriter, r *http.Request)
	counts        *kernel.Counts

	mu        sync.Mutex
	received  []receivedRequest
	events    map[string][]dispatch.Event
	delivered chan dispatch.Event
}

// setHandler replaces the handler of the backend.
func (w *fixture) setHandler(serve func(http.ResponseWriter, *http.Request)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handleBackend = serve
}

func (w *fixture) backendHandler() func(http.ResponseWriter, *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.handleBackend
}

func newFixture(t *testing.T, change func(w *fixture, c *Config)) *fixture {
	t.Helper()
	w := &fixture{t: t, step: forwardOnce, events: map[string][]dispatch.Event{}, delivered: make(chan dispatch.Event, 1000), counts: kernel.NewCounts()}
	w.handleBackend = func(rw http.ResponseWriter, r *http.Request) { io.WriteString(rw, "hello") }
	b := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		w.received = append(w.received, receivedRequest{r.Method, r.RequestURI, r.Host, string(body), r.Header})
		w.mu.Unlock()
		rw.Header().Set("Try-Id", r.Header.Get("Try-Id"))
		rw.Header().Set("Stamp", "s."+r.Header.Get("Try-Id"))
		w.backendHandler()(rw, r)
	}))
	t.Cleanup(b.Close)
	w.backend = snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: b.Listener.Addr().String()}}
	w.limits(&routingpb.Limits{})
	start := time.Now()
	w.now = func() clock.Micros { return time.Since(start).Microseconds() }
	cl := backend.New(backend.Config{Counts: w.counts, Names: backend.Names{ID: "Try-Id", Budget: "Left", Target: "Meant-For", Seal: "Stamp", Load: "Busy", NotExecuted: "Did-Not-Run"}})
	t.Cleanup(cl.Close)
	c := Config{
		ClientAddr: "127.0.0.1:0", Names: testNames, Log: zap.NewNop(), Counts: w.counts, Backends: cl, Snapshot: w.snapshot.Load,
		Now: func() clock.Micros { return w.now() }, GracePeriod: 30 * clock.Second, AcceptTime: 1,
		NewStateMachine: func(r dispatch.Request, _ clock.Micros) StateMachine {
			w.mu.Lock()
			defer w.mu.Unlock()
			return &script{w: w, req: r, step: w.step}
		},
	}
	if change != nil {
		change(w, &c)
	}
	var err error
	w.server, err = Open(c)
	must.NoError(t, err)
	t.Cleanup(w.server.Stop)
	return w
}

func (w *fixture) limits(l *routingpb.Limits) {
	w.snapshot.Store(&snapshot.Snapshot{Complete: true, Routing: routing.Compile(&routingpb.RoutingTable{Revision: 1, Limits: l})})
}

func (w *fixture) record(id string, ev dispatch.Event) {
	w.mu.Lock()
	w.events[id] = append(w.events[id], ev)
	w.mu.Unlock()
	w.delivered <- ev
}

// await waits until a state machine receives an event of type E, and returns the event.
func await[E dispatch.Event](w *fixture) E {
	for {
		if ev, ok := (<-w.delivered).(E); ok {
			return ev
		}
	}
}

func (w *fixture) requests() []receivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]receivedRequest(nil), w.received...)
}

// wireConn is the connection of a test client.
type wireConn struct {
	w *fixture
	t *testing.T
	*net.TCPConn
	r *bufio.Reader
}

// dial opens a client connection once the server listens.
func (w *fixture) dial() *wireConn {
	w.t.Helper()
	for w.server.Addr() == "" {
		runtime.Gosched()
	}
	c, err := net.Dial("tcp", w.server.Addr())
	must.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	return &wireConn{w, w.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *wireConn) send(s string) {
	c.t.Helper()
	_, err := io.WriteString(c, s)
	must.NoError(c.t, err)
}

// readResponse reads one response.
func (c *wireConn) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	must.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return resp, string(body)
}

// next returns the connection for the next request: this one, or a new one if resp was the last response on this one.
func (c *wireConn) next(resp *http.Response) *wireConn {
	c.t.Helper()
	if resp.Close {
		c.ends()
		return c.w.dial()
	}
	return c
}

// ends checks that the server closes the connection without sending more bytes.
func (c *wireConn) ends() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.r)
	must.Eq(c.t, "", string(rest))
}

// get returns a complete GET request with the given id and header lines.
func get(id string, more ...string) string {
	return "GET /a?b HTTP/1.1\r\nHost: h\r\nTry-Id: " + id + "\r\n" + strings.Join(more, "") + "\r\n"
}
