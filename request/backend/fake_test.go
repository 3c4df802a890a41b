package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"wallport/api/routingpb"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// receivedRequest is a request that a fakeBackend received. n is its number among all requests, and conn the
// number of its connection, both counted from 1.
type receivedRequest struct {
	n, conn int
	c       *net.TCPConn
	req     *http.Request
	body    []byte
}

func (c *receivedRequest) write(s string) { io.WriteString(c.c, s) }

// arrived waits until more bytes have arrived on the request's connection, without reading them.
func (c *receivedRequest) arrived() {
	raw, err := c.c.SyscallConn()
	if err != nil {
		return
	}
	raw.Read(somethingToRead)
}

func somethingToRead(fd uintptr) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != unix.EAGAIN
}

// good returns a complete response to the request with status 200.
func (c *receivedRequest) good(body string) string {
	return responseTo(c.req.Header.Get("Try-Id"), body)
}

func responseTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTry-Id: %s\r\nStamp: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// fakeBackend is a backend that parses requests with net/http and responds with the raw bytes that a test writes.
type fakeBackend struct {
	l     *net.TCPListener
	serve func(c *receivedRequest) (keep bool)
	// accepted, if set, is called with each new connection before any byte is read from it.
	accepted func(c *net.TCPConn)
	// resetAfter, if positive, is the number of body bytes after which the connection is reset.
	resetAfter atomic.Int64
	mu         sync.Mutex
	calls      []*receivedRequest
	conns      int
}

func newFakeBackend(t *testing.T, serve func(c *receivedRequest) bool) *fakeBackend {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	f := &fakeBackend{l: l, serve: serve}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			n, accepted := f.conns, f.accepted
			f.mu.Unlock()
			if accepted != nil {
				accepted(c)
			}
			go f.run(c, n)
		}
	}()
	return f
}

func (f *fakeBackend) run(c *net.TCPConn, conn int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if most := f.resetAfter.Load(); most > 0 {
			io.CopyN(io.Discard, req.Body, most)
			f.record(&receivedRequest{conn: conn, c: c, req: req})
			c.SetLinger(0)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		k := &receivedRequest{conn: conn, c: c, req: req, body: body}
		f.record(k)
		if !f.serve(k) {
			return
		}
	}
}

func (f *fakeBackend) record(c *receivedRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.n = len(f.calls) + 1
	f.calls = append(f.calls, c)
}

// times returns how often the request with the id was received.
func (f *fakeBackend) times(id string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if c.req.Header.Get("Try-Id") == id {
			n++
		}
	}
	return n
}

func (f *fakeBackend) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns
}

var testNames = Names{ID: "Try-Id", Budget: "Left", Target: "Meant-For", Seal: "Stamp", Load: "Busy", NotExecuted: "Did-Not-Run"}

func newTestClient(t testing.TB, c Config) *Client {
	c.Names = testNames
	if c.Counts == nil {
		c.Counts = kernel.NewCounts()
	}
	cl := New(c)
	t.Cleanup(cl.Close)
	return cl
}

func (f *fakeBackend) backend() *snapshot.Backend {
	return &snapshot.Backend{Backend: wire.Backend{ID: "i-1", Addr: f.l.Addr().String()}}
}

func (f *fakeBackend) attempt(id string) dispatch.Send {
	return dispatch.Send{
		Backend: f.backend(), Pool: &snapshot.Pool{Pool: &routingpb.Pool{MaxConnections: 10}}, Timeout: 20 * clock.Second,
		Request: &dispatch.Request{ID: id, Method: "GET", Target: "/a/b?c=%2f", Host: "h.example", Header: []byte("Try-Id: " + id + "\r\n")},
	}
}

func (f *fakeBackend) attemptOnce(id string) dispatch.Send {
	a := f.attempt(id)
	a.AtMostOnce, a.Request.Method, a.Request.Body = true, "POST", []byte("b-"+id)
	return a
}

// idleConn returns the only idle connection of a client.
func idleConn(t *testing.T, cl *Client) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var found *conn
	for _, pool := range cl.pools {
		pool.mu.Lock()
		for _, c := range pool.idle {
			must.Nil(t, found)
			found = c
		}
		pool.mu.Unlock()
	}
	must.NotNil(t, found)
	return found
}

// readable waits until a connection has bytes to read, or has ended.
func readable(t *testing.T, c *conn) {
	must.NoError(t, c.sys.Read(somethingToRead))
}
