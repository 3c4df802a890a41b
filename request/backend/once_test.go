package backend

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// preRequestBackend is a fakeBackend that calls a function with each new connection, before it reads a request from the
// connection. The test starts each call by sending to begin, and receives from done when the call has returned.
type preRequestBackend struct {
	*fakeBackend
	begin, done chan bool
}

func newPreRequestBackend(t *testing.T, onAccept func(c *net.TCPConn)) *preRequestBackend {
	t.Helper()
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("served")); return true })
	g := &preRequestBackend{f, make(chan bool), make(chan bool)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = func(c *net.TCPConn) {
		<-g.begin
		onAccept(c)
		g.done <- true
	}
	return g
}

// dial opens a connection and returns it once the bytes that the function sends, or the end of the stream, have
// arrived on it.
func (g *preRequestBackend) dial(t *testing.T, cl *Client) *conn {
	t.Helper()
	_, pool, room := cl.acquire(g.backend(), 1)
	must.True(t, room)
	c, err := cl.dial(t.Context(), g.backend(), pool)
	must.NoError(t, err)
	g.begin <- true
	<-g.done
	readable(t, c)
	return c
}

// TestNewConnectionClosedByBackend has the backend close a new connection before any byte was written to it, as a
// backend with too many connections does. The request was not sent and may be sent to another backend.
func TestNewConnectionClosedByBackend(t *testing.T) {
	for name, onAccept := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreRequestBackend(t, onAccept)
			cl := newTestClient(t, Config{})
			x := cl.Start(f.attemptOnce("a"))
			rep, again := x.runOn(f.dial(t, cl))
			must.False(t, again)
			must.Eq(t, dispatch.ClassNotSent, rep.Class, must.Sprint(rep.Reason))
			must.Eq(t, 0, f.times("a"))
			must.Eq(t, 0, cl.open.Load())
		})
	}
}

// TestResponseBeforeRequest has a response arrive before the request was written, in one case with the request's
// id. It must not be taken for the response to the request, and the request must not be written to that connection.
func TestResponseBeforeRequest(t *testing.T) {
	for name, response := range map[string]string{
		"not executed": "HTTP/1.1 503 Full\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"response":     responseTo("a", "early"),
		"interim":      "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreRequestBackend(t, func(c *net.TCPConn) { c.Write([]byte(response)) })
			cl := newTestClient(t, Config{})
			x := cl.Start(f.attemptOnce("a"))
			rep, again := x.runOn(f.dial(t, cl))
			must.False(t, again)
			must.Eq(t, dispatch.ClassNotSent, rep.Class, must.Sprint(rep.Reason))
			must.Eq(t, 0, f.times("a"))
		})
	}
}

// TestFreezeBeforeWrite has the process frozen between the decision to write a request and the write. The request
// must not be written, since its deadline may have passed when the process thaws.
func TestFreezeBeforeWrite(t *testing.T) {
	for _, reused := range []bool{false, true} {
		var checks, thaws atomic.Int64
		frozenAt := int64(-1)
		f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
		cl := newTestClient(t, Config{
			Thaws:  thaws.Load,
			Frozen: func() bool { return checks.Add(1) == frozenAt },
		})
		if reused {
			run(t, cl, f.attemptOnce("first"), dispatch.ClassResponse)
		}
		// The first check comes before the request is assembled, the second immediately before its write.
		frozenAt = checks.Load() + 2
		rep := run(t, cl, f.attemptOnce("a"), dispatch.ClassNotSent)
		must.Eq(t, "the process was frozen", rep.Reason)
		must.Eq(t, 0, f.times("a"))
		must.Eq(t, 1, cl.open.Load(), must.Sprint("the connection must be kept, because nothing was written"))
		run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
		must.Eq(t, 1, f.connections())
	}
}

