// The chart itself: what is common to requests of one pool and to gathered ones.

package dispatch

import (
	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/random"
)

type way struct {
	pool  *pool
	stats *stats
	tried []*backend
	buf   [3]*backend
	part  []byte
	seal  string
	done  bool
	// missing tells that nothing more will come.
	missing bool
	// best and busy are what a look at the pool found.
	best uint8
	busy bool
	// open counts asks under way; sent those that count against max_backends; unsent the others.
	open, sent, unsent int
	// idle tells that an ask failed as it does when only its connection had been forgotten.
	idle bool
	// ran tells that an ask may have run.
	ran     bool
	hedgeAt int64
	last    *Reply
	why     string
}

type try struct {
	way  int
	seat *seat
	at   int64
	// busy is what its backend was thought to have under way then, in thousandths of requests.
	busy int64
	open bool
	// left tells that its answer is not wanted any more.
	left bool
}

// Chart is one request under way. It is used by one thread at a time.
type Chart struct {
	desk  *Desk
	req   Request
	state State
	view  *view
	plan  *plan
	route *routing.Route
	began int64
	// aim is when an answer stops earning its full worth, end when the chart must have answered.
	aim, end int64
	woke     int64
	ways     []way
	tries    []try
	done     bool
	rnd      random.Source
	acts     []Act
	trace    trace
	one      [1]way
	two      [2]try
}

// NewChart makes the chart of a request.
func NewChart(d *Desk, r Request, now int64) *Chart {
	c := &Chart{desk: d, req: r, began: now, state: StRead, rnd: d.random()}
	if r.ReadUs != 0 {
		c.began = r.ReadUs
	}
	return c
}

// State is the state that the request is in.
func (c *Chart) State() State { return c.state }

// Done tells that the outcome has been given.
func (c *Chart) Done() bool { return c.done }

// Step takes one event and returns what is to be done, in order; it holds until the next Step.
func (c *Chart) Step(now int64, ev Event) []Act {
	c.acts = c.acts[:0]
	switch v := ev.(type) {
	case Begin:
		if !c.done {
			c.begin(now)
		}
	case Replied:
		c.replied(now, &v)
	case Due:
		if !c.done {
			c.desk.lag.note(now, now-c.woke)
			c.due(now)
		}
	case Gone:
		c.gone(now)
	}
	return c.acts
}

// gone ends a request for which nobody waits.
func (c *Chart) gone(now int64) {
	if c.done {
		return
	}
	for n := range c.tries {
		if t := &c.tries[n]; t.open && !t.left {
			if c.once() {
				t.left = true
				c.act(Leave{N: n})
				continue
			}
			c.close(now, n, nil)
			c.act(Cancel{N: n})
		}
	}
	c.finish(now, StGivenUp, Outcome{Code: "client_gone", Why: "the client has gone"})
}

func (c *Chart) act(a Act) { c.acts = append(c.acts, a) }

func (c *Chart) to(now int64, s State, note string) {
	c.state = s
	c.trace.add(now-c.began, s, note)
}

// Times of a request, in microseconds.
const (
	staleLook = 10_000
	// lateLook is how often a gathered request past its aim looks whether it is to wait on.
	lateLook = 20_000
	// wayLeast and wayMost bound what is kept of a client's time for the way there and back.
	wayLeast = 8_000
	wayMost  = 25_000
	// aimWay is what is kept of the target latency for the client's own links.
	aimWay = 8_000
	// timeoutLeast is kept of the route's own timeout.
	timeoutLeast = 2_000
)

func (c *Chart) begin(now int64) {
	if cp := c.desk.cfg.Table(); cp != nil && cp.Stale && now-c.began < snapshot.MaxStale {
		c.wakeAt(now, now+staleLook)
		return
	}
	c.desk.count.requests.Add(1)
	if c.woke == 0 {
		c.desk.lag.note(now, now-c.began)
	}
	if c.view = c.desk.now(); c.view == nil {
		c.refuse(now, "this node has no routing table yet", notReadyRetry)
		return
	}
	r := c.view.cp.Routing.Match(c.req.Host, c.req.Path)
	if r == nil {
		c.finish(now, StRefused, Outcome{Status: 404, Code: "no_route", Why: "no route"})
		return
	}
	c.route, c.plan = r, c.desk.plan(c.view, r)
	c.times()
	c.to(now, StMatched, r.Name)
	if now >= c.end {
		c.refuse(now, "the time was over before a backend was asked", 0)
		return
	}
	c.admit(now)
}

// times sets when the request is to be answered.
func (c *Chart) times() {
	r := c.route
	c.end = c.began + r.TimeoutUs - min(r.TimeoutUs/4, timeoutLeast)
	if b := c.req.BudgetUs; b > 0 {
		c.end = min(c.end, c.began+b-min(b/4, max(wayLeast, min(wayMost, b/25))))
	}
	c.aim = c.began + r.TargetLatencyUs - min(r.TargetLatencyUs/4, aimWay)
	if r.TargetLatencyUs <= 0 {
		c.aim = c.end
	}
	c.aim = min(c.aim, c.end)
}

func (c *Chart) once() bool { return !c.route.Repeatable && !c.route.Gathered() }

func (c *Chart) most() int { return max(1, int(c.route.MaxBackends)) }

func (c *Chart) finish(now int64, s State, o Outcome) {
	if c.done {
		return
	}
	c.done = true
	c.checkOutcome(&o)
	for n := range c.tries {
		if t := &c.tries[n]; t.open && !t.left {
			c.leave(now, n)
		}
	}
	c.to(now, s, o.Code)
	c.desk.outcome(o.Code)
	c.desk.Traces.keep(c, now, &o)
	c.act(Finish{Outcome: o})
}

func (c *Chart) wakeAt(now, at int64) {
	c.woke = max(at, now+1)
	c.act(Wake{At: c.woke})
}

// wake asks for the next moment at which something is to be decided without an answer.
func (c *Chart) wake(now int64) {
	if c.done {
		return
	}
	at := c.end
	if c.route.Gathered() && c.aim > now {
		at = min(at, c.aim)
	} else if c.route.Gathered() {
		at = min(at, now+lateLook)
	}
	for i := range c.ways {
		if w := &c.ways[i]; w.open > 0 && !w.done && c.mayHedge(w) {
			at = min(at, w.hedgeAt)
		}
	}
	for n := range c.tries {
		// An ask on trial holds up no longer than it is hoped for.
		if t := &c.tries[n]; t.open && !t.left && c.route.Gathered() && t.seat.b.level.Load() > 0 {
			if ends := c.hopeEnds(t); ends > now {
				at = min(at, ends)
			}
		}
	}
	// A moment asked for before that comes sooner will do: nothing is lost by one look too many.
	if c.woke <= now || at < c.woke {
		c.wakeAt(now, at)
	}
}
