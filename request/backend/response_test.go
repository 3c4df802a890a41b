package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// fragmentReader returns its bytes in fragments of the given size, as a connection may, and then
// io.ErrUnexpectedEOF.
type fragmentReader struct {
	b    []byte
	size int
	end  bool
}

func (p *fragmentReader) Read(b []byte) (int, error) {
	if len(p.b) == 0 {
		p.end = true
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(b, p.b[:min(p.size, len(p.b))])
	p.b = p.b[n:]
	return n, nil
}

// readFragments reads one response from bytes that arrive in fragments. rest is the number of bytes left in the
// buffer. end is set if the response reader tried to read beyond the end.
func readFragments(b []byte, size int) (resp *http.Response, body []byte, rest int, end bool, err error) {
	p := &fragmentReader{b: b, size: size}
	r := bufio.NewReaderSize(p, MaxHeadBytes)
	resp, body, err = readResponse(r, "GET")
	return resp, body, r.Buffered(), p.end, err
}

var responses = []string{
	"HTTP/1.1 200 OK\r\nTry-Id: a\r\nStamp: s\r\nContent-Length: 11\r\n\r\nhello world",
	"HTTP/1.1 200 OK\r\nTry-Id: a\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nX: y\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nTry-Id: a\r\nStamp: s\r\nContent-Length: 11\r\n\r\nhello world",
	"HTTP/1.1 200 OK\r\nX-Long: 0123456789012345678901234567890123456789012345678901234567890123456789\r\nStamp: s\r\nContent-Length: 11\r\n\r\nhello world",
}

func TestResponsesInFragments(t *testing.T) {
	for _, b := range responses {
		for size := 1; size <= len(b); size++ {
			resp, body, rest, end, err := readFragments([]byte(b), size)
			must.NoError(t, err, must.Sprint(size))
			must.Eq(t, "hello world", string(body))
			must.Eq(t, "s", resp.Header.Get("Stamp"))
			must.Eq(t, 0, rest)
			must.False(t, end)
		}
		for cut := range len(b) {
			_, _, _, end, err := readFragments([]byte(b[:cut]), 7)
			must.Error(t, err, must.Sprint("response cut at byte ", cut))
			must.True(t, end, must.Sprint("the error must be caused by the end of the connection"))
		}
	}
}

// FuzzResponse checks that every response that readResponse accepts as complete is accepted by net/http too, with
// the same status, header and body.
func FuzzResponse(f *testing.F) {
	for _, s := range responses {
		f.Add([]byte(s), 3)
	}
	f.Add([]byte("HTTP/1.1 204 x\r\nStamp: s\r\n\r\n"), 9)
	f.Add([]byte("HTTP/1.0 200 OK\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nrest"), 1)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		got, had, _, _, err := readFragments(b, max(1, size))
		if err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b))
		var resp *http.Response
		for {
			var err error
			resp, err = http.ReadResponse(r, nil)
			must.NoError(t, err)
			if resp.StatusCode >= 200 {
				break
			}
		}
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, resp.StatusCode, got.StatusCode)
		must.True(t, bytes.Equal(body, had))
		must.Eq(t, resp.Header, got.Header)
	})
}
