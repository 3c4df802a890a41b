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
	// out holds the bytes of the request. written is the number of them that the kernel has accepted.
	out     []byte
	written int
	// err is an error of the connection itself, including the end of the stream.
	err error
	// stale is set if the connection was closed or had bytes to read before the write.
	stale bool
	// blocked is the reason why nothing was written although the connection is usable.
	blocked string
	// surplus is set if bytes arrived after the response.
	surplus bool
}

// phase is a step of an exchange up to the first byte of the response.
type phase uint8

const (
	// phaseCheck checks that the connection is open and has no bytes to read.
	phaseCheck phase = iota
	phaseWrite
	phaseWait
	phaseDone
)

// requestBuffers pools the buffers for the bytes of requests.
var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// roundTrip writes a request and reads its response with as few system calls as possible: a check of the
// connection, the write, a wait until there are bytes to read, and the reads by net/http. If it returns an
// error while exchangeState.err is nil, the response is malformed.
func (c *conn) roundTrip(x *Exchange, out []byte) (resp *http.Response, body []byte, err error) {
	c.exchangeState = exchangeState{exchange: x, out: out, phase: phaseCheck}
	defer func() { c.exchange, c.out = nil, nil }()
	err = c.sys.Read(c.advanceFunc)
	if err == nil && c.phase == phaseWrite && c.err == nil {
		// The kernel accepted only a part of the bytes. The blocking Write writes the remaining ones.
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

// advance proceeds as far as possible without blocking. As specified by syscall.RawConn.Read, it returns false to
// be called again when there are bytes to read.
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
			// This check comes immediately before the write, so that a freeze before the write is detected.
			if c.blocked = c.exchange.writeBlockedReason(); c.blocked != "" {
				c.phase = phaseDone
				return true
			}
			n, err := unix.Write(int(fd), c.out[c.written:])
			if err == unix.EINTR {
				// The kernel accepted no byte.
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

// Read reads from the connection and records an error in exchangeState.err.
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

// setDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *conn) setDeadline(deadline time.Time) error { return c.raw.SetDeadline(deadline) }
