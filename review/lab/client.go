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

// client sends requests to nodes, each with an id of its own. It repeats nothing by itself.
type client struct {
	f    *fleet
	next atomic.Int64
}

// conn is a client's kept connection to a machine's node.
type conn struct {
	client  *client
	machine int
	raw     net.Conn
	reader  *bufio.Reader
	// served counts the requests that were answered on it.
	served int
}

// answer is what a client got; the status is 0 where it got none.
type answer struct {
	id     string
	status int
	seal   string
	// parts are the stamps of a gathered answer.
	parts string
	body  string
	// kept reports whether the request went on a connection that had served before.
	reused bool
}

// dial opens a connection to a machine's node, which gets one second to come up.
func (c *client) dial(machine int) (*conn, error) {
	raw, err := net.DialTimeout("tcp", c.f.address(machine, offsetHTTP), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{client: c, machine: machine, raw: raw, reader: bufio.NewReader(raw)}, nil
}

// send sends one request and waits for the answer within a time. After an error the connection is closed.
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

// closed reports whether the node said that it closes the connection.
func (k *conn) closed() bool { return k.served < 0 }

// once sends one request on a connection of its own.
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
