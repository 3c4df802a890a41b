package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/dispatch"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	w := newFixture(t, nil)
	w.handleBackend = func(rw http.ResponseWriter, _ *http.Request) {
		h := rw.Header()
		h.Set("X-Own", "v")
		h.Set("Content-Type", "a/b")
		h.Set("Connection", "X-Hop")
		h.Set("X-Hop", "1")
		h.Set("Keep-Alive", "timeout=9")
		rw.WriteHeader(202)
		io.WriteString(rw, "its bytes")
	}
	c := w.dial()
	c.send("POST /a%2Fb/../c//d;e?q=%zz&x=%00+y HTTP/1.1\r\nHost: Some.Example:80\r\nX-Mixed: One\r\nx-mixed:two\r\nTry-Id: id-1\r\nLeft: 700\r\n" +
		"Meant-For: another\r\nConnection: keep-alive, x-named\r\nX-Named: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nProxy-Authorization: p\r\n" +
		"Accept-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody")
	resp, body := c.readResponse("POST")
	must.Eq(t, 202, resp.StatusCode)
	must.Eq(t, "its bytes", body)
	must.Eq(t, "v", resp.Header.Get("X-Own"))
	must.Eq(t, "a/b", resp.Header.Get("Content-Type"))
	must.Eq(t, "s.id-1", resp.Header.Get("Stamp"))
	must.MapNotContainsKeys(t, resp.Header, []string{"X-Hop", "Keep-Alive"})
	must.Eq(t, 1, len(resp.Header["Date"]))
	must.False(t, resp.Close)

	got := w.requests()[0]
	must.Eq(t, "POST", got.method)
	must.Eq(t, "/a%2Fb/../c//d;e?q=%zz&x=%00+y", got.uri)
	must.Eq(t, "Some.Example:80", got.host)
	must.Eq(t, "body", got.body)
	must.Eq(t, []string{"One", "two"}, got.head["X-Mixed"])
	must.Eq(t, []string{"id-1"}, got.head["Try-Id"])
	must.Eq(t, []string{"i-1"}, got.head["Meant-For"])
	must.Eq(t, "gzip", got.head.Get("Accept-Encoding"))
	must.MapNotContainsKeys(t, got.head, []string{"Connection", "X-Named", "Keep-Alive", "Te", "Proxy-Authorization"})
	must.Eq(t, 1, len(got.head["Left"]))
}

// TestFramings sends the same body with a Content-Length, chunked, and after a 100 Continue. The backend must
// always receive it with a Content-Length.
func TestFramings(t *testing.T) {
	w := newFixture(t, nil)
	c := w.dial()
	head := "POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n"
	for _, s := range []string{
		"Content-Length: 11\r\n\r\nhello world",
		"Transfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n6\r\n world\r\n0\r\nT: 1\r\n\r\n",
		"Transfer-Encoding: Chunked\r\n\r\n00b\r\nhello world\r\n0\r\n\r\n",
	} {
		c.send(head + s)
		resp, body := c.readResponse("POST")
		must.Eq(t, 200, resp.StatusCode)
		must.Eq(t, "hello", body)
		c = c.next(resp)
	}
	// Send a request byte by byte.
	for _, b := range []byte(head + "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n") {
		c.send(string(b))
	}
	resp, _ := c.readResponse("POST")
	c = c.next(resp)
	for _, framing := range []string{"Content-Length: 11\r\n", "Transfer-Encoding: chunked\r\n"} {
		c.send(head + framing + "Expect: 100-continue\r\n\r\n")
		resp, err := http.ReadResponse(c.r, nil)
		must.NoError(t, err)
		must.Eq(t, 100, resp.StatusCode)
		if strings.HasPrefix(framing, "T") {
			c.send("b\r\nhello world\r\n0\r\n\r\n")
		} else {
			c.send("hello world")
		}
		resp, _ = c.readResponse("POST")
		must.Eq(t, 200, resp.StatusCode)
		c = c.next(resp)
	}
	got := w.requests()
	must.Len(t, 6, got)
	for _, s := range got {
		must.Eq(t, "hello world", s.body)
		must.Eq(t, []string{"11"}, s.head["Content-Length"])
		must.MapNotContainsKeys(t, s.head, []string{"Expect", "Transfer-Encoding"})
	}
}

// TestNoBodyIsAdded checks that a request without a body is forwarded without one.
func TestNoBodyIsAdded(t *testing.T) {
	w := newFixture(t, nil)
	c := w.dial()
	for _, s := range []string{get("a"), get("a", "Content-Length: 0\r\n"), strings.Replace(get("a"), "GET", "DELETE", 1)} {
		c.send(s)
		c.readResponse("GET")
	}
	for _, s := range w.requests() {
		must.Eq(t, "", s.body)
		must.MapNotContainsKeys(t, s.head, []string{"Content-Length", "Transfer-Encoding"})
	}
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n")
	c.readResponse("POST")
	must.Eq(t, []string{"0"}, w.requests()[3].head["Content-Length"])
}

