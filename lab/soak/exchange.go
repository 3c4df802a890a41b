// Sends attempts over connections and receives the responses.

package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wallport/lab/rules"
	"wallport/platform"
)

// requestText returns the HTTP request of an attempt; left is the client's remaining time.
func requestText(attempt *rules.Attempt, left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", attempt.Method, attempt.Target, attempt.Host, platform.HeaderAttempt, attempt.ID, platform.HeaderBudget, left.Milliseconds())
	if len(attempt.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(attempt.Body))
	}
	b.WriteString("\r\n")
	b.Write(attempt.Body)
	return b.Bytes()
}

// send writes a request; slowly means 40 bytes every 10 ms.
func send(conn net.Conn, text []byte, slowly bool) error {
	for slowly && len(text) > 40 {
		if _, err := conn.Write(text[:40]); err != nil {
			return err
		}
		text = text[40:]
		time.Sleep(10 * time.Millisecond)
	}
	_, err := conn.Write(text)
	return err
}

// receive reads one response and its body, at most maxResponseBytes of it.
func receive(r *bufio.Reader, method string) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp, body, err
}

// splitSeals splits the values of platform.HeaderPartSeals into the seals of a gathered response's parts.
func splitSeals(values []string) (out []string) {
	for _, v := range values {
		for _, seal := range strings.Split(v, ",") {
			out = append(out, strings.TrimSpace(seal))
		}
	}
	return out
}
