package backend

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
	"wallport/runtime/kernel"
)

func TestClasses(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTry-Id: a\r\nStamp: s\r\n"
	for _, c := range []struct {
		name, response string
		class          dispatch.Class
		keep           bool
		why            string
	}{
		{"complete", head + "Content-Length: 2\r\n\r\nhi", dispatch.ClassResponse, true, ""},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x=y\r\ni\r\n0\r\nTail: 1\r\n\r\n", dispatch.ClassResponse, true, ""},
		{"a failure with a seal", "HTTP/1.1 500 No\r\nTry-Id: a\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassResponse, true, ""},
		{"503 without Did-Not-Run", "HTTP/1.1 503 No\r\nTry-Id: a\r\nContent-Length: 0\r\n\r\n", dispatch.ClassResponse, true, ""},
		{"interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", dispatch.ClassResponse, true, ""},
		{"no content", "HTTP/1.1 204 None\r\nTry-Id: a\r\nStamp: s\r\n\r\n", dispatch.ClassResponse, true, ""},
		{"connection closes", head + "Connection: close\r\nContent-Length: 0\r\n\r\n", dispatch.ClassResponse, false, ""},
		{"HTTP 1.0", "HTTP/1.0 200 OK\r\nTry-Id: a\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassResponse, false, ""},
		{"surplus", head + "Content-Length: 2\r\n\r\nhi" + head + "Content-Length: 0\r\n\r\n", dispatch.ClassResponse, false, ""},
		{"surplus bytes", head + "Content-Length: 2\r\n\r\nhi!", dispatch.ClassResponse, false, ""},
		{"no keep-alive time", head + "Keep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", dispatch.ClassResponse, false, ""},
		{"full", "HTTP/1.1 503 Full\r\nTry-Id: a\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", dispatch.ClassRejected, true, "turned away"},
		{"full, no id", "HTTP/1.1 503 Full\r\nDid-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", dispatch.ClassRejected, false, "turned away"},
		{"another backend", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", dispatch.ClassRejected, false, "another backend"},
		{"cut body", head + "Content-Length: 3\r\n\r\nhi", dispatch.ClassFailed, false, "unexpected EOF"},
		{"cut head", head, dispatch.ClassFailed, false, "unexpected EOF"},
		{"cut chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", dispatch.ClassFailed, false, "unexpected EOF"},
		{"no response", "", dispatch.ClassFailed, false, "unexpected EOF"},
		{"the id of another request", "HTTP/1.1 200 OK\r\nTry-Id: z\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "another request's answer"},
		{"two ids", "HTTP/1.1 200 OK\r\nTry-Id: a\r\nTry-Id: z\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "another request's answer"},
		{"no id", "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "an answer without the request's id"},
		{"a failure without id", "HTTP/1.1 500 No\r\nStamp: s\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "an answer without the request's id"},
		{"no seal", "HTTP/1.1 200 OK\r\nTry-Id: a\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "a success without a seal"},
		{"two seals", head + "Stamp: u\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "two seals"},
		{"encoded", head + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", dispatch.ClassInvalid, false, "an encoded answer"},
		{"no length", head + "\r\nhi", dispatch.ClassInvalid, false, "an answer without a length"},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", dispatch.ClassInvalid, false, `http: message cannot contain multiple Content-Length headers; got ["2" "3"]`},
		{"length and chunks", head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", dispatch.ClassInvalid, false, "a length and chunks"},
		{"length that is no number", head + "Content-Length: two\r\n\r\nhi", dispatch.ClassInvalid, false, `bad Content-Length "two"`},
		{"signed length", head + "Content-Length: +2\r\n\r\nhi", dispatch.ClassInvalid, false, `bad Content-Length "+2"`},
		{"too large", head + "Content-Length: 99999999999\r\n\r\nhi", dispatch.ClassInvalid, false, "answer too large"},
		{"unknown transfer encoding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", dispatch.ClassInvalid, false, `unsupported transfer encoding: "gzip, chunked"`},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", dispatch.ClassInvalid, false, "invalid byte in chunk length"},
		{"chunk too long", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n", dispatch.ClassInvalid, false, "malformed chunked encoding"},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", dispatch.ClassInvalid, false, "not an answer"},
		{"noise", strings.Repeat("\x00\xff\r\n", 9) + "\r\n\r\n", dispatch.ClassInvalid, false, "not an answer"},
		{"bare line feed", "HTTP/1.1 200 OK\nTry-Id: a\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassInvalid, false, "a line without CR LF"},
		{"bare line feed in a field", "HTTP/1.1 200 OK\r\nX: y\nStamp: s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassInvalid, false, "a line without CR LF"},
		{"folded", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassInvalid, false, "a malformed field"},
		{"space before the colon", "HTTP/1.1 200 OK\r\nStamp : s\r\nContent-Length: 0\r\n\r\n", dispatch.ClassInvalid, false, "a malformed field"},
		{"switch of protocols", "HTTP/1.1 101 Switch\r\n\r\n", dispatch.ClassInvalid, false, "interim answers"},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 2*MaxHeadBytes), dispatch.ClassInvalid, false, "head too large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cut := c.class == dispatch.ClassFailed
			f := newFakeBackend(t, func(k *receivedRequest) bool {
				if k.n == 1 {
					k.write(c.response)
					return !cut
				}
				k.write(k.good("second"))
				return true
			})
			cl := newTestClient(t, Config{})
			rep := cl.Start(f.attemptOnce("a")).Run()
			must.Eq(t, c.class, rep.Class, must.Sprint(rep.Reason))
			must.Eq(t, c.why, rep.Reason)
			must.False(t, rep.ReusedConn)
			must.Eq(t, 1, f.times("a"), must.Sprint("the request must be written once"))
			rep = cl.Start(f.attemptOnce("b")).Run()
			must.Eq(t, dispatch.ClassResponse, rep.Class, must.Sprint(rep.Reason))
			must.Eq(t, "second", string(rep.Body))
			must.Eq(t, c.keep, rep.ReusedConn)
			must.Eq(t, 1, f.times("b"))
			must.Eq(t, !c.keep, f.connections() == 2)
		})
	}
}

func TestReplyFieldsFromResponse(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write("HTTP/1.1 201 Made\r\ntry-id: a\r\nSTAMP:  s.1 \r\nBusy: 1, 2,3\r\nX-Own: v\r\nConnection: x-HOP, keep-alive\r\nX-Hop: 1\r\n" +
			"Keep-Alive: max=5, timeout=4\r\nUpgrade: h2c\r\nContent-Length: 5\r\nX-Own: w\r\n\r\nhello")
		return true
	})
	cl := newTestClient(t, Config{})
	rep := cl.Start(f.attempt("a")).Run()
	must.Eq(t, dispatch.ClassResponse, rep.Class, must.Sprint(rep.Reason))
	must.Eq(t, 201, rep.Status)
	must.Eq(t, "s.1", rep.Seal)
	must.Eq(t, "hello", string(rep.Body))
	must.Eq(t, dispatch.LoadReport{Running: 1, Queued: 2, Slots: 3, Known: true}, rep.Load)
	must.Eq(t, http.Header{"Try-Id": {"a"}, "Stamp": {"s.1"}, "Busy": {"1, 2,3"}, "X-Own": {"v", "w"}}, rep.Header)
	must.False(t, rep.Draining)
	must.Eq(t, "2.8s", idleConn(t, cl).idleFor.String(), must.Sprint("want four seconds less a margin of 30%"))
}

func TestRequestBytes(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	cl := newTestClient(t, Config{})
	a := f.attempt("a")
	a.Request.Header = []byte("X-Y: z\r\nTry-Id: a\r\n")
	x := cl.Start(a)
	must.Eq(t, "GET /a/b?c=%2f HTTP/1.1\r\nHost: h.example\r\nX-Y: z\r\nTry-Id: a\r\nLeft: 250\r\nMeant-For: i-1\r\n\r\n", string(x.appendRequest(nil, 250_900_000)))
	a = f.attemptOnce("a")
	must.Eq(t, "POST /a/b?c=%2f HTTP/1.1\r\nHost: h.example\r\nTry-Id: a\r\nLeft: 1\r\nMeant-For: i-1\r\nContent-Length: 3\r\n\r\nb-a", string(cl.Start(a).appendRequest(nil, 1_000_000)))
	a.Request.Body = nil
	must.StrContains(t, string(cl.Start(a).appendRequest(nil, 1_000_000)), "Content-Length: 0\r\n\r\n")
}

// TestLargeBodies writes a body that the kernel does not accept in a single write, and reads a response of the
// same size.
func TestLargeBodies(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good(string(c.body))); return true })
	cl := newTestClient(t, Config{})
	for _, id := range []string{"a", "b"} {
		a := f.attemptOnce(id)
		a.Request.Body = body
		rep := cl.Start(a).Run()
		must.Eq(t, dispatch.ClassResponse, rep.Class, must.Sprint(rep.Reason))
		must.True(t, bytes.Equal(body, rep.Body))
		must.Eq(t, id == "b", rep.ReusedConn)
	}
}

func TestHeadHasNoBody(t *testing.T) {
	f := newFakeBackend(t, func(c *receivedRequest) bool {
		c.write("HTTP/1.1 200 OK\r\nStamp: s\r\nTry-Id: " + c.req.Header.Get("Try-Id") + "\r\nContent-Length: 500\r\n\r\n")
		return true
	})
	cl := newTestClient(t, Config{})
	for _, id := range []string{"a", "b"} {
		a := f.attempt(id)
		a.Request.Method = "HEAD"
		rep := cl.Start(a).Run()
		must.Eq(t, dispatch.ClassResponse, rep.Class)
		must.Eq(t, id == "b", rep.ReusedConn)
		must.Eq(t, []string{"500"}, rep.Header["Content-Length"])
	}
}

func TestCounts(t *testing.T) {
	counts := kernel.NewCounts()
	f := newFakeBackend(t, func(c *receivedRequest) bool { c.write(c.good("")); return true })
	cl := newTestClient(t, Config{Counts: counts})
	for _, id := range []string{"a", "b", "c"} {
		must.Eq(t, dispatch.ClassResponse, cl.Start(f.attempt(id)).Run().Class)
	}
	must.Eq(t, 1, counts.Of("backend_dials").Load())
	must.Eq(t, 2, counts.Of("backend_reused").Load())
	cl.trim(func(*conn) bool { return false })
	must.Eq(t, 1, counts.Of("backend_connections").Load())
	cl.trim(func(*conn) bool { return true })
	must.Eq(t, 0, counts.Of("backend_connections").Load())
	must.MapEmpty(t, cl.pools)
}
