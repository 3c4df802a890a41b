// An exchange between a node and a backend over pooled connections, modelled on the product's backend client, and
// the results that it reports to the request state machine.

package sim

import (
	"slices"

	"wallport/lab/rules"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// Times and limits of connections to backends. A connection set-up takes handshakeUs plus a round trip, and a dial fails
// after dialTimeout. An idle connection is usable for maxIdle, and a node keeps at most maxIdleConns idle connections
// for each backend. Surplus bytes arrive within twice surplusDelay.
const (
	handshakeUs  = 1000
	dialTimeout  = 400 * clock.Millisecond
	maxIdle      = 15 * clock.Second
	maxIdleConns = 16
	surplusDelay = 3000
)

// conn is a pooled connection. surplusAt is when bytes that belong to no request arrive on it, 0 for never.
type conn struct {
	backend   *incarnation
	idleSince clock.Micros
	surplusAt clock.Micros
	// reset means that the backend has closed its end and the node has not noticed yet.
	reset bool
}

type exchange struct {
	gateway *gateway
	request *clientRequest
	attempt int
	backend *incarnation
	job     *job
	kind    *requestShape
	action  dispatch.Send
	conn    *conn
	// reused means that the connection has carried an exchange before; sent means that the request has been written.
	reused, sent, ended bool
}

// exchangesOf returns the exchanges in flight with a backend, in the order of the machines.
func (d *day) exchangesOf(inc *incarnation) (out []*exchange) {
	for _, m := range d.machines {
		if g := d.gateways[m.node]; g != nil {
			for _, x := range g.exchanges {
				if x.backend == inc {
					out = append(out, x)
				}
			}
		}
	}
	return out
}

// startExchange starts an exchange on a pooled connection, or on a new one if there is none.
func (g *gateway) startExchange(request *clientRequest, a dispatch.Send) {
	d := g.day
	x := &exchange{gateway: g, request: request, attempt: a.N, action: a, kind: request.kind}
	g.exchanges = append(g.exchanges, x)
	g.process.deliverAfter(a.Timeout, func() {
		x.end(dispatch.Result{Class: x.class(), TimedOut: true, ReusedConn: x.reused, Reason: "no answer in time"})
	})
	s := a.Backend
	x.conn = g.takeIdleConn(s)
	if x.conn != nil {
		x.reused = true
		x.send(x.conn.backend)
		return
	}
	inc := d.backends.byAddr[s.Addr]
	zone := s.Zone
	latency := d.latency(g.process.settings.Zone, zone)
	switch {
	case inc != nil && (inc.silent || d.unreachable(g.process.machine, inc)):
		g.process.deliverAfter(min(dialTimeout, a.Timeout), func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "dial timed out"}) })
	case inc == nil || !inc.up:
		g.process.deliverAfter(2*latency, func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection refused"}) })
	case inc.conns >= inc.shape.connections:
		d.sim.Checker.Count("connections_refused", 1)
		g.process.deliverAfter(2*latency, func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection reset"}) })
	default:
		inc.conns++
		d.sim.Checker.Count("handshakes", 1)
		x.conn = &conn{backend: inc}
		g.process.deliverAfter(2*latency+handshakeUs, func() {
			if x.ended {
				inc.conns--
				return
			}
			if !inc.up || d.unreachable(g.process.machine, inc) {
				x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection reset"})
				return
			}
			x.send(inc)
		})
	}
}

func (x *exchange) class() dispatch.Class {
	if x.sent {
		return dispatch.ClassFailed
	}
	return dispatch.ClassNotSent
}

// takeIdleConn returns the most recently used idle connection to a backend, or nil if there is none. It closes
// connections that have expired, hold surplus bytes or lead to a backend that has ended.
func (g *gateway) takeIdleConn(s *snapshot.Backend) *conn {
	now := g.day.sim.now
	all := g.idleConns[s.ID]
	for len(all) > 0 {
		c := all[len(all)-1]
		all = all[:len(all)-1]
		if c.backend.up && now-c.idleSince < maxIdle && (c.surplusAt == 0 || c.surplusAt > now) {
			g.idleConns[s.ID] = all
			return c
		}
		c.backend.conns--
	}
	delete(g.idleConns, s.ID)
	return nil
}

func (g *gateway) releaseConn(x *exchange) {
	c := x.conn
	if c == nil {
		return
	}
	c.idleSince = g.day.sim.now
	if all := g.idleConns[x.action.Backend.ID]; len(all) < maxIdleConns && c.backend.up {
		g.idleConns[x.action.Backend.ID] = append(all, c)
		return
	}
	c.backend.conns--
}

