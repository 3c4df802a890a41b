package backend

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// run runs an attempt and checks the class of its result.
func run(t *testing.T, cl *Client, a dispatch.Send, class dispatch.Class) dispatch.Result {
	t.Helper()
	rep := cl.Start(a).Run()
	must.Eq(t, class, rep.Class, must.Sprint(rep.Reason))
	return rep
}

// TestIdleConnectionClosedByBackend checks that a request is sent on a new connection if the backend has closed
// the idle connection.
func TestIdleConnectionClosedByBackend(t *testing.T) {
	counts := kernel.NewCounts()
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return c.n > 1 })
	cl := newTestClient(t, Config{Counts: counts})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	readable(t, idleConn(t, cl))
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
	must.False(t, rep.ReusedConn)
	must.Eq(t, 1, counts.Of("backend_idle_dead").Load())
	must.Eq(t, 1, f.times("b"))
}

// TestLateSurplus checks that a response that arrives on an idle connection is not taken for the response to the next
// request.
func TestLateSurplus(t *testing.T) {
	surplus := make(chan bool)
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write(c.good("right"))
		if c.n == 1 {
			<-surplus
			c.write(responseTo("b", "surplus"))
		}
		return true
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	surplus <- true
	readable(t, idleConn(t, cl))
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse)
	must.Eq(t, "right", string(rep.Body))
	must.False(t, rep.ReusedConn)
}

// TestSurplusIsNotTakenForNextResponse has a second response to a request arrive only after the next request was
// written. It must not be taken for the response to the next request.
func TestSurplusIsNotTakenForNextResponse(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		if c.n == 2 {
			c.write(responseTo("a", "surplus"))
		}
		c.write(c.good("right"))
		return true
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassInvalid)
	must.True(t, rep.ReusedConn)
	must.Eq(t, 1, f.times("b"))
	must.False(t, run(t, cl, f.attemptOnce("c"), dispatch.ClassResponse).ReusedConn)
}

// TestResetOnReuse has the backend reset a reused connection after it read the request. The request may have run
// and must not be sent again.
func TestResetOnReuse(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		if c.n == 2 {
			c.c.SetLinger(0)
			return false
		}
		c.write(c.good(""))
		return true
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	rep := run(t, cl, f.attemptOnce("b"), dispatch.ClassFailed)
	must.True(t, rep.ReusedConn)
	must.False(t, rep.TimedOut)
	must.Eq(t, 1, f.times("b"), must.Sprint("the client must not retry"))
	must.Eq(t, 1, f.connections())
}

// TestNotExecutedReplyWithoutID has the backend state on a reused connection, without a request's id, that a request
// did not run. The statement may belong to an earlier request, so it must not be accepted for a request that must
// not run twice.
func TestNotExecutedReplyWithoutID(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		if c.n%2 == 1 {
			c.write(c.good(""))
		} else {
			c.write("HTTP/1.1 503 Full\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return true
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	run(t, cl, f.attemptOnce("b"), dispatch.ClassInvalid)
	run(t, cl, f.attempt("c"), dispatch.ClassResponse)
	must.True(t, run(t, cl, f.attempt("d"), dispatch.ClassRejected).ReusedConn)
	must.False(t, run(t, cl, f.attempt("e"), dispatch.ClassResponse).ReusedConn)
}

func TestNotSent(t *testing.T) {
	var frozen atomic.Bool
	var thaws atomic.Int64
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	cl := newTestClient(t, Config{Frozen: frozen.Load, Thaws: thaws.Load})
	for range 2 {
		// In the second iteration the client has an idle connection.
		frozen.Store(true)
		must.Eq(t, "the process was frozen", run(t, cl, f.attemptOnce("no"), dispatch.ClassNotSent).Reason)
		frozen.Store(false)

		x := cl.Start(f.attemptOnce("no"))
		thaws.Add(1)
		rep := x.Run()
		must.Eq(t, dispatch.ClassNotSent, rep.Class, must.Sprint("the request must not be written, because the attempt was decided before the freeze"))

		a := f.attemptOnce("no")
		a.Timeout = 900
		run(t, cl, a, dispatch.ClassNotSent)
		a.Timeout = -5
		run(t, cl, a, dispatch.ClassNotSent)

		x = cl.Start(f.attemptOnce("no"))
		x.Cancel()
		must.Eq(t, dispatch.ClassNotSent, x.Run().Class)
		run(t, cl, f.attemptOnce("yes"), dispatch.ClassResponse)
	}
	must.Eq(t, 0, f.times("no"))
	must.Eq(t, 2, f.times("yes"))
	must.Eq(t, 1, cl.open.Load(), must.Sprint("connections that were not written to must be kept"))
}

func TestDialFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().String()
	must.NoError(t, l.Close())
	f := &fakeBackend{}
	cl := newTestClient(t, Config{})
	a := dispatch.Send{Backend: &snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: addr}}, Timeout: 20 * clock.Second, AtMostOnce: true, Request: &dispatch.Request{Method: "GET"}}
	for range 3 {
		rep := run(t, cl, a, dispatch.ClassNotSent)
		must.StrContains(t, rep.Reason, "refused")
		must.False(t, rep.ReusedConn)
	}
	must.Eq(t, 0, cl.open.Load())
	must.Eq(t, 0, f.connections())
}

