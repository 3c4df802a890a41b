// One exchange of a node with a backend, over connections that are kept, as
// the product's own client of backends does it: what it tells the chart.

package sim

import (
	"slices"
	"strings"

	"wallport/lab/rules"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
)

// Figures of connections to backends.
const (
	handshakeUs  = 1000
	dialWithin   = 400_000
	idleMost     = 15_000_000
	idlePerLife  = 16
	surplusAfter = 3000
)

// conn is a connection that is kept; foul tells that bytes of no request wait on it.
type conn struct {
	l     *life
	since int64
	foul  int64
	// reset tells that the backend's end is gone, and the node does not know it yet.
	reset bool
}

type exchange struct {
	g    *gate
	r    *pass
	n    int
	l    *life
	job  *job
	kind *kindShape
	ask  dispatch.Send
	conn *conn
	// reused tells that the connection had served before; sent that bytes were written.
	reused, sent, over bool
}

func fetched(url string) (addr string, platform bool) {
	addr, _, _ = strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	return addr, addr == "platform"
}

// exchangesOf lists what is under way with a backend, in the order of the gates.
func (d *day) exchangesOf(l *life) (out []*exchange) {
	for _, m := range d.machines {
		if g := d.gates[m.node]; g != nil {
			for _, x := range g.open {
				if x.l == l {
					out = append(out, x)
				}
			}
		}
	}
	return out
}

// ask begins an exchange.
func (g *gate) ask(r *pass, a dispatch.Send) {
	d := g.d
	x := &exchange{g: g, r: r, n: a.N, ask: a, kind: r.kind}
	g.open = append(g.open, x)
	g.p.later(a.Timeout, func() {
		x.end(dispatch.Result{Class: x.class(), TimedOut: true, ReusedConn: x.reused, Reason: "no answer in time"})
	})
	s := a.Server
	x.conn = g.idle(s)
	if x.conn != nil {
		x.reused = true
		x.send(x.conn.l)
		return
	}
	l := d.backends.byAddr[s.Addr]
	zone := s.Zone
	there := d.latency(g.p.env.Zone, zone)
	switch {
	case l != nil && (l.dark || d.shut(g.p.machine, l)):
		g.p.later(min(dialWithin, a.Timeout), func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "dial timed out"}) })
	case l == nil || !l.up:
		g.p.later(2*there, func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection refused"}) })
	case l.conns >= l.shape.connections:
		d.w.Judge.Count("connections_refused", 1)
		g.p.later(2*there, func() { x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection reset"}) })
	default:
		l.conns++
		d.w.Judge.Count("handshakes", 1)
		x.conn = &conn{l: l}
		g.p.later(2*there+handshakeUs, func() {
			if x.over {
				l.conns--
				return
			}
			if !l.up || d.shut(g.p.machine, l) {
				x.end(dispatch.Result{Class: dispatch.ClassNotSent, Reason: "connection reset"})
				return
			}
			x.send(l)
		})
	}
}

func (x *exchange) class() dispatch.Class {
	if x.sent {
		return dispatch.ClassFailed
	}
	return dispatch.ClassNotSent
}

// idle takes a kept connection to a backend, the newest first; those that end or hold foul bytes are closed.
func (g *gate) idle(s *snapshot.Server) *conn {
	now := g.d.w.now
	all := g.kept[s.ID]
	for len(all) > 0 {
		c := all[len(all)-1]
		all = all[:len(all)-1]
		if c.l.up && now-c.since < idleMost && (c.foul == 0 || c.foul > now) {
			g.kept[s.ID] = all
			return c
		}
		c.l.conns--
	}
	delete(g.kept, s.ID)
	return nil
}

func (g *gate) keep(x *exchange) {
	c := x.conn
	if c == nil {
		return
	}
	c.since = g.d.w.now
	if all := g.kept[x.ask.Server.ID]; len(all) < idlePerLife && c.l.up {
		g.kept[x.ask.Server.ID] = append(all, c)
		return
	}
	c.l.conns--
}

// send writes the request; it is at the backend a way later.
func (x *exchange) send(l *life) {
	d, a := x.g.d, &x.ask
	x.l, x.sent = l, true
	sent := d.w.now
	work := d.work(x.kind)
	within := max(1000, a.Timeout)
	if x.conn.foul > 0 {
		// A surplus answer comes where this request's own is expected; its id shows it.
		d.w.Judge.Count("surplus_met", 1)
		x.g.p.later(max(0, x.conn.foul-sent), func() {
			x.end(dispatch.Result{Class: dispatch.ClassInvalid, ReusedConn: true, Reason: "another request's answer"})
		})
	}
	rested := sent - x.conn.since
	if x.conn.reset || x.reused && l.forgetsUs > 0 && rested > l.forgetsUs {
		// The backend's end of the connection is gone: the request is not read there.
		d.w.Judge.Count("sent_on_reset", 1)
		x.broke("reset")
		return
	}
	d.w.after(d.latency(x.g.p.env.Zone, l.row.Zone), func() {
		d.pass(x.g.p.machine, l, sent, func(held bool) { x.arrives(l, sent, work, within, held) })
	})
}

// arrives is the request's last byte at the backend; a cut held it up, or not.
func (x *exchange) arrives(l *life, sent, work, within int64, held bool) {
	d, a := x.g.d, &x.ask
	if x.over && d.w.rnd.IntN(2) == 0 {
		// The connection was closed before the backend read the request.
		return
	}
	if !l.up {
		if !l.dark {
			x.broke("reset")
		}
		return
	}
	req := a.Request
	l.arrive(x, a.Server.ID, &rules.Arrival{
		Try: req.ID, Backend: l.seen, Machine: x.g.p.machine.name, Method: req.Method, Target: req.Target, Body: req.Body, Sent: sent, At: d.w.now,
		Held: held,
	}, work, within)
}

// end gives the chart its reply, once.
func (x *exchange) end(r dispatch.Result) {
	if x.over {
		return
	}
	x.over = true
	g := x.g
	g.open = slices.DeleteFunc(g.open, func(o *exchange) bool { return o == x })
	if (r.Class == dispatch.ClassResponse || r.Class == dispatch.ClassRejected) && !r.Draining {
		g.keep(x)
	} else if x.conn != nil {
		x.conn.l.conns--
	}
	if x.job != nil && r.Class != dispatch.ClassResponse {
		x.job.drop()
	}
	g.step(x.r, dispatch.AttemptDone{N: x.n, Result: r})
}

// cancel closes the exchange's connection.
func (x *exchange) cancel() {
	if x.over {
		return
	}
	x.over = true
	g := x.g
	g.open = slices.DeleteFunc(g.open, func(o *exchange) bool { return o == x })
	if x.conn != nil {
		x.conn.l.conns--
	}
	if x.job != nil {
		j := x.job
		g.d.w.after(g.d.latency(g.p.env.Zone, j.l.row.Zone), j.drop)
	}
}