// send writes the request, which arrives at the backend after the network latency.
func (x *exchange) send(inc *incarnation) {
	d, a := x.gateway.day, &x.action
	x.backend, x.sent = inc, true
	sent := d.sim.now
	work := d.drawWork(x.kind)
	within := max(1000, a.Timeout)
	if x.conn.surplusAt > 0 {
		// A surplus response to an earlier request arrives first; the node detects it by its request id.
		d.sim.Checker.Count("surplus_met", 1)
		x.gateway.process.deliverAfter(max(0, x.conn.surplusAt-sent), func() {
			x.end(dispatch.Result{Class: dispatch.ClassInvalid, ReusedConn: true, Reason: "another request's answer"})
		})
	}
	rested := sent - x.conn.idleSince
	if x.conn.reset || x.reused && inc.connTimeout > 0 && rested > inc.connTimeout {
		// The backend has closed its end of the connection, so it never reads the request.
		d.sim.Checker.Count("sent_on_reset", 1)
		x.failed("reset")
		return
	}
	d.sim.after(d.latency(x.gateway.process.settings.Zone, inc.row.Zone), func() {
		d.whenReachable(x.gateway.process.machine, inc, sent, func(held bool) { x.arrive(inc, sent, work, within, held) })
	})
}

// arrive is called when the last byte of the request arrives at the backend; held is set if a partition delayed it.
func (x *exchange) arrive(inc *incarnation, sent, work, within clock.Micros, held bool) {
	d, a := x.gateway.day, &x.action
	if x.ended && d.sim.rng.IntN(2) == 0 {
		// The node closed the connection before the backend read the request.
		return
	}
	if !inc.up {
		if !inc.silent {
			x.failed("reset")
		}
		return
	}
	req := a.Request
	inc.arrive(x, a.Backend.ID, &rules.Arrival{
		Attempt: req.ID, Backend: inc.record, Machine: x.gateway.process.machine.name, Method: req.Method, Target: req.Target, Body: req.Body, Sent: sent, At: d.sim.now,
		DelayedByPartition: held,
	}, work, within)
}

// end ends the exchange and reports its result to the request state machine. Later calls have no effect.
func (x *exchange) end(r dispatch.Result) {
	if x.ended {
		return
	}
	x.ended = true
	g := x.gateway
	g.exchanges = slices.DeleteFunc(g.exchanges, func(o *exchange) bool { return o == x })
	if (r.Class == dispatch.ClassResponse || r.Class == dispatch.ClassRejected) && !r.Draining {
		g.releaseConn(x)
	} else if x.conn != nil {
		x.conn.backend.conns--
	}
	if x.job != nil && r.Class != dispatch.ClassResponse {
		x.job.connClosed()
	}
	g.step(x.request, dispatch.AttemptDone{N: x.attempt, Result: r})
}

// cancel ends the exchange without a result and closes its connection.
func (x *exchange) cancel() {
	if x.ended {
		return
	}
	x.ended = true
	g := x.gateway
	g.exchanges = slices.DeleteFunc(g.exchanges, func(o *exchange) bool { return o == x })
	if x.conn != nil {
		x.conn.backend.conns--
	}
	if x.job != nil {
		j := x.job
		g.day.sim.after(g.day.latency(g.process.settings.Zone, j.backend.row.Zone), j.connClosed)
	}
}

// deliverReply runs f on the node at the time at which a reply that the backend sends now arrives there.
func (x *exchange) deliverReply(f func()) {
	d, inc := x.gateway.day, x.backend
	d.sim.after(d.latency(inc.row.Zone, x.gateway.process.settings.Zone), func() {
		d.whenReachable(x.gateway.process.machine, inc, d.sim.now, func(bool) { x.gateway.process.deliver(f) })
	})
}

func (x *exchange) rejected(inc *incarnation, status int, reason string) {
	r := dispatch.Result{Class: dispatch.ClassRejected, Status: status, Load: inc.load(), WrongBackend: status == 421, Draining: inc.draining, Reason: reason}
	x.deliverReply(func() { x.end(r) })
}

func (x *exchange) failed(reason string) {
	x.deliverReply(func() { x.end(dispatch.Result{Class: dispatch.ClassFailed, ReusedConn: x.reused, Reason: reason}) })
}

func (x *exchange) garbled(short bool) {
	r := dispatch.Result{Class: dispatch.ClassInvalid, Reason: "malformed response"}
	if short {
		r = dispatch.Result{Class: dispatch.ClassFailed, Reason: "response truncated"}
	}
	x.deliverReply(func() { x.end(r) })
}

func (x *exchange) responded(inc *incarnation, a *rules.Arrival, surplus bool) {
	r := dispatch.Result{
		Class: dispatch.ClassResponse, Status: a.Status, Body: slices.Clone(a.Answer), Seal: a.Seal, Load: inc.load(), Draining: inc.draining,
		ReusedConn: x.reused,
	}
	if surplus && x.conn != nil {
		x.gateway.day.sim.Checker.Count("surplus_answers", 1)
		x.conn.surplusAt = x.gateway.day.sim.now + x.gateway.day.sim.rng.Int64N(2*surplusDelay)
	}
	x.deliverReply(func() { x.end(r) })
}

func (inc *incarnation) load() dispatch.LoadReport {
	return dispatch.LoadReport{Running: inc.running, Queued: len(inc.queue), Slots: inc.shape.slots, Known: true}
}
