// Checks of the outcomes that the simulated callers get.

package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"wallport/lab/check"
	"wallport/request/search"
	"wallport/runtime/clock"
)

func (c *callers) checkOutcome(p *process, in *search.Request, o *search.Outcome, sent clock.Micros, planned bool) {
	sim := c.sim
	if o == nil {
		sim.Checker.Count("outcome.cut", 1)
		sim.Checker.Aborted(p.name, sim.now, planned && !sim.killed[p.name])
		return
	}
	sim.logEvent(p.name + " " + o.ID + " " + string(in.Kind) + " " + in.Key + " " + string(o.Code) + " " + o.Why)
	sim.Checker.Count("outcome."+string(o.Code), 1)
	sim.Checker.Count("outcome."+string(in.Kind)+"."+string(o.Code), 1)
	if took := sim.now - sent; took > in.Deadline+100*clock.Millisecond {
		sim.Checker.Count("late", 1)
	}
	if o.Ran == "no" && in.Key != "" && (o.Code == search.CodeUnavailable || o.Code == search.CodeRateLimited || o.Code == search.CodeGivenUp) && c.soleAttempt(in) {
		sim.Checker.Refused(in.Key, sim.now)
	}
	if (o.Code == search.CodeUnavailable || o.Code == search.CodeRateLimited || o.Code == search.CodeGivenUp) && o.Retry == 0 {
		sim.Checker.Fail("no_retry_after", sim.now, "%s %s has no Retry-After", o.ID, o.Code)
	}
	sim.countHealed(o, sent)
	sim.countOtherPool(in, o)
	sim.Checker.CheckNotRejected(o, sim.now, c.allowedRejectionReason(in, o))
	if o.Code != search.CodeOK {
		return
	}
	sim.Checker.Served(sim.now)
	if o.Repeat {
		sim.Checker.Count("repeats_answered", 1)
		return
	}
	if in.Kind != search.KindSearch {
		sim.Checker.Single(in.Record, o, sim.now)
		return
	}
	if len(o.Missing) > 0 {
		sim.Checker.Count("partial", 1)
	}
	sim.Checker.Search(in.Index, in.Query, in.Limit, 75, o, sim.shardMaps, sim.now)
}

// soleAttempt reports whether no other attempt with the same key can be in flight or have run. Only then does an
// outcome that says "not run" hold for the key and not just for this attempt.
func (c *callers) soleAttempt(in *search.Request) bool {
	return c.repeat == 0 && c.sends[in.Key] <= 1 || in.Kind == search.KindSearch
}

// allowedRejectionReason returns why the fleet may reject a request, or "" if it may not. It may if the scenario allows
// rejections, if a needed shard has no server, if a server itself rejects the request, if a repeated request exceeds
// the retry budget, or if too few owners of the idempotency key can confirm the key.
func (c *callers) allowedRejectionReason(in *search.Request, o *search.Outcome) string {
	sim := c.sim
	if sim.Script.Text("may_refuse", "") != "" {
		return "scenario"
	}
	if in.AtMostOnce() && in.Key != "" && strings.HasPrefix(o.Why, search.ReasonTooFewKeyOwners) {
		return "claims"
	}
	if o.Why == search.ReasonRetryBudgetExhausted && c.sends[in.Key] > 1 {
		c.refused[in.Key] = true
		return "repeat"
	}
	if strings.HasSuffix(o.Why, "; "+string(search.ClassRejected)) && sim.serverRefuses(in) {
		// The server itself rejected the request, and no retry budget is left to try another server.
		return "server"
	}
	for _, n := range sim.shardMaps {
		shard := -1
		if in.Kind != search.KindSearch {
			shard = search.ShardOf(in.Record, n)
		}
		if sim.lacksServer(in.Index, n, shard) {
			return "no_server"
		}
	}
	return ""
}

// recordAttempt records that a request was sent to a server, and reports whether a request with the same key was
// sent to the same shard before.
func (c *callers) recordAttempt(a *search.Send) bool {
	key := a.Request.Key
	if key == "" {
		return false
	}
	c.attempted[key] = true
	at := fmt.Sprintf("%s/%d", key, a.Shard)
	previous := c.attempted[at]
	c.attempted[at] = true
	return previous
}

func (c *callers) finish() {
	for _, key := range slices.Sorted(maps.Keys(c.refused)) {
		if !c.attempted[key] {
			c.sim.Checker.Fail(check.ProperRejected, c.sim.now, "%s was rejected as a repeated request, but no request with this key was ever sent to a server", key)
		}
	}
	c.sim.Checker.Count("callers_sent", c.sent)
	c.sim.Checker.Count("callers_open", int64(c.inFlight))
}
