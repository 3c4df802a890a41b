package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
)

// malformedError is the error for a response that violates this package's checks or RFC 9112.
type malformedError string

func (m malformedError) Error() string { return string(m) }

// maxInterim is the maximum number of interim responses before the final one.
const maxInterim = 4

var (
	// readers pools buffered readers whose buffer can hold a complete header.
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, MaxHeadBytes) }}
	// headRequest makes net/http parse a response to a HEAD request, which has no body.
	headRequest = &http.Request{Method: http.MethodHead}
)

// readResponse reads one complete response. An error other than a read error of the connection means that
// the response is malformed.
func readResponse(r *bufio.Reader, method string) (*http.Response, []byte, error) {
	var req *http.Request
	if method == http.MethodHead {
		req = headRequest
	}
	for range maxInterim + 1 {
		raw, err := readHead(r)
		if err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(r, req)
		switch {
		case err != nil:
			return nil, nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, malformedError("interim answers")
		case resp.StatusCode >= 200:
			body, err := readBody(resp, raw, method)
			return resp, body, err
		}
	}
	return nil, nil, malformedError("interim answers")
}

// readHead reads until the buffer holds a complete header, and returns the header without consuming it. The
// bytes are valid until the next read.
func readHead(r *bufio.Reader) ([]byte, error) {
	for scan := 0; ; {
		b, _ := r.Peek(r.Buffered())
		start := string(b[:min(len(b), 9)])
		if !strings.HasPrefix("HTTP/1.1 ", start) && !strings.HasPrefix("HTTP/1.0 ", start) {
			return nil, malformedError("not an answer")
		}
		if i := bytes.Index(b[scan:], []byte("\r\n\r\n")); i >= 0 {
			b = b[:scan+i+2]
			return b, validateHead(b)
		}
		scan = max(0, len(b)-3)
		if _, err := r.Peek(len(b) + 1); errors.Is(err, bufio.ErrBufferFull) {
			return nil, malformedError("head too large")
		} else if err != nil {
			return nil, err
		}
	}
}

// validateHead rejects headers that net/http tolerates but other implementations parse differently.
func validateHead(b []byte) error {
	for line := range bytes.Lines(b) {
		switch {
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return malformedError("a line without CR LF")
		case line[0] == ' ' || line[0] == '\t':
			return malformedError("a malformed field")
		}
	}
	return nil
}

// readBody reads the body of a response. raw is the header of the response.
func readBody(resp *http.Response, raw []byte, method string) ([]byte, error) {
	chunked := len(resp.TransferEncoding) > 0
	if chunked || resp.ProtoMinor == 0 {
		// If a response has both a Content-Length and a chunked encoding, net/http ignores one of them. In
		// HTTP/1.0 it ignores the chunked encoding. Such responses are ambiguous, so they are rejected.
		b := bytes.ToLower(raw)
		if bytes.Contains(b, []byte("\ntransfer-encoding:")) && (!chunked || bytes.Contains(b, []byte("\ncontent-length:"))) {
			return nil, malformedError("a length and chunks")
		}
	}
	for name := range resp.Header {
		if strings.IndexByte(name, ' ') >= 0 {
			return nil, malformedError("a malformed field")
		}
	}
	n := resp.ContentLength
	switch {
	case n > MaxBodyBytes:
		return nil, malformedError("answer too large")
	case method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return nil, nil
	case chunked:
		b, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
		if len(b) > MaxBodyBytes {
			return nil, malformedError("answer too large")
		}
		return b, err
	case n < 0:
		return nil, malformedError("an answer without a length")
	}
	b := make([]byte, n)
	_, err := io.ReadFull(resp.Body, b)
	return b, err
}
