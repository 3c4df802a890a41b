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
	// out is the request, written how many bytes of it the kernel has accepted.
	out     []byte
	written int
	// err is the connection's own error, the end of the stream included.
	err error
	// stale is set if the connection proved closed, or had something to read, before the write.
	stale bool
	// blocked is why nothing was written although the connection is good.
	blocked string
	// surplus is set if more arrived than the response.
	surplus bool
}

// phase is a step of an exchange up to the first byte of the response.
type phase uint8

const (
	// phaseCheck looks whether the connection is open and has nothing to read.
	phaseCheck phase = iota
	phaseWrite
	phaseWait
	phaseDone
)

// requestBuffers are buffers for requests.
var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// roundTrip writes a request and reads its response, in as few system calls as it takes: a look at the
// connection, the write, a wait until there is something to read, and net/http's reading. An error that
// is not in the state's err as well is a malformed response.
func (c *conn) roundTrip(x *Exchange, out []byte) (resp *http.Response, body []byte, err error) {
	c.exchangeState = exchangeState{exchange: x, out: out, phase: phaseCheck}
	defer func() { c.exchange, c.out = nil, nil }()
	err = c.sys.Read(c.advanceFunc)
	if err == nil && c.phase == phaseWrite && c.err == nil {
		// The kernel accepted a part: the rest is written the usual way.
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
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(c)
	resp, body, err = readResponse(reader, x.attempt.Request.Method)
	c.surplus = reader.Buffered() > 0
	reader.Reset(nil)
	readers.Put(reader)
	return resp, body, err
}

// advance goes on as far as it can without blocking. It returns false to be called again when there is
// something to read, as syscall.RawConn asks for.
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
			// Nothing happens between this check and the write, so that a freeze before the write is noticed.
			if c.blocked = c.exchange.writeBlockedReason(); c.blocked != "" {
				c.phase = phaseDone
				return true
			}
			n, err := unix.Write(int(fd), c.out[c.written:])
			if err == unix.EINTR {
				// Nothing was accepted.
				continue
			}
			c.written += max(0, n)
			if n > 0 && c.exchange.writtenAfter == 0 {
				c.exchange.writtenAfter = max(1, time.Since(c.exchange.startedAt).Microseconds())
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

// Read reads from the connection and records its error.
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

// setDeadline bounds the reads and writes that follow; the zero time is no bound.
func (c *conn) setDeadline(deadline time.Time) error { return c.raw.SetDeadline(deadline) }
