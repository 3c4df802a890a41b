package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\nTry-Id: hidden\r\n\r\n"
	start := "POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n"
	for name, c := range map[string]struct {
		send   string
		status int
	}{
		"two lengths":                      {start + "Content-Length: 0\r\nContent-Length: 50\r\n\r\n", 400},
		"a list of lengths":                {start + "Content-Length: 0, 50\r\n\r\n", 400},
		"a signed length":                  {start + "Content-Length: +0\r\n\r\n", 400},
		"a hex length":                     {start + "Content-Length: 0x0\r\n\r\n", 400},
		"an empty length":                  {start + "Content-Length:\r\n\r\n", 400},
		"two encodings":                    {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", 501},
		"chunks twice":                     {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		"a list of encodings":              {start + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n", 501},
		"an unknown encoding":              {start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
		"an encoding with a tab":           {start + "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n", 400},
		"space before the colon":           {start + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n", 400},
		"a bare carriage return":           {start + "X: y\rContent-Length: 50\r\n\r\n", 400},
		"a null byte":                      {start + "X: y\x00\r\n\r\n", 400},
		"a field without a name":           {start + ": y\r\n\r\n", 400},
		"a field without a colon":          {start + "Xy\r\n\r\n", 400},
		"a chunk of no size":               {start + "Transfer-Encoding: chunked\r\n\r\n;x\r\n\r\n", 400},
		"a chunk of signed size":           {start + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n", 400},
		"a chunk of 0x size":               {start + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n", 400},
		"a chunk of huge size":             {start + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff0\r\n\r\n", 400},
		"a chunk longer than its size":     {start + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400},
		"a chunk with a bare line feed":    {start + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400},
		"a malformed trailer":              {start + "Transfer-Encoding: chunked\r\n\r\n0\r\nGET / HTTP/1.1\r\n\r\n", 400},
		"no host":                          {"GET /x HTTP/1.1\r\nTry-Id: a\r\n\r\n", 400},
		"two hosts":                        {"GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\nTry-Id: a\r\n\r\n", 400},
		"a malformed host":                 {"GET /x HTTP/1.1\r\nHost: h/x\r\nTry-Id: a\r\n\r\n", 400},
		"two targets":                      {"GET /x /y HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"a target with a control":          {"GET /x\x01 HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"a target without a path":          {"GET x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"an asterisk target":               {"OPTIONS * HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"a tunnel":                         {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"a tab in the request line":        {"GET\t/x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"a malformed method":               {"G(T /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"no protocol":                      {"GET /x\r\n\r\n", 400},
		"an unsupported protocol version":  {"GET /x HTTP/2.0\r\nHost: h\r\nTry-Id: a\r\n\r\n", 505},
		"a malformed protocol version":     {"GET /x HTTP/1.1x\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
		"noise":                            {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
		"no id":                            {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"two ids":                          {"GET /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nTry-Id: b\r\n\r\n", 400},
		"an empty id":                      {"GET /x HTTP/1.1\r\nHost: h\r\nTry-Id: \r\n\r\n", 400},
		"an unknown expectation":           {start + "Expect: 200-maybe\r\nContent-Length: 0\r\n\r\n", 417},
		"two empty lines before a request": {"\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil)
			client := w.dial()
			client.send(c.send + hidden)
			resp, _ := client.readResponse("POST")
			must.Eq(t, c.status, resp.StatusCode)
			must.True(t, resp.Close)
			client.ends()
			must.SliceEmpty(t, w.requests())
		})
	}
}

// TestUnusualRequestsAreAccepted sends malformed requests that net/http tolerates. They must be forwarded in the
// form in which they were parsed, and no part of them may be parsed as another request.
func TestUnusualRequestsAreAccepted(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\nTry-Id: hidden\r\n\r\n"
	start := "POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n"
	for name, c := range map[string]struct {
		send, body string
		last       bool
	}{
		"length and chunks":  {start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "", true},
		"chunks and length":  {start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n2\r\nhi\r\n0\r\n\r\n" + hidden, "hi", true},
		"chunks in HTTP/1.0": {"POST /x HTTP/1.0\r\nHost: h\r\nTry-Id: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "", true},
		"a bare line feed":   {start + "X: y\nContent-Length: 49\r\n\r\n" + hidden, hidden, false},
		"a folded field":     {start + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n", "", false},
		"two equal lengths":  {start + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "hi", false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil)
			client := w.dial()
			client.send(c.send)
			resp, _ := client.readResponse("POST")
			must.Eq(t, 200, resp.StatusCode)
			must.Eq(t, c.last, resp.Close)
			if c.last {
				client.ends()
			} else {
				client.send(get("b"))
				client.readResponse("GET")
			}
			got := w.requests()
			must.Eq(t, c.body, got[0].body)
			must.MapNotContainsKeys(t, got[0].head, []string{"Transfer-Encoding"})
			must.Eq(t, !c.last, len(got) == 2)
		})
	}
}

// TestRequestHiddenInBodyIsNotServed checks that a body that looks like a request is forwarded as a body.
func TestRequestHiddenInBodyIsNotServed(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\nTry-Id: hidden\r\n\r\n"
	w := newFixture(t, nil)
	c := w.dial()
	c.send("GET /x HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nContent-Length: 49\r\n\r\n" + hidden)
	c.readResponse("GET")
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nTry-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n31\r\n" + hidden + "\r\n0\r\n\r\n")
	c.readResponse("POST")
	got := w.requests()
	must.Len(t, 2, got)
	must.Len(t, 49, []byte(hidden))
	must.Eq(t, hidden, got[0].body)
	must.Eq(t, hidden, got[1].body)
}
