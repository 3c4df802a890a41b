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

// The reasons why a request was not written.
const (
	reasonCanceled  = "cancelled"
	reasonAbandoned = "not wanted any more"
	reasonFrozen    = "the process was frozen"
	reasonTooLate   = "no time left"
	reasonClosed    = "the connection ended before anything was written"
	// reasonNoConnection is given when all connections that this node may open to the backend are in use.
	reasonNoConnection = "no connection free"
)

// maxKeptBuffer bounds the request buffers that are kept for later requests.
const maxKeptBuffer = 64 << 10

// Exchange is one attempt at a request with one backend.
type Exchange struct {
	client  *Client
	attempt dispatch.Send
	// thaws is the process's count of thaws when the attempt was decided.
	thaws     int64
	startedAt time.Time
	deadline  time.Time
	// writtenAfter is the time from the start until the kernel accepted the first bytes; 0 is never.
	writtenAfter clock.Micros

	mu sync.Mutex
	// conn is the connection in use, where Cancel can reach it.
	conn       *conn
	canceled   bool
	abandoned  bool
	cancelDial func()
}

// Start prepares an exchange, whose time runs from now on. Run carries it out.
func (cl *Client) Start(a dispatch.Send) *Exchange {
	now := time.Now()
	return &Exchange{client: cl, attempt: a, thaws: cl.config.Thaws(), startedAt: now, deadline: now.Add(clock.Duration(a.Timeout))}
}

// Cancel ends an exchange from any goroutine: Run returns soon, and a connection that was written to is closed.
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

// Abandon says that the response is not wanted any more. A request that has not been written will not
// be; one that has is left undisturbed.
func (x *Exchange) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
}

// attach makes a connection the one in use and sets its deadline. It reports whether the exchange may go
// on, and whether it was abandoned.
func (x *Exchange) attach(c *conn) (ok, abandoned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.canceled && c.setDeadline(x.deadline) == nil, x.abandoned
}

// detach ends the use of the connection and clears its deadline. It reports whether the connection can be kept.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c.setDeadline(time.Time{}) == nil
}

// attachForWrite attaches a connection and returns why nothing may be written to it, or nothing if it may.
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

// writeBlockedReason returns why the request may not be written any more, on any connection, or nothing if it may.
func (x *Exchange) writeBlockedReason() string {
	switch {
	case x.frozen():
		return reasonFrozen
	case time.Until(x.deadline) < time.Millisecond:
		return reasonTooLate
	}
	return ""
}

// frozen reports whether the process is frozen or was since the attempt was decided.
func (x *Exchange) frozen() bool {
	return x.client.config.Frozen() || x.client.config.Thaws() != x.thaws
}

func notSent(reason string) dispatch.Result {
	return dispatch.Result{Class: dispatch.ClassNotSent, Reason: reason}
}

// Run carries the exchange out and returns its result, at the attempt's timeout at the latest.
func (x *Exchange) Run() dispatch.Result {
	for {
		c, failure := x.connect()
		if c == nil {
			result := notSent(failure)
			// That the node's own share is in use must not count as a failure of the backend, and dispatch counts
			// none for what was not sent on a reused connection.
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

// connect returns an idle or a new connection, or why there is none.
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

// runOn carries the exchange out on a connection. It reports whether to try another one, since the
// connection was an idle one that proved closed before the write.
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

// appendRequest appends the bytes of the request: the request line, the client's fields, those that the
// node sets, and the body.
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
