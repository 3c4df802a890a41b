// What a chart checks of the promises to clients, while it runs.

package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// checkSend looks at a backend that is about to be asked for a way.
func (c *StateMachine) checkSend(w *shardRequest, s *endpoint) {
	r := c.dispatcher.cfg.Invariants
	switch {
	case c.finished:
		r.Violated(invariant.NoSendAfterOutcome, "request %s", c.request.ID)
	case c.atMostOnce() && (w.inFlight > 0 || w.mayHaveRun || w.succeeded):
		r.Violated(invariant.AtMostOnce, "request %s: %d asks under way, may have run: %t", c.request.ID, w.inFlight, w.mayHaveRun)
	case s.server.Health == snapshot.Draining || s.server.Health == snapshot.ZoneDrained:
		r.Violated(invariant.NoSendToDraining, "request %s to %s", c.request.ID, s.server.ID)
	case w.sent >= c.maxBackends():
		r.Violated(invariant.BackendsWithinRoute, "request %s: %d backends of %s, %d may be", c.request.ID, w.sent+1, w.pool.name, c.maxBackends())
	}
}

// checkGauges looks at what is counted up and down for a way.
func (c *StateMachine) checkGauges(w *shardRequest) {
	if w.inFlight < 0 {
		c.dispatcher.cfg.Invariants.Violated(invariant.GaugesNotNegative, "request %s: %d asks under way", c.request.ID, w.inFlight)
	}
}

// checkOutcome looks at what the client is about to be told.
func (c *StateMachine) checkOutcome(o *Outcome) {
	r := c.dispatcher.cfg.Invariants
	switch {
	case c.route == nil:
	case promisesNotRun(o.Status) && c.atMostOnce() && c.mayHaveRun():
		r.Violated(invariant.RejectedNotRun, "request %s is answered %d", c.request.ID, o.Status)
	case o.Code != "ok":
	case c.route.FansOut():
		c.checkGathered(o)
	case o.Response == nil || !isSuccess(o.Response) || o.Response.Status != o.Status:
		r.Violated(invariant.SuccessSealed, "request %s is answered %d", c.request.ID, o.Status)
	}
}

// mayHaveRun tells that a backend has this request, or may have run it.
func (c *StateMachine) mayHaveRun() bool {
	for i := range c.shards {
		if w := &c.shards[i]; w.inFlight > 0 || w.mayHaveRun || w.succeeded {
			return true
		}
	}
	return false
}

// checkGathered looks at a gathered success.
func (c *StateMachine) checkGathered(o *Outcome) {
	r := c.dispatcher.cfg.Invariants
	if len(o.Seals) < c.requiredShards() || len(o.Seals)+o.Missing != len(c.shards) {
		r.Violated(invariant.ShardsComplete, "request %s has %d parts, %d missing of %d", c.request.ID, len(o.Seals), o.Missing, len(c.shards))
	}
	for i, seal := range o.Seals {
		if seal == "" {
			r.Violated(invariant.SuccessSealed, "request %s has a part without a seal", c.request.ID)
		}
		for _, other := range o.Seals[:i] {
			if other == seal {
				r.Violated(invariant.ShardsComplete, "request %s names %s twice", c.request.ID, seal)
			}
		}
	}
}
