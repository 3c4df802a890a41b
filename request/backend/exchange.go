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
	k     *Client
	ask   dispatch.Send
	thaws int64
	began time.Time
	until time.Time
	// writtenUs is how long after its begin the kernel had taken the request's first bytes; 0 is never.
	writtenUs int64

	mu     sync.Mutex
	conn   *conn
	ended  bool
	left   bool
	cancel func()
}

// Start prepares an exchange; Run carries it out.
func (k *Client) Start(a dispatch.Send) *Exchange {
	now := time.Now()
	return &Exchange{k: k, ask: a, thaws: k.c.Thaws(), began: now, until: now.Add(time.Duration(a.Timeout) * time.Microsecond)}
}

// Cancel gives an exchange up from any thread: Run returns soon, and a connection that was written to is closed.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.conn != nil {
		x.conn.within(time.Unix(1, 0))
	}
	if x.cancel != nil {
		x.cancel()
	}
}

// Leave tells that the answer is not wanted any more: what has not been written yet will not be.
func (x *Exchange) Leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.left = true
}

// hold lets Cancel reach a connection; ok is that it did not come before.
func (x *Exchange) hold(c *conn) (ok, left bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.ended && c.within(x.until) == nil, x.left
}

// release takes the connection out of Cancel's reach and clears its deadline; false is that it cannot be kept.
func (x *Exchange) release() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c.within(time.Time{}) == nil
}

// held is why nothing may be written to a connection; empty is that it may.
func (x *Exchange) held(c *conn) string {
	ok, unwanted := x.hold(c)
	switch {
	case !ok:
		return "cancelled"
	case unwanted:
		return "not wanted any more"
	}
	return x.late()
}

// late is why a request may not be written any more, whatever its connection is like.
func (x *Exchange) late() string {
	switch {
	case x.frozen():
		return "the process was frozen"
	case time.Until(x.until) < time.Millisecond:
		return "no time left"
	}
	return ""
}

func (x *Exchange) frozen() bool { return x.k.c.Frozen() || x.k.c.Thaws() != x.thaws }

func notSent(why string) dispatch.Result {
	return dispatch.Result{Class: dispatch.ClassNotSent, Reason: why}
}

// full is why an ask was not sent when this node's part of a backend's connections is in use.
const full = "no connection free"

// Run carries the exchange out; it returns at the ask's time at the latest.
func (x *Exchange) Run() dispatch.Result {
	for {
		c, why := x.connect()
		if c == nil {
			rep := notSent(why)
			// That this node's part is in use is no failure of the backend's.
			rep.ReusedConn = why == full
			return rep
		}
		rep, again := x.on(c)
		if !again {
			return rep
		}
		x.k.count.idleDead.Add(1)
	}
}

func (x *Exchange) connect() (*conn, string) {
	c, p, room := x.k.take(x.ask.Server, x.k.part(x.ask.Pool))
	if c != nil {
		x.k.count.reused.Add(1)
		return c, ""
	}
	if !room {
		x.k.count.full.Add(1)
		return nil, full
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.until)
	defer cancel()
	x.mu.Lock()
	x.cancel = cancel
	if x.ended {
		cancel()
	}
	x.mu.Unlock()
	c, err := x.k.dial(ctx, x.ask.Server, p)
	if err != nil {
		x.k.count.dialsFailed.Add(1)
		return nil, "dial: " + reason(err)
	}
	return c, ""
}

// on carries the exchange out on a connection; again is that an idle one was found dead before the write.
func (x *Exchange) on(c *conn) (rep dispatch.Result, again bool) {
	left := time.Until(x.until)
	if held := x.held(c); held != "" {
		c.give(x.release())
		return notSent(held), false
	}
	b := heads.Get().(*[]byte)
	*b = x.request((*b)[:0], left)
	resp, body, err := c.exchange(x, *b)
	if cap(*b) <= 64<<10 {
		heads.Put(b)
	}
	keep := false
	switch {
	case c.held != "":
		c.give(x.release())
		return notSent(c.held), false
	case c.dead:
		x.release()
		c.give(false)
		return notSent("the connection ended before anything was written"), c.reused
	}
	if err != nil {
		rep = x.broken(c, err)
	} else {
		rep, keep = x.judge(c, resp, body)
	}
	rep.ReusedConn, rep.WrittenAfter = c.reused, x.writtenUs
	keep = keep && !x.ask.Server.CloseAfterUse
	if !x.release() {
		keep = false
	}
	c.give(keep)
	return rep, false
}

// request is what is written: the request line, the client's fields, what is set here, and the body.
func (x *Exchange) request(b []byte, left time.Duration) []byte {
	r, n := x.ask.Request, &x.k.c.Names
	b = append(append(append(b, r.Method...), ' '), r.Target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...), "\r\n"...)
	b = append(b, r.Header...)
	b = append(append(b, n.Budget...), ": "...)
	b = append(strconv.AppendInt(b, left.Milliseconds(), 10), "\r\n"...)
	b = append(append(append(append(b, n.Target...), ": "...), x.ask.Server.ID...), "\r\n"...)
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(r.Body)), 10), "\r\n"...)
	}
	return append(append(b, "\r\n"...), r.Body...)
}
