// The clients' side of a simulated node: the product's own request charts,
// their asks carried out on the simulated network, readiness, and the planned
// stop.

package sim

import (
	"maps"
	"slices"

	"wallport/lab/rules"
	"wallport/request/dispatch"
)

// Figures of the clients' server, as the product has them.
const (
	acceptsFor = 2_200_000
	stopEvery  = 20_000
)

type gateway struct {
	day        *day
	process    *process
	dispatcher *dispatch.Dispatcher
	requests   []*clientRequest
	exchanges  []*exchange
	idleConns  map[string][]*conn
	// opened tells that the clients' port is open; shut that it is closed again.
	opened, closed, draining bool
}

// clientRequest is one request in the node.
type clientRequest struct {
	attempt      *rules.Attempt
	kind         *requestShape
	stateMachine *dispatch.StateMachine
	wakeups      uint64
	done         func(o *dispatch.Outcome)
	ended        bool
	// hangUp ends the client's connection at once.
	hangUp func()
}

// newGateway opens the request path of a node that has just started.
func (d *day) newGateway(p *process, seed uint64) {
	r := p.settings.Retries
	g := &gateway{day: d, process: p, idleConns: map[string][]*conn{}}
	g.dispatcher = dispatch.NewDispatcher(dispatch.Config{
		Snapshot: p.snapshots.Current, Counts: p.kernel.Counts, Seed: seed, StartedAt: 0,
		Retry: dispatch.RetryConfig{Ratio: r.Ratio, Allowance: r.Allowance, Window: r.Window},
	})
	d.gateways[p] = g
	g.openWhenReady()
}

// openWhenReady opens the clients' port with the first table.
func (g *gateway) openWhenReady() {
	if g.ready() {
		g.opened = true
		return
	}
	g.process.deliverAfter(stopEvery, g.openWhenReady)
}

// ready is what the node answers when it is asked for its readiness.
func (g *gateway) ready() bool {
	cp := g.process.snapshots.Current()
	return g.process.up && !g.draining && cp.Ready() && cp.Routing != nil
}

// accepts reports whether a new connection finds anyone.
func (g *gateway) accepts() bool { return g.process.up && g.opened && !g.closed }

// accept takes a request that has come whole; done gets its outcome, or nil where it was cut.
func (g *gateway) accept(t *rules.Attempt, k *requestShape, done func(o *dispatch.Outcome)) *clientRequest {
	r := &clientRequest{attempt: t, kind: k, done: done}
	g.requests = append(g.requests, r)
	g.process.deliver(func() {
		if r.ended {
			return
		}
		t.Read = g.day.world.now
		g.day.machineTookRequest(g.process.machine, t.Repeatable || t.Probe)
		req := dispatch.Request{
			ID: t.ID, Method: t.Method, Target: t.Target, Path: t.Path, Host: t.Host, Body: t.Body,
			Timeout: t.Deadline - t.Sent,
		}
		r.stateMachine = dispatch.NewStateMachine(g.dispatcher, req, g.process.now())
		g.step(r, dispatch.Begin{})
	})
	return r
}

func (g *gateway) step(r *clientRequest, ev dispatch.Event) {
	if r.stateMachine == nil {
		return
	}
	acts := slices.Clone(r.stateMachine.Step(g.process.now(), ev))
	for _, a := range acts {
		g.perform(r, a)
	}
}

func (g *gateway) perform(r *clientRequest, a dispatch.Action) {
	switch v := a.(type) {
	case dispatch.Send:
		g.startExchange(r, v)
	case dispatch.Cancel:
		g.cancel(r, v.N)
	case dispatch.Abandon:
		// The exchange runs out by itself.
	case dispatch.SetTimer:
		r.wakeups++
		mine := r.wakeups
		g.process.deliverAfter(v.At-g.process.now(), func() {
			if r.wakeups == mine {
				g.step(r, dispatch.TimerFired{})
			}
		})
	case dispatch.Finish:
		r.wakeups++
		o := v.Outcome
		g.finish(r, &o)
	}
}

func (g *gateway) cancel(r *clientRequest, n int) {
	for _, x := range slices.Clone(g.exchanges) {
		if x.request == r && x.attempt == n {
			x.cancel()
		}
	}
}

func (g *gateway) finish(r *clientRequest, o *dispatch.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	g.requests = slices.DeleteFunc(g.requests, func(v *clientRequest) bool { return v == r })
	r.done(o)
}

// clientGone is that the client has closed its connection.
func (g *gateway) clientGone(r *clientRequest) {
	if r.ended {
		return
	}
	g.process.deliver(func() {
		if !r.ended {
			g.step(r, dispatch.ClientGone{})
		}
	})
}

// abort is the end of the process: every request read and not answered is cut.
func (g *gateway) abort() {
	g.closed = true
	runs := g.requests
	g.requests = nil
	for _, r := range runs {
		if !r.ended {
			r.ended = true
			r.done(nil)
		}
	}
	for _, x := range slices.Clone(g.exchanges) {
		x.cancel()
	}
	for _, id := range slices.Sorted(maps.Keys(g.idleConns)) {
		for _, c := range g.idleConns[id] {
			c.backend.conns--
		}
	}
	g.idleConns = map[string][]*conn{}
}

// stop is the planned stop: not ready at once, new connections for a while yet, then what was read is finished.
func (g *gateway) stop() {
	p := g.process
	p.draining, g.draining = true, true
	p.world.logEvent(p.name + " drains")
	p.step(stopping)
	p.deliverAfter(acceptsFor, func() {
		g.closed = true
		g.endWhenIdle()
	})
}

func (g *gateway) endWhenIdle() {
	if len(g.requests) > 0 {
		g.process.deliverAfter(stopEvery, g.endWhenIdle)
		return
	}
	g.process.kill()
}
