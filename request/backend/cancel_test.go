package backend

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

func TestSilentBackendTimesOut(t *testing.T) {
	done := make(chan bool)
	f := newFakeBackend(t, func(*receivedRequest) bool { <-done; return false })
	defer close(done)
	cl := newTestClient(t, Config{})
	a := f.attemptOnce("a")
	// Long enough for the request to be written in time even on a busy machine.
	a.Timeout = 2 * clock.Second
	rep := run(t, cl, a, dispatch.ClassFailed)
	must.True(t, rep.TimedOut)
	must.Eq(t, "timed out", rep.Reason)
	must.Eq(t, 1, f.times("a"))
	must.Eq(t, 0, cl.open.Load())
}

// TestCancelClosesTheConnection checks that the backend sees the end of the connection of a canceled exchange.
func TestCancelClosesTheConnection(t *testing.T) {
	enter, ended := make(chan bool), make(chan error, 1)
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		enter <- true
		_, err := c.c.Read(make([]byte, 1))
		ended <- err
		return false
	})
	cl := newTestClient(t, Config{})
	x := cl.Start(f.attempt("a"))
	back := make(chan dispatch.Result)
	go func() { back <- x.Run() }()
	<-enter
	x.Cancel()
	rep := <-back
	must.Eq(t, dispatch.ClassFailed, rep.Class)
	must.False(t, rep.TimedOut, must.Sprint("a cancellation must not be reported as a time-out of the backend"))
	must.Error(t, <-ended)
}

func TestCancelWhileDialing(t *testing.T) {
	// The listener never accepts a connection.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	cl := newTestClient(t, Config{})
	a := dispatch.Send{Backend: &snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: l.Addr().String()}}, Timeout: 20 * clock.Second, Request: &dispatch.Request{Method: "GET"}}
	x := cl.Start(a)
	x.Cancel()
	rep := x.Run()
	must.Eq(t, dispatch.ClassNotSent, rep.Class)
	must.Eq(t, 0, cl.open.Load())
}

// TestAbandonedExchangeIsNotWritten checks that an abandoned request is not written, and that an abandoned exchange is
// completed if its request was already written.
func TestAbandonedExchangeIsNotWritten(t *testing.T) {
	enter, leave := make(chan bool), make(chan bool)
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		enter <- true
		<-leave
		c.write(c.good("complete"))
		return true
	})
	cl := newTestClient(t, Config{})
	x := cl.Start(f.attempt("a"))
	back := make(chan dispatch.Result)
	go func() { back <- x.Run() }()
	<-enter
	x.Abandon()
	leave <- true
	rep := <-back
	must.Eq(t, dispatch.ClassResponse, rep.Class, must.Sprint(rep.Reason))
	must.Eq(t, "complete", string(rep.Body))

	x = cl.Start(f.attempt("b"))
	x.Abandon()
	must.Eq(t, "not wanted any more", x.Run().Reason)
	must.Eq(t, 0, f.times("b"))
	must.Eq(t, 1, cl.open.Load(), must.Sprint("the connection must be kept"))
}
