// What a chart checks of the promises to clients, while it runs.

package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// checkAsk looks at a backend that is about to be asked for a way.
func (c *Chart) checkAsk(w *way, s *seat) {
	r := c.desk.cfg.Invariants
	switch {
	case c.done:
		r.Violated(invariant.NoAskAfterEnd, "request %s", c.req.ID)
	case c.once() && (w.open > 0 || w.ran || w.done):
		r.Violated(invariant.RunsOnce, "request %s: %d asks under way, may have run: %t", c.req.ID, w.open, w.ran)
	case s.server.Health == snapshot.Draining || s.server.Health == snapshot.ZoneDrained:
		r.Violated(invariant.NotToLeaving, "request %s to %s", c.req.ID, s.server.ID)
	case w.sent >= c.most():
		r.Violated(invariant.BackendsWithinRoute, "request %s: %d backends of %s, %d may be", c.req.ID, w.sent+1, w.pool.name, c.most())
	}
}

// checkGauges looks at what is counted up and down for a way.
func (c *Chart) checkGauges(w *way) {
	if w.open < 0 {
		c.desk.cfg.Invariants.Violated(invariant.GaugesNotNegative, "request %s: %d asks under way", c.req.ID, w.open)
	}
}

// checkOutcome looks at what the client is about to be told.
func (c *Chart) checkOutcome(o *Outcome) {
	r := c.desk.cfg.Invariants
	switch {
	case c.route == nil:
	case promise(o.Status) && c.once() && c.mayRun():
		r.Violated(invariant.RefusedNotRun, "request %s is answered %d", c.req.ID, o.Status)
	case o.Code != "ok":
	case c.route.Gathered():
		c.checkParts(o)
	case o.Answer == nil || !good(o.Answer) || o.Answer.Status != o.Status:
		r.Violated(invariant.SuccessSealed, "request %s is answered %d", c.req.ID, o.Status)
	}
}

// mayRun tells that a backend has this request, or may have run it.
func (c *Chart) mayRun() bool {
	for i := range c.ways {
		if w := &c.ways[i]; w.open > 0 || w.ran || w.done {
			return true
		}
	}
	return false
}

// checkParts looks at a gathered success.
func (c *Chart) checkParts(o *Outcome) {
	r := c.desk.cfg.Invariants
	if len(o.Seals) < c.need() || len(o.Seals)+o.Missing != len(c.ways) {
		r.Violated(invariant.PartsComplete, "request %s has %d parts, %d missing of %d", c.req.ID, len(o.Seals), o.Missing, len(c.ways))
	}
	for i, seal := range o.Seals {
		if seal == "" {
			r.Violated(invariant.SuccessSealed, "request %s has a part without a seal", c.req.ID)
		}
		for _, other := range o.Seals[:i] {
			if other == seal {
				r.Violated(invariant.PartsComplete, "request %s names %s twice", c.req.ID, seal)
			}
		}
	}
}
