// The responses of stand-in backends, with the configured defects.

package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"wallport/lab/rules"
	"wallport/platform"
)

// respondEarly responds before the request's body is read, and then reads the body.
func (b *backend) respondEarly(w http.ResponseWriter, r *http.Request, a *rules.Arrival, body []byte, seal string) {
	c := http.NewResponseController(w)
	c.EnableFullDuplex()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	b.respond(w, http.StatusOK, body, seal, behaviour{})
	c.Flush()
	if sent, err := io.ReadAll(r.Body); err == nil {
		b.journal.withLock(func() { a.Body = sent })
	}
}

// respond writes a response with the defects that the behaviour has.
func (b *backend) respond(w http.ResponseWriter, status int, body []byte, seal string, m behaviour) {
	if !m.unsealed {
		w.Header().Set(platform.HeaderSeal, seal)
	}
	if !m.reset && !m.garbled && !m.truncated && !m.surplus {
		w.WriteHeader(status)
		w.Write(body)
		return
	}
	head := w.Header().Clone()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch {
	case m.reset:
		conn.(*net.TCPConn).SetLinger(0)
	case m.garbled:
		fmt.Fprintf(buffered, "HTP/9 what\r\n\x00\x01\r\n")
	default:
		fmt.Fprintf(buffered, "HTTP/1.1 %d OK\r\nContent-Length: %d\r\n", status, len(body))
		head.Write(buffered)
		buffered.WriteString("\r\n")
		if m.truncated {
			body = body[:len(body)/2]
		}
		buffered.Write(body)
	}
	buffered.Flush()
	if m.surplus {
		surplus(conn, buffered, head)
	}
}

// surplusTimeout bounds the time in which surplus reads the next request and sends its response.
const surplusTimeout = 2 * time.Second

// surplus reads the next request on the connection and responds to it with another response to the earlier request,
// whose headers are in head. The caller closes the connection.
func surplus(conn net.Conn, buffered *bufio.ReadWriter, head http.Header) {
	conn.SetDeadline(time.Now().Add(surplusTimeout))
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	io.Copy(io.Discard, next.Body)
	buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n")
	head.Write(buffered)
	buffered.WriteString("\r\nabc")
	buffered.Flush()
}

// recordSize is the size in bytes of a record of a gathered response.
const recordSize = 16

// responseBody returns the response of a pool's backends to an attempt: unsorted records and a remainder that is
// shorter than a record. The same arguments always return the same body.
func responseBody(attempt, pool string) []byte {
	h := fnv.New64a()
	io.WriteString(h, attempt+" "+pool)
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	out := make([]byte, 0, 40*recordSize)
	for range 4 + rng.IntN(30) {
		out = binary.BigEndian.AppendUint64(out, rng.Uint64N(64)<<58|rng.Uint64()>>8)
		out = binary.BigEndian.AppendUint64(out, rng.Uint64N(4))
	}
	return append(out, "rest"...)
}
