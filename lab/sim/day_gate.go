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

type gate struct {
	d    *day
	p    *proc
	desk *dispatch.Dispatcher
	runs []*pass
	open []*exchange
	kept map[string][]*conn
	// opened tells that the clients' port is open; shut that it is closed again.
	opened, shut, drains bool
}

// pass is one request in the node.
type pass struct {
	try   *rules.Try
	kind  *kindShape
	chart *dispatch.StateMachine
	wake  uint64
	done  func(o *dispatch.Outcome)
	over  bool
	// cut ends the client's connection at once.
	cut func()
}

// newGate opens the request path of a node that has just started.
func (d *day) newGate(p *proc, seed uint64) {
	r := p.env.Retries
	g := &gate{d: d, p: p, kept: map[string][]*conn{}}
	g.desk = dispatch.NewDispatcher(dispatch.Config{
		Snapshot: p.table.Current, Counts: p.kernel.Counts, Seed: seed, StartedAt: 0,
		Retry: dispatch.RetryConfig{Ratio: r.Ratio, Allowance: r.Allowance, Window: r.Window},
	})
	d.gates[p] = g
	g.look()
}

// look opens the clients' port with the first table.
func (g *gate) look() {
	if g.ready() {
		g.opened = true
		return
	}
	g.p.later(stopEvery, g.look)
}

// ready is what the node answers when it is asked for its readiness.
func (g *gate) ready() bool {
	cp := g.p.table.Current()
	return g.p.up && !g.drains && cp.Ready() && cp.Routing != nil
}

// accepts reports whether a new connection finds anyone.
func (g *gate) accepts() bool { return g.p.up && g.opened && !g.shut }

// read takes a request that has come whole; done gets its outcome, or nil where it was cut.
func (g *gate) read(t *rules.Try, k *kindShape, done func(o *dispatch.Outcome)) *pass {
	r := &pass{try: t, kind: k, done: done}
	g.runs = append(g.runs, r)
	g.p.feed(func() {
		if r.over {
			return
		}
		t.Read = g.d.w.now
		g.d.took(g.p.machine, t.Repeatable || t.Probe)
		req := dispatch.Request{
			ID: t.ID, Method: t.Method, Target: t.Target, Path: t.Path, Host: t.Host, Body: t.Body,
			Timeout: t.Deadline - t.Sent,
		}
		r.chart = dispatch.NewStateMachine(g.desk, req, g.p.now())
		g.step(r, dispatch.Begin{})
	})
	return r
}

func (g *gate) step(r *pass, ev dispatch.Event) {
	if r.chart == nil {
		return
	}
	acts := slices.Clone(r.chart.Step(g.p.now(), ev))
	for _, a := range acts {
		g.act(r, a)
	}
}

func (g *gate) act(r *pass, a dispatch.Action) {
	switch v := a.(type) {
	case dispatch.Send:
		g.ask(r, v)
	case dispatch.Cancel:
		g.cancel(r, v.N)
	case dispatch.Abandon:
		// The exchange runs out by itself.
	case dispatch.SetTimer:
		r.wake++
		mine := r.wake
		g.p.later(v.At-g.p.now(), func() {
			if r.wake == mine {
				g.step(r, dispatch.TimerFired{})
			}
		})
	case dispatch.Finish:
		r.wake++
		o := v.Outcome
		g.finish(r, &o)
	}
}

func (g *gate) cancel(r *pass, n int) {
	for _, x := range slices.Clone(g.open) {
		if x.r == r && x.n == n {
			x.cancel()
		}
	}
}

func (g *gate) finish(r *pass, o *dispatch.Outcome) {
	if r.over {
		return
	}
	r.over = true
	g.runs = slices.DeleteFunc(g.runs, func(v *pass) bool { return v == r })
	r.done(o)
}

// leave is that the client has closed its connection.
func (g *gate) leave(r *pass) {
	if r.over {
		return
	}
	g.p.feed(func() {
		if !r.over {
			g.step(r, dispatch.ClientGone{})
		}
	})
}

// lose is the end of the process: every request read and not answered is cut.
func (g *gate) lose() {
	g.shut = true
	runs := g.runs
	g.runs = nil
	for _, r := range runs {
		if !r.over {
			r.over = true
			r.done(nil)
		}
	}
	for _, x := range slices.Clone(g.open) {
		x.cancel()
	}
	for _, id := range slices.Sorted(maps.Keys(g.kept)) {
		for _, c := range g.kept[id] {
			c.l.conns--
		}
	}
	g.kept = map[string][]*conn{}
}

// stop is the planned stop: not ready at once, new connections for a while yet, then what was read is finished.
func (g *gate) stop() {
	p := g.p
	p.drains, g.drains = true, true
	p.w.note(p.name + " drains")
	p.step(stopping)
	p.later(acceptsFor, func() {
		g.shut = true
		g.tryEnd()
	})
}

func (g *gate) tryEnd() {
	if len(g.runs) > 0 {
		g.p.later(stopEvery, g.tryEnd)
		return
	}
	g.p.kill()
}
