// One exchange: a connection is had, the request is written, the answer is
// read whole and judged. The class of what became of it is exact: not sent
// means that the kernel was handed no byte.

package backend

import (
	"context"
	"strconv"
	"sync"
	"time"

	"wallport/request/dispatch"
)

// Exchange is one request to one backend, under way.
type Exchange struct {
	client    *Client
	attempt   dispatch.Send
	thaws     int64
	startedAt time.Time
	deadline  time.Time
	// writtenUs is how long after its begin the kernel had taken the request's first bytes; 0 is never.
	writtenUs int64

	mu         sync.Mutex
	conn       *conn
	canceled   bool
	abandoned  bool
	cancelDial func()
}

// Start prepares an exchange; Run carries it out.
func (cl *Client) Start(a dispatch.Send) *Exchange {
	now := time.Now()
	return &Exchange{client: cl, attempt: a, thaws: cl.config.Thaws(), startedAt: now, deadline: now.Add(time.Duration(a.Timeout) * time.Microsecond)}
}

// Cancel gives an exchange up from any thread: Run returns soon, and a connection that was written to is closed.
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

// Abandon tells that the answer is not wanted any more: what has not been written yet will not be.
func (x *Exchange) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
}

// attach lets Cancel reach a connection; ok is that it did not come before.
func (x *Exchange) attach(c *conn) (ok, left bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.canceled && c.setDeadline(x.deadline) == nil, x.abandoned
}

// detach takes the connection out of Cancel's reach and clears its deadline; false is that it cannot be kept.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c.setDeadline(time.Time{}) == nil
}

// mayNotWrite is why nothing may be written to a connection; empty is that it may.
func (x *Exchange) mayNotWrite(c *conn) string {
	ok, unwanted := x.attach(c)
	switch {
	case !ok:
		return "cancelled"
	case unwanted:
		return "not wanted any more"
	}
	return x.tooLate()
}

// tooLate is why a request may not be written any more, whatever its connection is like.
func (x *Exchange) tooLate() string {
	switch {
	case x.frozen():
		return "the process was frozen"
	case time.Until(x.deadline) < time.Millisecond:
		return "no time left"
	}
	return ""
}

func (x *Exchange) frozen() bool {
	return x.client.config.Frozen() || x.client.config.Thaws() != x.thaws
}

func notSent(why string) dispatch.Result {
	return dispatch.Result{Class: dispatch.ClassNotSent, Reason: why}
}

// reasonNoConnection is why an ask was not sent when this node's part of a backend's connections is in use.
const reasonNoConnection = "no connection free"

// Run carries the exchange out; it returns at the ask's time at the latest.
func (x *Exchange) Run() dispatch.Result {
	for {
		c, why := x.connect()
		if c == nil {
			rep := notSent(why)
			// That this node's part is in use is no failure of the backend's.
			rep.ReusedConn = why == reasonNoConnection
			return rep
		}
		rep, again := x.runOn(c)
		if !again {
			return rep
		}
		x.client.counters.idleDead.Add(1)
	}
}

func (x *Exchange) connect() (*conn, string) {
	c, pool, room := x.client.acquire(x.attempt.Server, x.client.connectionLimit(x.attempt.Pool))
	if c != nil {
		x.client.counters.reused.Add(1)
		return c, ""
	}
	if !room {
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
	c, err := x.client.dial(ctx, x.attempt.Server, pool)
	if err != nil {
		x.client.counters.dialsFailed.Add(1)
		return nil, "dial: " + errorText(err)
	}
	return c, ""
}

// runOn carries the exchange out on a connection; again is that an idle one was found dead before the write.
func (x *Exchange) runOn(c *conn) (rep dispatch.Result, again bool) {
	left := time.Until(x.deadline)
	if held := x.mayNotWrite(c); held != "" {
		c.release(x.detach())
		return notSent(held), false
	}
	b := requestBuffers.Get().(*[]byte)
	*b = x.appendRequest((*b)[:0], left)
	resp, body, err := c.roundTrip(x, *b)
	if cap(*b) <= 64<<10 {
		requestBuffers.Put(b)
	}
	keep := false
	switch {
	case c.blocked != "":
		c.release(x.detach())
		return notSent(c.blocked), false
	case c.stale:
		x.detach()
		c.release(false)
		return notSent("the connection ended before anything was written"), c.reused
	}
	if err != nil {
		rep = x.classifyFailure(c, err)
	} else {
		rep, keep = x.classify(c, resp, body)
	}
	rep.ReusedConn, rep.WrittenAfter = c.reused, x.writtenUs
	keep = keep && !x.attempt.Server.CloseAfterUse
	if !x.detach() {
		keep = false
	}
	c.release(keep)
	return rep, false
}

// appendRequest is what is written: the request line, the client's fields, what is set here, and the body.
func (x *Exchange) appendRequest(b []byte, left time.Duration) []byte {
	r, n := x.attempt.Request, &x.client.config.Names
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...), "\r\n"...)
	b = append(b, r.Header...)
	b = append(append(b, n.Budget...), ": "...)
	b = append(strconv.AppendInt(b, left.Milliseconds(), 10), "\r\n"...)
	b = append(append(append(append(b, n.Target...), ": "...), x.attempt.Server.ID...), "\r\n"...)
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(r.Body)), 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), r.Body...)
}
