package backend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// Reasons why a request was not written.
const (
	reasonCanceled  = "cancelled"
	reasonAbandoned = "not wanted any more"
	reasonFrozen    = "the process was frozen"
	reasonTooLate   = "no time left"
	reasonClosed    = "the connection ended before anything was written"
	// reasonNoConnection means that all connections that this node may open to the backend are in use.
	reasonNoConnection = "no connection free"
)

// maxKeptBuffer is the maximum capacity, in bytes, of a request buffer that is reused.
const maxKeptBuffer = 64 << 10

// Exchange is one attempt at a request with one backend.
type Exchange struct {
	client  *Client
	attempt dispatch.Send
	// thaws is how often the process had thawed when the exchange was prepared.
	thaws     int64
	startedAt time.Time
	deadline  time.Time
	// writtenAfter is the time from the start until the kernel accepted the first bytes; 0 means that it has
	// not accepted any.
	writtenAfter clock.Micros

	mu sync.Mutex
	// conn is the connection in use, which Cancel interrupts.
	conn       *conn
	canceled   bool
	abandoned  bool
	cancelDial func()
}

// Start prepares an exchange and starts its time-out. Run carries it out.
func (cl *Client) Start(a dispatch.Send) *Exchange {
	now := time.Now()
	return &Exchange{client: cl, attempt: a, thaws: cl.config.Thaws(), startedAt: now, deadline: now.Add(clock.Duration(a.Timeout))}
}

// Cancel aborts an exchange: Run returns soon, and a connection that was written to is closed. It may be called
// from any goroutine.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.canceled = true
	if x.conn != nil {
		x.conn.setDeadline(time.Unix(1, 0))
	}
	if x.cancelDial != nil {
		x.cancelDial()
	}
}

// Abandon declares that the response is no longer needed. A request that has not been written yet will not
// be written. An exchange whose request has been written is completed normally.
func (x *Exchange) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
}

// attach makes c the connection of the exchange and sets its deadline. ok is false if the exchange was canceled or
// the deadline could not be set. abandoned reports whether the response is no longer needed.
func (x *Exchange) attach(c *conn) (ok, abandoned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.canceled && c.setDeadline(x.deadline) == nil, x.abandoned
}

// detach ends the use of the connection and clears its deadline. It reports whether that succeeded, so that the
// connection can be kept.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c.setDeadline(time.Time{}) == nil
}

// attachForWrite attaches a connection. It returns why the request may not be written to the connection, or an empty
// string if it may be written.
func (x *Exchange) attachForWrite(c *conn) string {
	ok, abandoned := x.attach(c)
	switch {
	case !ok:
		return reasonCanceled
	case abandoned:
		return reasonAbandoned
	}
	return x.writeBlockedReason()
}

// writeBlockedReason returns why the request may no longer be written to any connection, or an empty string if it
// may be written. A request may be written if the process has not been frozen since the exchange was prepared, and
// at least a millisecond is left until the deadline.
func (x *Exchange) writeBlockedReason() string {
	switch {
	case x.frozen():
		return reasonFrozen
	case time.Until(x.deadline) < time.Millisecond:
		return reasonTooLate
	}
	return ""
}

// frozen reports whether the process is frozen or has been frozen since the exchange was prepared.
func (x *Exchange) frozen() bool {
	return x.client.config.Frozen() || x.client.config.Thaws() != x.thaws
}

func notSent(reason string) dispatch.Result {
	return dispatch.Result{Class: dispatch.ClassNotSent, Reason: reason}
}

// Run carries out the exchange and returns its result, at the latest when the attempt times out.
func (x *Exchange) Run() dispatch.Result {
	for {
		c, failure := x.connect()
		if c == nil {
			result := notSent(failure)
			// Mark the result as if it came from a reused connection, so that dispatch does not count it as a
			// failure of the backend: the node has merely used up its own share of the connections.
			result.ReusedConn = failure == reasonNoConnection
			return result
		}
		result, again := x.runOn(c)
		if !again {
			return result
		}
		x.client.counters.idleDead.Add(1)
	}
}

// connect returns an idle or a new connection, or the reason why there is none.
func (x *Exchange) connect() (c *conn, failure string) {
	c, pool, mayDial := x.client.acquire(x.attempt.Backend, x.client.connectionLimit(x.attempt.Pool))
	if c != nil {
		x.client.counters.reused.Add(1)
		return c, ""
	}
	if !mayDial {
		x.client.counters.full.Add(1)
		return nil, reasonNoConnection
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	x.mu.Lock()
	x.cancelDial = cancel
	if x.canceled {
		cancel()
	}
	x.mu.Unlock()
	c, err := x.client.dial(ctx, x.attempt.Backend, pool)
	if err != nil {
		x.client.counters.dialsFailed.Add(1)
		return nil, "dial: " + errorText(err)
	}
	return c, ""
}

// runOn carries out the exchange on a connection. again is set if a reused connection turned out to be closed, or to
// have bytes to read, before the write. The caller should then use another connection.
func (x *Exchange) runOn(c *conn) (result dispatch.Result, again bool) {
	left := time.Until(x.deadline)
	if reason := x.attachForWrite(c); reason != "" {
		c.release(x.detach())
		return notSent(reason), false
	}
	buffer := requestBuffers.Get().(*[]byte)
	*buffer = x.appendRequest((*buffer)[:0], left)
	resp, body, err := c.roundTrip(x, *buffer)
	if cap(*buffer) <= maxKeptBuffer {
		requestBuffers.Put(buffer)
	}
	keep := false
	switch {
	case c.blocked != "":
		c.release(x.detach())
		return notSent(c.blocked), false
	case c.stale:
		x.detach()
		c.release(false)
		return notSent(reasonClosed), c.reused
	}
	if err != nil {
		result = x.classifyFailure(c, err)
	} else {
		result, keep = x.classify(c, resp, body)
	}
	result.ReusedConn, result.WrittenAfter = c.reused, x.writtenAfter
	keep = keep && !x.attempt.Backend.CloseAfterUse
	if !x.detach() {
		keep = false
	}
	c.release(keep)
	return result, false
}

// appendRequest appends the bytes of the request: the request line, the fields of the client's request, the
// fields that the node sets, and the body.
func (x *Exchange) appendRequest(b []byte, left time.Duration) []byte {
	r, names := x.attempt.Request, &x.client.config.Names
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...), "\r\n"...)
	b = append(b, r.Header...)
	b = append(append(b, names.Budget...), ": "...)
	b = append(strconv.AppendInt(b, left.Milliseconds(), 10), "\r\n"...)
	b = append(append(append(append(b, names.Target...), ": "...), x.attempt.Backend.ID...), "\r\n"...)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(r.Body)), 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), r.Body...)
}
