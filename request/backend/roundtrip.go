// What is done on a connection for one exchange, in as few system calls as it
// takes: a look at the connection, the write, a wait until there is something
// to read, and then net/http's reading.

package backend

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// exchangeState is the state of one exchange on a connection.
type exchangeState struct {
	exchange *Exchange
	phase    phase
	// out is what is to be written, wrote how much of it the kernel has taken.
	out     []byte
	written int
	// err is the connection's own error, be it its end.
	err error
	// stale tells that the connection was found closed, or with something to read, before a write.
	stale bool
	// blocked is why nothing was written though the connection is good.
	blocked string
	// surplus tells that more than the answer came.
	surplus bool
}

type phase uint8

const (
	phaseCheck phase = iota
	phaseWrite
	phaseWait
	phaseDone
)

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// roundTrip carries out a request on the connection. Where there is an error and err is nil, the answer is none.
func (c *conn) roundTrip(x *Exchange, out []byte) (resp *http.Response, body []byte, err error) {
	c.exchangeState = exchangeState{exchange: x, out: out, phase: phaseCheck}
	defer func() { c.exchange, c.out = nil, nil }()
	err = c.sys.Read(c.advanceFunc)
	if err == nil && c.phase == phaseWrite && c.err == nil {
		// The kernel took a part: the rest goes the usual way.
		var n int
		n, err = c.raw.Write(out[c.written:])
		c.written += n
	}
	if err != nil {
		c.err = err
	}
	if c.err != nil || c.stale || c.blocked != "" {
		return nil, nil, c.err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	resp, body, err = readResponse(r, x.attempt.Request.Method)
	c.surplus = r.Buffered() > 0
	r.Reset(nil)
	readers.Put(r)
	return resp, body, err
}

// advance goes on as far as it can without waiting; false asks to be called when there is something to read.
func (c *conn) advance(fd uintptr) bool {
	for {
		switch c.phase {
		case phaseCheck:
			var b [1]byte
			_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == unix.EINTR {
				continue
			}
			if err != unix.EAGAIN {
				c.stale, c.phase = true, phaseDone
				return true
			}
			c.phase = phaseWrite
		case phaseWrite:
			// Nothing lies between this look and the write: a freeze before it is noticed.
			if c.blocked = c.exchange.tooLate(); c.blocked != "" {
				c.phase = phaseDone
				return true
			}
			n, err := unix.Write(int(fd), c.out[c.written:])
			if err == unix.EINTR {
				// Nothing was taken.
				continue
			}
			c.written += max(0, n)
			if n > 0 && c.exchange.writtenUs == 0 {
				c.exchange.writtenUs = max(1, time.Since(c.exchange.startedAt).Microseconds())
			}
			if err != nil && err != unix.EAGAIN {
				c.err, c.phase = os.NewSyscallError("write", err), phaseDone
				return true
			}
			if c.written < len(c.out) {
				return true
			}
			c.phase = phaseWait
			return false
		default:
			c.phase = phaseDone
			return true
		}
	}
}

// Read reads from the connection and notes its error.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.raw.Read(b)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		c.err = err
	}
	return n, err
}

// setDeadline sets how long what follows may take; the zero time is no bound.
func (c *conn) setDeadline(until time.Time) error { return c.raw.SetDeadline(until) }