// TestResponses checks the response to each kind of outcome.
func TestResponses(t *testing.T) {
	w := newFixture(t, nil)
	var o atomic.Pointer[dispatch.Outcome]
	w.step = func(*script, dispatch.Event) []dispatch.Action { return []dispatch.Action{finish(*o.Load())} }
	c := w.dial()
	exchange := func(method string, out dispatch.Outcome) (*http.Response, string) {
		o.Store(&out)
		c.send(strings.Replace(get("a"), "GET", method, 1))
		return c.readResponse(method)
	}
	resp, body := exchange("GET", dispatch.Outcome{Status: 200, Code: dispatch.CodeOK, Seals: []string{"a.1", "b.2"}, Missing: 1, Body: []byte("0123456789abcdef")})
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, []string{"a.1, b.2"}, resp.Header["Stamps"])
	must.Eq(t, []string{"1"}, resp.Header["Parts-Missing"])
	must.Eq(t, "0123456789abcdef", body)
	must.MapNotContainsKeys(t, resp.Header, []string{"Content-Type"})

	resp, body = exchange("GET", dispatch.Outcome{Status: 200, Code: dispatch.CodeOK, Seals: []string{"a.1"}, Body: []byte{}})
	must.Eq(t, []string{"a.1"}, resp.Header["Stamps"])
	must.MapNotContainsKeys(t, resp.Header, []string{"Parts-Missing"})
	must.Eq(t, "", body)

	resp, body = exchange("GET", dispatch.Outcome{Status: 503, Code: dispatch.CodeRejected, Reason: "full \"up\"", RetryAfter: 123_456})
	must.Eq(t, 503, resp.StatusCode)
	must.Eq(t, "0.123", resp.Header.Get("Retry-After"))
	must.Eq(t, "application/json", resp.Header.Get("Content-Type"))
	must.Eq(t, "{\"code\":\"refused\",\"why\":\"full \\\"up\\\"\"}\n", body)

	resp, _ = exchange("GET", dispatch.Outcome{Status: 404, Code: "no_route"})
	must.Eq(t, 404, resp.StatusCode)
	must.MapNotContainsKeys(t, resp.Header, []string{"Retry-After"})

	response := &dispatch.Result{Status: 500, Header: http.Header{"Date": {"then"}, "Stamp": {"s"}}, Body: []byte("no")}
	resp, body = exchange("GET", dispatch.Outcome{Status: 500, Code: "passed", Response: response})
	must.Eq(t, 500, resp.StatusCode)
	must.Eq(t, []string{"then"}, resp.Header["Date"])
	must.Eq(t, "no", body)

	resp, body = exchange("HEAD", dispatch.Outcome{Status: 200, Response: &dispatch.Result{Status: 200, Header: http.Header{"Content-Length": {"77"}}}})
	must.Eq(t, 77, resp.ContentLength)
	must.Eq(t, "", body)
	resp, _ = exchange("HEAD", dispatch.Outcome{Status: 404, Code: "no_route"})
	must.Eq(t, 404, resp.StatusCode)

	resp, body = exchange("GET", dispatch.Outcome{Status: 204, Response: &dispatch.Result{Status: 204, Header: http.Header{"Stamp": {"s"}}}})
	must.Eq(t, 204, resp.StatusCode)
	must.Eq(t, "", body)
	resp, _ = exchange("GET", dispatch.Outcome{Status: 299, Response: &dispatch.Result{Status: 299, Body: []byte("x")}})
	must.Eq(t, 299, resp.StatusCode)
}

// TestLargeResponse has a response that does not fit into a single read or write.
func TestLargeResponse(t *testing.T) {
	w := newFixture(t, nil)
	big := strings.Repeat("0123456789abcdef", 1<<17)
	w.handleBackend = func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, big) }
	c := w.dial()
	for range 2 {
		c.send(get("a"))
		_, body := c.readResponse("GET")
		must.True(t, body == big)
	}
}

// TestConnectionReuse covers pipelined requests, requests that close the connection, and HTTP/1.0.
func TestConnectionReuse(t *testing.T) {
	w := newFixture(t, nil)
	c := w.dial()
	c.send(get("a") + get("b") + get("c", "Connection: close\r\n") + get("never"))
	for _, id := range []string{"a", "b", "c"} {
		resp, _ := c.readResponse("GET")
		must.Eq(t, "s."+id, resp.Header.Get("Stamp"))
		must.Eq(t, id == "c", resp.Close)
	}
	c.ends()
	c = w.dial()
	c.send("GET /old HTTP/1.0\r\nHost: h\r\nTry-Id: d\r\nConnection: keep-alive\r\n\r\n")
	resp, _ := c.readResponse("GET")
	must.Eq(t, "s.d", resp.Header.Get("Stamp"))
	must.True(t, resp.Close)
	c.ends()
	must.Len(t, 4, w.requests())
}
