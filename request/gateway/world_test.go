// A server with scripted charts, a backend that is net/http's, and clients
// that write and read bytes.

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
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

var testNames = Names{ID: "Try-Id", Budget: "Left", Seal: "Stamp", Target: "Meant-For", ShardSeals: "Stamps", MissingShards: "Parts-Missing", ReadinessPath: "/ready"}

// script is a chart that does as it is told; step is called with what the chart was given so far.
type script struct {
	w    *world
	req  dispatch.Request
	step func(s *script, ev dispatch.Event) []dispatch.Action
	over bool
}

func (s *script) Done() bool { return s.over }

func (s *script) Step(_ int64, ev dispatch.Event) []dispatch.Action {
	s.w.record(s.req.ID, ev)
	acts := s.step(s, ev)
	for _, a := range acts {
		if _, ok := a.(dispatch.Finish); ok {
			s.over = true
		}
	}
	return acts
}

func (s *script) attempt(n int, once bool) dispatch.Send {
	return dispatch.Send{N: n, Backend: &s.w.server, Timeout: 20_000_000, AtMostOnce: once, Request: &s.req}
}

func finish(o dispatch.Outcome) dispatch.Finish { return dispatch.Finish{Outcome: o} }

// forwardOnce asks once and passes on what comes.
func forwardOnce(s *script, ev dispatch.Event) []dispatch.Action {
	switch v := ev.(type) {
	case dispatch.Begin:
		return []dispatch.Action{s.attempt(0, true)}
	case dispatch.AttemptDone:
		if v.Result.Class == dispatch.ClassResponse {
			return []dispatch.Action{finish(dispatch.Outcome{Status: v.Result.Status, Code: "ok", Response: &v.Result})}
		}
		return []dispatch.Action{finish(dispatch.Outcome{Status: 502, Code: "unknown", Reason: v.Result.Reason})}
	}
	return nil
}

// seen is a request at the backend.
type seen struct {
	method, uri, host, body string
	head                    http.Header
}

type world struct {
	t      *testing.T
	s      *Server
	server snapshot.Backend
	cp     atomic.Pointer[snapshot.Snapshot]
	now    func() int64
	step   func(s *script, ev dispatch.Event) []dispatch.Action
	serve  func(w http.ResponseWriter, r *http.Request)
	counts *kernel.Counts

	mu     sync.Mutex
	seen   []seen
	events map[string][]dispatch.Event
	told   chan dispatch.Event
}

// setHandler has the backend serve in another way from now on.
func (w *world) setHandler(serve func(http.ResponseWriter, *http.Request)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serve = serve
}

func (w *world) backendHandler() func(http.ResponseWriter, *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.serve
}

func newWorld(t *testing.T, change func(w *world, c *Config)) *world {
	w := &world{t: t, step: forwardOnce, events: map[string][]dispatch.Event{}, told: make(chan dispatch.Event, 1000), counts: kernel.NewCounts()}
	w.serve = func(rw http.ResponseWriter, r *http.Request) { io.WriteString(rw, "hello") }
	b := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		w.seen = append(w.seen, seen{r.Method, r.RequestURI, r.Host, string(body), r.Header})
		w.mu.Unlock()
		rw.Header().Set("Try-Id", r.Header.Get("Try-Id"))
		rw.Header().Set("Stamp", "s."+r.Header.Get("Try-Id"))
		w.backendHandler()(rw, r)
	}))
	t.Cleanup(b.Close)
	w.server = snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: b.Listener.Addr().String()}}
	w.limits(&routingpb.Limits{})
	began := time.Now()
	w.now = func() int64 { return time.Since(began).Microseconds() }
	cl := backend.New(backend.Config{Counts: w.counts, Names: backend.Names{ID: "Try-Id", Budget: "Left", Target: "Meant-For", Seal: "Stamp", Load: "Busy", NotExecuted: "Did-Not-Run"}})
	t.Cleanup(cl.Close)
	c := Config{
		ClientAddr: "127.0.0.1:0", Names: testNames, Log: zap.NewNop(), Counts: w.counts, Backends: cl, Snapshot: w.cp.Load,
		Now: func() int64 { return w.now() }, GracePeriod: 30_000_000, AcceptTime: 1,
		NewStateMachine: func(r dispatch.Request, _ int64) StateMachine {
			w.mu.Lock()
			defer w.mu.Unlock()
			return &script{w: w, req: r, step: w.step}
		},
	}
	if change != nil {
		change(w, &c)
	}
	var err error
	w.s, err = Open(c)
	must.NoError(t, err)
	t.Cleanup(w.s.Stop)
	return w
}

func (w *world) limits(l *routingpb.Limits) {
	w.cp.Store(&snapshot.Snapshot{Complete: true, Routing: routing.Compile(&routingpb.RoutingTable{Revision: 1, Limits: l})})
}

func (w *world) record(id string, ev dispatch.Event) {
	w.mu.Lock()
	w.events[id] = append(w.events[id], ev)
	w.mu.Unlock()
	w.told <- ev
}

// await waits for a chart's event of a kind.
func await[E dispatch.Event](w *world) E {
	for {
		if ev, ok := (<-w.told).(E); ok {
			return ev
		}
	}
}

func (w *world) requests() []seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]seen(nil), w.seen...)
}

// wire is a client's connection.
type wireConn struct {
	w *world
	t *testing.T
	*net.TCPConn
	r *bufio.Reader
}

func (w *world) dial() *wireConn {
	for w.s.Addr() == "" {
		runtime.Gosched()
	}
	c, err := net.Dial("tcp", w.s.Addr())
	must.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	return &wireConn{w, w.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *wireConn) send(s string) {
	_, err := io.WriteString(c, s)
	must.NoError(c.t, err)
}

// readResponse reads one answer.
func (c *wireConn) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	must.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return resp, string(body)
}

// next is the connection for the next request: another one where the answer was the last.
func (c *wireConn) next(resp *http.Response) *wireConn {
	c.t.Helper()
	if resp.Close {
		c.ends()
		return c.w.dial()
	}
	return c
}

// ends tells that nothing more comes.
func (c *wireConn) ends() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.r)
	must.Eq(c.t, "", string(rest))
}

// get is a whole request.
func get(id string, more ...string) string {
	return "GET /a?b HTTP/1.1\r\nHost: h\r\nTry-Id: " + id + "\r\n" + strings.Join(more, "") + "\r\n"
}
