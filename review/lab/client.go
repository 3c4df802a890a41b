package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends requests to nodes, each with a unique id. It does not retry.
type client struct {
	f    *fleet
	next atomic.Int64
}

// conn is a client's keep-alive connection to the node of a machine.
type conn struct {
	client  *client
	machine int
	raw     net.Conn
	reader  *bufio.Reader
	// served counts the responses on this connection. If a response announces that the node closes the connection, send
	// sets served to -1 and then counts that response, so that served is 0 when send returns.
	served int
}

// answer is the response to a client's request; the status is 0 if no response was received.
type answer struct {
	id     string
	status int
	seal   string
	// parts are the seals of the parts of a gathered response (Part-Seals).
	parts string
	body  string
	// reused reports whether the connection had served an earlier request.
	reused bool
}

// dial opens a connection to a machine's node, with a timeout of one second.
func (c *client) dial(machine int) (*conn, error) {
	raw, err := net.DialTimeout("tcp", c.f.address(machine, offsetHTTP), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{client: c, machine: machine, raw: raw, reader: bufio.NewReader(raw)}, nil
}

// send sends one request and waits up to timeout for the response. It closes the connection after an error.
func (k *conn) send(method, host, path, body string, timeout time.Duration) (a answer, err error) {
	a = answer{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+k.client.next.Add(1)), reused: k.served > 0}
	rec, started := k.client.f.rec, time.Now()
	defer func() {
		if err != nil {
			k.raw.Close()
			rec.event("client: %s to machine %d, kept %t: no answer after %d ms: %v", a.id, k.machine, a.reused, time.Since(started).Milliseconds(), err)
			return
		}
		k.served++
		rec.event("client: %s to machine %d, kept %t: %d after %d ms", a.id, k.machine, a.reused, a.status, time.Since(started).Milliseconds())
	}()
	k.raw.SetDeadline(started.Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\n", method, path, host, a.id, timeout.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(k.raw, b.String()+"\r\n"+body); err != nil {
		return a, err
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a.status, a.seal, a.body = resp.StatusCode, resp.Header.Get("Answer-Seal"), string(text)
	a.parts = strings.Join(resp.Header.Values("Part-Seals"), ",")
	if resp.Close {
		k.raw.Close()
		k.served = -1
	}
	return a, nil
}

// closed reports whether served is negative. It returns false even after the node has announced that it closes the
// connection, because served is 0 then.
func (k *conn) closed() bool { return k.served < 0 }

// once sends one request on a new connection.
func (c *client) once(machine int, method, host, path, body string, timeout time.Duration) answer {
	k, err := c.dial(machine)
	if err != nil {
		c.f.rec.event("client: no connection to machine %d: %v", machine, err)
		return answer{}
	}
	defer k.raw.Close()
	a, _ := k.send(method, host, path, body, timeout)
	return a
}
