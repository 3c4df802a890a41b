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

// preRequestBackend does something to each new connection before a request arrives, when the test lets it.
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

// dial returns a new connection on which the bytes sent before any request have arrived.
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

// TestNewConnectionClosedByBackend has the backend close a connection before anything was written to it, as
// one does that has too many: the request was not sent and may go elsewhere.
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

// TestResponseBeforeRequest has responses arrive before the request, one of them with the request's own id:
// they are no response to it, and the request is not written there.
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

// TestFreezeBeforeWrite freezes the process after it has decided to write. It thaws when the request's time
// is over, or notices the freeze.
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
		// The first check is before the request is assembled, the second right before its write.
		frozenAt = checks.Load() + 2
		rep := run(t, cl, f.attemptOnce("a"), dispatch.ClassNotSent)
		must.Eq(t, "the process was frozen", rep.Reason)
		must.Eq(t, 0, f.times("a"))
		must.Eq(t, 1, cl.open.Load(), must.Sprint("nothing was written: the connection is kept"))
		run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
		must.Eq(t, 1, f.connections())
	}
}

// TestDeadlinePassesBeforeWrite goes on after the request's time without a noticed freeze.
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

// TestResponseAfterDeadline has the response arrive too late: it belongs to no request, and its connection is
// not used again.
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
	a.Timeout = 2 * clock.Second // long enough that the request is written by then, however busy the machine is
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

// TestBodyPartlyWritten has the backend close the connection after a part of a body that the kernel does not
// accept at once: the request may have run.
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
		must.Eq(t, 1, f.connections(), must.Sprint("written to one connection"))
	}
}

// TestInterimAfterResponse does not use a connection again on which anything follows the response, even an
// interim response, together with it or later.
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

// TestBackendClosesWhenReused has the backend close an idle connection just when the next request arrives:
// the request may have run.
func TestBackendClosesWhenReused(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write(c.good(""))
		if c.n > 1 {
			return true
		}
		// The request has arrived and is discarded unread, as by an idle timer that was due.
		c.arrived()
		return false
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassFailed)
	must.True(t, rep.ReusedConn)
	must.Eq(t, 0, f.times("b"))
	must.Eq(t, 1, f.connections(), must.Sprint("it was not written again elsewhere"))
	must.Eq(t, 0, cl.open.Load())
}