// TestConnectionLimitIsShared checks that a node opens no more connections than its share of the limit, and that
// further attempts fail without dialing.
func TestConnectionLimitIsShared(t *testing.T) {
	enter, leave := make(chan bool), make(chan bool)
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		enter <- true
		<-leave
		c.write(c.good(""))
		return true
	})
	cl := newTestClient(t, Config{NodeCount: func() int { return 4 }})
	must.Eq(t, 1, cl.connectionLimit(&snapshot.Pool{Pool: &routingpb.Pool{MaxConnections: 3}}), must.Sprint("the share must be at least one connection"))
	must.Eq(t, defaultMaxConnections, cl.connectionLimit(&snapshot.Pool{}))
	back := make(chan dispatch.Result, 2)
	for _, id := range []string{"a", "b"} {
		go func() { back <- cl.Start(f.attempt(id)).Run() }()
		<-enter
	}
	rep := run(t, cl, f.attempt("c"), dispatch.ClassNotSent)
	must.Eq(t, reasonNoConnection, rep.Reason)
	must.True(t, rep.ReusedConn, must.Sprint("the result must be marked so that it does not count as a failure of the backend"))
	leave <- true
	leave <- true
	for range 2 {
		must.Eq(t, dispatch.ClassResponse, (<-back).Class)
	}
	must.Eq(t, 2, f.connections())
	must.Eq(t, 0, f.times("c"))
}

// TestKeepAliveTimeout checks that a connection is not used near the end of the backend's keep-alive time, when the
// backend may close it at any moment.
func TestKeepAliveTimeout(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write("HTTP/1.1 200 OK\r\nTry-Id: " + c.req.Header.Get("Try-Id") + "\r\nStamp: s\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	c := idleConn(t, cl)
	must.True(t, c.usable(c.idleSince.Add(999*time.Millisecond)))
	must.False(t, c.usable(c.idleSince.Add(time.Second)))
	must.True(t, run(t, cl, f.attemptOnce("b"), dispatch.ClassResponse).ReusedConn)
	c.idleSince = c.idleSince.Add(-time.Second)
	must.False(t, run(t, cl, f.attemptOnce("c"), dispatch.ClassResponse).ReusedConn)
	must.Eq(t, 1, cl.open.Load())
}

// TestAddressReusedByAnotherBackend checks that a connection to one backend is not used for another backend that
// was assigned its address.
func TestAddressReusedByAnotherBackend(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	cl := newTestClient(t, Config{})
	run(t, cl, f.attemptOnce("a"), dispatch.ClassResponse)
	b := f.attemptOnce("b")
	b.Backend.ID = "i-2"
	must.False(t, run(t, cl, b, dispatch.ClassResponse).ReusedConn)
	must.Eq(t, 2, f.connections())
}

// TestCloseAfterUse checks that no connection to a backend marked CloseAfterUse is kept. Such a backend has too few
// connections for every node to keep an idle one.
func TestCloseAfterUse(t *testing.T) {
	counts := kernel.NewCounts()
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	cl := newTestClient(t, Config{Counts: counts})
	for _, id := range []string{"a", "b"} {
		a := f.attemptOnce(id)
		a.Backend.CloseAfterUse = true
		must.False(t, run(t, cl, a, dispatch.ClassResponse).ReusedConn)
	}
	must.Eq(t, 2, counts.Of("backend_dials").Load())
	must.Eq(t, 0, cl.open.Load())
	run(t, cl, f.attemptOnce("c"), dispatch.ClassResponse)
	must.True(t, run(t, cl, f.attemptOnce("d"), dispatch.ClassResponse).ReusedConn, must.Sprint("without CloseAfterUse the connection must be kept"))
}
