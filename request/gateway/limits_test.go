package gateway

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/control/routing"
)

func TestLimits(t *testing.T) {
	w := newFixture(t, nil)
	w.limits(&routingpb.Limits{MaxHeaderBytes: 400, MaxBodyBytes: 1000})
	post := func(head, body int, chunked bool) string {
		s := "POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nX: " + strings.Repeat("x", head) + "\r\n"
		if chunked {
			return s + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", body) + "0\r\n\r\n"
		}
		return s + "Content-Length: " + strconv.Itoa(body) + "\r\n\r\n" + strings.Repeat("b", body)
	}
	for _, c := range []struct {
		name   string
		send   string
		status int
	}{
		{"at the limits", post(300, 1000, false), 200},
		{"twice the limits", post(600, 2000, false), 200},
		{"twice the limits in chunks", post(600, 2000, true), 200},
		{"a larger head", post(900, 0, false), 431},
		{"an endless head", "GET /" + strings.Repeat("x", 6000), 431},
		{"a larger body", post(0, 2001, false), 413},
		{"a larger body in chunks", post(0, 2001, true), 413},
		{"a huge body", "POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nContent-Length: 999999999999\r\n\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := w.dial()
			client.send(c.send)
			resp, _ := client.readResponse("POST")
			must.Eq(t, c.status, resp.StatusCode)
			// No further request is read on a connection after a chunked one.
			must.Eq(t, c.status != 200 || strings.Contains(c.send, "chunked"), resp.Close)
		})
	}
	// A change of the limits also applies to requests on open connections.
	client := w.dial()
	client.send(post(0, 2000, false))
	resp, _ := client.readResponse("POST")
	must.Eq(t, 200, resp.StatusCode)
	w.limits(&routingpb.Limits{MaxBodyBytes: 10})
	client.send(post(0, 21, false))
	resp, _ = client.readResponse("POST")
	must.Eq(t, 413, resp.StatusCode)
}

// TestHeaderAndIdleTimeouts checks that an idle connection times out without a response, and that an incomplete header
// times out with status 400.
func TestHeaderAndIdleTimeouts(t *testing.T) {
	w := newFixture(t, nil)
	w.limits(&routingpb.Limits{HeaderTimeoutUs: 1, IdleTimeoutUs: 1})
	w.dial().ends()
	c := w.dial()
	c.send(get("a"))
	c.readResponse("GET")
	c.ends()
	c = w.dial()
	c.send("GET /x HTTP/1.1\r\nHos")
	resp, _ := c.readResponse("GET")
	must.Eq(t, 400, resp.StatusCode)
	c.ends()
	must.Len(t, 1, w.requests())
}

// TestSlowBodyTimesOut checks that a body that does not arrive in time is rejected with status 408.
func TestSlowBodyTimesOut(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5", "Transfer-Encoding: chunked"} {
		w := newFixture(t, nil)
		w.server.bodyTimeout = 0
		w.limits(&routingpb.Limits{HeaderTimeoutUs: 1})
		c := w.dial()
		c.send("POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n" + framing + "\r\n\r\n1\r\n")
		resp, _ := c.readResponse("POST")
		must.Eq(t, 408, resp.StatusCode)
		c.ends()
		must.SliceEmpty(t, w.requests())
	}
}

// TestBodyBytesAreBounded checks that a body that exceeds the bound together with the bodies of other requests is
// rejected before it has been read completely. After the other requests have ended, a body must be accepted again.
func TestBodyBytesAreBounded(t *testing.T) {
	w := newFixture(t, nil)
	w.server.maxBodyBytes = 100
	h := w.block("/a")
	post := func(framing string) string {
		return "POST /a HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n" + framing + "\r\n\r\n"
	}
	first := w.dial()
	first.send(post("Content-Length: 60") + strings.Repeat("b", 60))
	<-h.enter
	for _, s := range []string{post("Content-Length: 50"), post("Transfer-Encoding: chunked") + "30\r\n" + strings.Repeat("b", 48)} {
		c := w.dial()
		c.send(s)
		resp, _ := c.readResponse("POST")
		must.Eq(t, 503, resp.StatusCode)
		must.Eq(t, "0.200", resp.Header.Get("Retry-After"))
		must.True(t, resp.Close)
	}
	h.leave["/a"] <- true
	first.readResponse("POST")
	h.leave["/a"] <- true
	first.send(post("Content-Length: 100") + strings.Repeat("b", 100))
	resp, _ := first.readResponse("POST")
	must.Eq(t, 200, resp.StatusCode)
	must.Len(t, 2, w.requests())
}

func TestRejectsWithoutRoutingTable(t *testing.T) {
	w := newFixture(t, nil)
	c := w.dial()
	c.send(get("a"))
	c.readResponse("GET")
	w.snapshot.Store(nil)
	c.send(get("b"))
	resp, _ := c.readResponse("GET")
	must.Eq(t, 503, resp.StatusCode)
	must.Eq(t, "0.200", resp.Header.Get("Retry-After"))
	must.Len(t, 1, w.requests())
}

// TestLimitsOfAnySizeAreServed guards against an overflow: a limit near the greatest integer, doubled for leniency, became
// negative, so that connections were closed after 200 ms and every body was too large.
func TestLimitsOfAnySizeAreServed(t *testing.T) {
	for _, n := range []int64{math.MaxInt64, math.MaxInt64/2 + 1, math.MaxInt64 / 1000} {
		l := routing.Compile(&routingpb.RoutingTable{Limits: &routingpb.Limits{MaxHeaderBytes: n, MaxBodyBytes: n, HeaderTimeoutUs: n, IdleTimeoutUs: n}}).Limits
		must.Greater(t, time.Hour, idleTimeout(l))
		must.Greater(t, time.Hour, headTimeout(l))
		must.Eq(t, maxMaxHeaderBytes, maxHeaderBytes(l))
		must.Greater(t, 1<<20, maxBodyBytes(l))
	}
}
