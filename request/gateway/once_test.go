package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// longTimeout is never reached in a test. briefTimeout is reached when a backend does not respond.
const (
	longTimeout  = 20 * clock.Second
	briefTimeout = 250 * clock.Millisecond
)

// newAtMostOnceFixture returns a fixture with dispatch.StateMachine, routes that are not idempotent, and a
// pool of two backends, which share the address of the fixture's backend.
func newAtMostOnceFixture(t *testing.T) *fixture {
	t.Helper()
	config := &routingpb.RoutingTable{
		Revision: 1,
		Routes: []*routingpb.Route{
			{Name: "long", Host: "h", Prefix: "/", TimeoutUs: longTimeout, MaxBackends: proto.Int32(3), Pool: "desk"},
			{Name: "brief", Host: "h", Prefix: "/brief/", TimeoutUs: briefTimeout, MaxBackends: proto.Int32(3), Pool: "desk"},
		},
		Pools:  []*routingpb.Pool{{Name: "desk", MaxConnections: 10}},
		Limits: &routingpb.Limits{},
	}
	w := newFixture(t, func(w *fixture, c *Config) {
		dispatcher := dispatch.NewDispatcher(dispatch.Config{Snapshot: w.snapshot.Load, Counts: w.counts, Seed: 1, StartedAt: w.now(), Retry: dispatch.RetryConfig{Ratio: 0.2, Allowance: 60, Window: 10 * clock.Second}})
		c.NewStateMachine = func(r dispatch.Request, now clock.Micros) StateMachine {
			return dispatch.NewStateMachine(dispatcher, r, now)
		}
	})
	compiled := routing.Compile(config)
	gauges := &snapshot.Gauges{}
	pool := &snapshot.Pool{Pool: compiled.Pools["desk"]}
	for i := range 2 {
		s := w.backend
		s.ID = fmt.Sprintf("i-%d", i+1)
		s.Gauge = gauges.Of(s.ID)
		pool.Backends = append(pool.Backends, &s)
	}
	w.snapshot.Store(&snapshot.Snapshot{Complete: true, Divisor: 1, LiveNodeCount: 1, Routing: compiled, Pools: map[string]*snapshot.Pool{"desk": pool}})
	return w
}

// times returns how often the request with the id was received by a backend.
func (w *fixture) times(id string) (n int) {
	for _, r := range w.requests() {
		if r.head.Get("Try-Id") == id {
			n++
		}
	}
	return n
}

func post(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nTry-Id: " + id + "\r\nContent-Length: 3\r\n\r\nabc"
}

// rawResponse returns a handler that writes raw bytes instead of a response. If reset is set it then closes the
// connection; otherwise it sends nothing more.
func rawResponse(bytes string, reset bool) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		io.WriteString(conn, strings.ReplaceAll(bytes, "ID", r.Header.Get("Try-Id")))
		if reset {
			conn.Close()
			return
		}
		// Wait until the node closes the connection.
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

func resetConnection(rw http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func TestRequestThatMayHaveRunReachesOneBackend(t *testing.T) {
	const long, brief = "/a", "/brief/a"
	const headerAndBody = "Try-Id: ID\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi"
	for _, c := range []struct {
		name   string
		serve  func(http.ResponseWriter, *http.Request)
		path   string
		status int
	}{
		{"reset", resetConnection, long, 502},
		{"closed", rawResponse("", true), long, 502},
		{"silence", rawResponse("", false), brief, 504},
		{"cut head", rawResponse("HTTP/1.1 200 OK\r\nTry-Id: ID\r\n", true), long, 502},
		{"cut body", rawResponse("HTTP/1.1 200 OK\r\nTry-Id: ID\r\nStamp: s\r\nContent-Length: 9\r\n\r\nhi", true), long, 502},
		{"half a response and silence", rawResponse("HTTP/1.1 200 OK\r\nTry-Id: ID\r\n", false), brief, 504},
		{"only an interim response", rawResponse("HTTP/1.1 100 Continue\r\n\r\n", false), brief, 504},
		{"noise", rawResponse("\x00\x01\x02\r\n\r\n", true), long, 502},
		{"the id of another request", rawResponse("HTTP/1.1 200 OK\r\nTry-Id: z\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", true), long, 502},
		{"no id", rawResponse("HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", true), long, 502},
		{"no seal", rawResponse("HTTP/1.1 200 OK\r\nTry-Id: ID\r\nContent-Length: 2\r\n\r\nhi", true), long, 502},
		{"503 without Did-Not-Run", rawResponse("HTTP/1.1 503 Busy\r\n"+headerAndBody, true), long, 502},
		{"429 without Did-Not-Run", rawResponse("HTTP/1.1 429 Busy\r\n"+headerAndBody, true), long, 502},
		{"408 without Did-Not-Run", rawResponse("HTTP/1.1 408 Late\r\n"+headerAndBody, true), long, 502},
		{"a failure with a seal", rawResponse("HTTP/1.1 500 Oh\r\n"+headerAndBody, true), long, 500},
		// After a complete success the node may keep the connection, so that a backend that closes it has to say so.
		{"a success with Did-Not-Run, and the connection closes", rawResponse("HTTP/1.1 200 OK\r\nDid-Not-Run: 1\r\nConnection: close\r\n"+headerAndBody, true), long, 200},
		{"a success with Did-Not-Run, and the connection is kept", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Did-Not-Run", "1")
			io.WriteString(rw, "hi")
		}, long, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newAtMostOnceFixture(t)
			w.setHandler(c.serve)
			client := w.dial()
			client.send(post(c.path, "a"))
			resp, _ := client.readResponse("POST")
			if c.path == brief {
				// Either the node or the backend may notice the time-out first. Neither status states that the
				// request did not run.
				must.SliceContains(t, []int{502, 504}, resp.StatusCode)
			} else {
				must.Eq(t, c.status, resp.StatusCode)
			}
			must.Eq(t, 1, w.times("a"), must.Sprint("the request must reach a single backend once"))
			// A connection that closes, or may hold a late response, must not be reused, and the next request must be served.
			w.setHandler(func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, "right") })
			client.send(post(long, "b"))
			resp, body := client.readResponse("POST")
			must.Eq(t, 200, resp.StatusCode, must.Sprint(body))
			must.Eq(t, "right", body)
			must.Eq(t, 1, w.times("b"))
		})
	}
}

// TestNotExecutedReplyIsRetriedElsewhere checks that a request is retried at the other backend if the first one
// states that it did not run, and that the client gets status 503 if both do.
func TestNotExecutedReplyIsRetriedElsewhere(t *testing.T) {
	const notExecuted = "HTTP/1.1 503 Full\r\nTry-Id: ID\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	w := newAtMostOnceFixture(t)
	client := w.dial()
	for i := range 60 {
		// Each successful request adds to the retry budget.
		client.send(post("/a", fmt.Sprint("saved-", i)))
		client.readResponse("POST")
	}
	w.setHandler(rawResponse(notExecuted, true))
	client.send(post("/a", "a"))
	resp, _ := client.readResponse("POST")
	must.Eq(t, 503, resp.StatusCode)
	must.Eq(t, 2, w.times("a"), must.Sprint("the request must be sent to each backend once"))
	seen := map[string]bool{}
	for _, r := range w.requests()[60:] {
		seen[r.head.Get("Meant-For")] = true
	}
	must.MapLen(t, 2, seen)
}