// TestDeadlinePassesBeforeWrite has the deadline pass between the decision to write a request and the write, without
// a freeze that the process detects.
func TestDeadlinePassesBeforeWrite(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	var x *Exchange
	checks := 0
	cl := newTestClient(t, Config{Frozen: func() bool {
		if checks++; checks == 2 {
			x.deadline = x.deadline.Add(-time.Duration(x.attempt.Timeout) * time.Microsecond)
		}
		return false
	}})
	x = cl.Start(f.attemptOnce("a"))
	rep := x.Run()
	must.Eq(t, dispatch.ClassNotSent, rep.Class, must.Sprint(rep.Reason))
	must.Eq(t, 0, f.times("a"))
}

// TestResponseAfterDeadline has a response arrive after the deadline. The connection must not be reused; otherwise the
// response could be taken for the response to the next request.
func TestResponseAfterDeadline(t *testing.T) {
	late, wrote := make(chan bool), make(chan bool)
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		if c.n == 1 {
			<-late
			c.write(c.good("late"))
			wrote <- true
			return true
		}
		c.write(c.good("right"))
		return true
	})
	cl := newTestClient(t, Config{})
	a := f.attemptOnce("a")
	a.Timeout = 2 * clock.Second // long enough for the request to be written in time even on a busy machine
	must.True(t, run(t, cl, a, dispatch.ClassFailed).TimedOut)
	must.Eq(t, 0, cl.open.Load())
	late <- true
	<-wrote
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
	must.Eq(t, "right", string(rep.Body))
	must.False(t, rep.ReusedConn)
	must.Eq(t, 1, f.times("a"))
	must.Eq(t, 2, f.connections())
}

// TestBodyPartlyWritten has the backend reset the connection after a part of a body that the kernel does not
// accept in a single write. The request may have run and must not be written to another connection.
func TestBodyPartlyWritten(t *testing.T) {
	for _, reused := range []bool{false, true} {
		f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
		cl := newTestClient(t, Config{})
		if reused {
			run(t, cl, f.attemptOnce("first"), dispatch.ClassResponse)
		}
		f.resetAfter.Store(1000)
		a := f.attemptOnce("a")
		a.Request.Body = []byte(strings.Repeat("x", 32<<20))
		rep := run(t, cl, a, dispatch.ClassFailed)
		must.Eq(t, reused, rep.ReusedConn)
		must.Eq(t, 1, f.times("a"))
		must.Eq(t, 0, cl.open.Load())
		must.Eq(t, 1, f.connections(), must.Sprint("the request must be written to a single connection"))
	}
}

// TestInterimAfterResponse checks that a connection is not reused if any bytes follow the response, even an interim
// response, whether they arrive together with it or later.
func TestInterimAfterResponse(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	for _, later := range []bool{false, true} {
		follow := make(chan bool)
		f := newFakeBackend(t, func(c *receivedRequest) bool {
			switch {
			case c.n > 1:
				c.write(c.good("right"))
			case later:
				c.write(c.good("right"))
				<-follow
				c.write(interim)
			default:
				c.write(c.good("right") + interim)
			}
			return true
		})
		cl := newTestClient(t, Config{})
		run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
		if later {
			follow <- true
			readable(t, idleConn(t, cl))
		}
		rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
		must.False(t, rep.ReusedConn)
		must.Eq(t, "right", string(rep.Body))
		must.Eq(t, 1, f.times("b"))
	}
}

// TestBackendClosesWhenReused has the backend close an idle connection just as the next request arrives. The client
// cannot know whether the request has run.
func TestBackendClosesWhenReused(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write(c.good(""))
		if c.n > 1 {
			return true
		}
		// The next request has arrived and is discarded unread, as by a backend whose idle timer has just expired.
		c.arrived()
		return false
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassFailed)
	must.True(t, rep.ReusedConn)
	must.Eq(t, 0, f.times("b"))
	must.Eq(t, 1, f.connections(), must.Sprint("the request must not be written to another connection"))
	must.Eq(t, 0, cl.open.Load())
}
