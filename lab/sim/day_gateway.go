// The client-facing side of a simulated node: the product's request state machines, whose actions are carried out
// on the simulated network, the readiness check and the graceful shutdown.

package sim

import (
	"maps"
	"slices"

	"wallport/lab/rules"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// Times of the node's HTTP server for clients, as in the product. After a shutdown has begun, the server accepts new
// connections for acceptWindow, and then checks every stopPollInterval whether all requests have ended.
const (
	acceptWindow     = 2200 * clock.Millisecond
	stopPollInterval = 20 * clock.Millisecond
)

type gateway struct {
	day        *day
	process    *process
	dispatcher *dispatch.Dispatcher
	requests   []*clientRequest
	exchanges  []*exchange
	idleConns  map[string][]*conn
	// opened means that the port for clients has been opened; closed means that it has been closed again.
	opened, closed, draining bool
}

// clientRequest is a request in flight in a node.
type clientRequest struct {
	attempt      *rules.Attempt
	kind         *requestShape
	stateMachine *dispatch.StateMachine
	wakeups      uint64
	done         func(o *dispatch.Outcome)
	ended        bool
	// disconnect resets the client's connection.
	disconnect func()
}

// newGateway creates the request path of a node that has just started.
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

// openWhenReady opens the port for clients once the node is ready, which requires a routing table.
func (g *gateway) openWhenReady() {
	if g.ready() {
		g.opened = true
		return
	}
	g.process.deliverAfter(stopPollInterval, g.openWhenReady)
}

// ready reports whether the node passes a readiness check.
func (g *gateway) ready() bool {
	cp := g.process.snapshots.Current()
	return g.process.up && !g.draining && cp.Ready() && cp.Routing != nil
}

// accepts reports whether the node accepts new connections of clients.
func (g *gateway) accepts() bool { return g.process.up && g.opened && !g.closed }

// accept starts a request that has arrived completely. done is called with the outcome, or with nil if the request
// is aborted.
func (g *gateway) accept(attempt *rules.Attempt, kind *requestShape, done func(o *dispatch.Outcome)) *clientRequest {
	request := &clientRequest{attempt: attempt, kind: kind, done: done}
	g.requests = append(g.requests, request)
	g.process.deliver(func() {
		if request.ended {
			return
		}
		attempt.Read = g.day.sim.now
		g.day.machineAcceptedRequest(g.process.machine, attempt.Repeatable || attempt.Probe)
		req := dispatch.Request{
			ID: attempt.ID, Method: attempt.Method, Target: attempt.Target, Path: attempt.Path, Host: attempt.Host, Body: attempt.Body,
			Timeout: attempt.Deadline - attempt.Sent,
		}
		request.stateMachine = dispatch.NewStateMachine(g.dispatcher, req, g.process.now())
		g.step(request, dispatch.Begin{})
	})
	return request
}

func (g *gateway) step(request *clientRequest, ev dispatch.Event) {
	if request.stateMachine == nil {
		return
	}
	acts := slices.Clone(request.stateMachine.Step(g.process.now(), ev))
	for _, a := range acts {
		g.perform(request, a)
	}
}

func (g *gateway) perform(request *clientRequest, a dispatch.Action) {
	switch v := a.(type) {
	case dispatch.Send:
		g.startExchange(request, v)
	case dispatch.Cancel:
		g.cancel(request, v.N)
	case dispatch.Abandon:
		// Nothing is cancelled: the exchange goes on until it ends by itself.
	case dispatch.SetTimer:
		request.wakeups++
		mine := request.wakeups
		g.process.deliverAfter(v.At-g.process.now(), func() {
			if request.wakeups == mine {
				g.step(request, dispatch.TimerFired{})
			}
		})
	case dispatch.Finish:
		request.wakeups++
		o := v.Outcome
		g.finish(request, &o)
	}
}

func (g *gateway) cancel(request *clientRequest, n int) {
	for _, x := range slices.Clone(g.exchanges) {
		if x.request == request && x.attempt == n {
			x.cancel()
		}
	}
}

func (g *gateway) finish(request *clientRequest, o *dispatch.Outcome) {
	if request.ended {
		return
	}
	request.ended = true
	g.requests = slices.DeleteFunc(g.requests, func(v *clientRequest) bool { return v == request })
	request.done(o)
}

// clientGone is called when the client of a request has closed its connection.
func (g *gateway) clientGone(request *clientRequest) {
	if request.ended {
		return
	}
	g.process.deliver(func() {
		if !request.ended {
			g.step(request, dispatch.ClientGone{})
		}
	})
}

// abort aborts every request in flight and closes all connections when the process ends.
func (g *gateway) abort() {
	g.closed = true
	runs := g.requests
	g.requests = nil
	for _, request := range runs {
		if !request.ended {
			request.ended = true
			request.done(nil)
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

// stop begins the graceful shutdown. The node fails readiness checks from now on, but accepts new connections for
// acceptWindow; then it finishes the requests in flight and ends.
func (g *gateway) stop() {
	p := g.process
	p.draining, g.draining = true, true
	p.sim.logEvent(p.name + " drains")
	p.step(stopping)
	p.deliverAfter(acceptWindow, func() {
		g.closed = true
		g.endWhenIdle()
	})
}

func (g *gateway) endWhenIdle() {
	if len(g.requests) > 0 {
		g.process.deliverAfter(stopPollInterval, g.endWhenIdle)
		return
	}
	g.process.kill()
}
