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

// turn is the state of one exchange on a connection.
type turn struct {
	x  *Exchange
	at step
	// out is what is to be written, wrote how much of it the kernel has taken.
	out   []byte
	wrote int
	// err is the connection's own error, be it its end.
	err error
	// dead tells that the connection was found closed, or with something to read, before a write.
	dead bool
	// held is why nothing was written though the connection is good.
	held string
	// surplus tells that more than the answer came.
	surplus bool
}

type step uint8

const (
	toLook step = iota
	toWrite
	toWait
	atEnd
)

var heads = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// exchange carries out a request on the connection. Where there is an error and err is nil, the answer is none.
func (c *conn) exchange(x *Exchange, out []byte) (resp *http.Response, body []byte, err error) {
	c.turn = turn{x: x, out: out, at: toLook}
	defer func() { c.x, c.out = nil, nil }()
	err = c.sys.Read(c.turnF)
	if err == nil && c.at == toWrite && c.err == nil {
		// The kernel took a part: the rest goes the usual way.
		var n int
		n, err = c.raw.Write(out[c.wrote:])
		c.wrote += n
	}
	if err != nil {
		c.err = err
	}
	if c.err != nil || c.dead || c.held != "" {
		return nil, nil, c.err
	}
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	resp, body, err = read(r, x.ask.Request.Method)
	c.surplus = r.Buffered() > 0
	r.Reset(nil)
	readers.Put(r)
	return resp, body, err
}

// take goes on as far as it can without waiting; false asks to be called when there is something to read.
func (c *conn) take(fd uintptr) bool {
	for {
		switch c.at {
		case toLook:
			var b [1]byte
			_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == unix.EINTR {
				continue
			}
			if err != unix.EAGAIN {
				c.dead, c.at = true, atEnd
				return true
			}
			c.at = toWrite
		case toWrite:
			// Nothing lies between this look and the write: a freeze before it is noticed.
			if c.held = c.x.late(); c.held != "" {
				c.at = atEnd
				return true
			}
			n, err := unix.Write(int(fd), c.out[c.wrote:])
			if err == unix.EINTR {
				// Nothing was taken.
				continue
			}
			c.wrote += max(0, n)
			if n > 0 && c.x.writtenUs == 0 {
				c.x.writtenUs = max(1, time.Since(c.x.began).Microseconds())
			}
			if err != nil && err != unix.EAGAIN {
				c.err, c.at = os.NewSyscallError("write", err), atEnd
				return true
			}
			if c.wrote < len(c.out) {
				return true
			}
			c.at = toWait
			return false
		default:
			c.at = atEnd
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

// within sets how long what follows may take; the zero time is no bound.
func (c *conn) within(until time.Time) error { return c.raw.SetDeadline(until) }
