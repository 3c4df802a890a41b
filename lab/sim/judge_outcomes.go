// Checks of the responses that the simulated callers get.

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
	w := c.world
	if o == nil {
		w.Checker.Count("outcome.cut", 1)
		w.Checker.Aborted(p.name, w.now, planned && !w.killed[p.name])
		return
	}
	w.logEvent(p.name + " " + o.ID + " " + string(in.Kind) + " " + in.Key + " " + string(o.Code) + " " + o.Why)
	w.Checker.Count("outcome."+string(o.Code), 1)
	w.Checker.Count("outcome."+string(in.Kind)+"."+string(o.Code), 1)
	if took := w.now - sent; took > in.Deadline+100*clock.Millisecond {
		w.Checker.Count("late", 1)
	}
	if o.Ran == "no" && in.Key != "" && (o.Code == search.CodeUnavailable || o.Code == search.CodeRateLimited || o.Code == search.CodeGivenUp) && c.soleAttempt(in) {
		w.Checker.Refused(in.Key, w.now)
	}
	if (o.Code == search.CodeUnavailable || o.Code == search.CodeRateLimited || o.Code == search.CodeGivenUp) && o.Retry == 0 {
		w.Checker.Fail("no_retry_after", w.now, "%s %s has no Retry-After", o.ID, o.Code)
	}
	w.countHealed(o, sent)
	w.countOtherPool(in, o)
	w.Checker.Proper(o, w.now, c.rejectionExcuse(in, o))
	if o.Code != search.CodeOK {
		return
	}
	w.Checker.Served(w.now)
	if o.Repeat {
		w.Checker.Count("repeats_answered", 1)
		return
	}
	if in.Kind != search.KindSearch {
		w.Checker.Single(in.Record, o, w.now)
		return
	}
	if len(o.Missing) > 0 {
		w.Checker.Count("partial", 1)
	}
	w.Checker.Search(in.Index, in.Query, in.Limit, 75, o, w.shardMaps, w.now)
}

// soleAttempt reports whether no other attempt with the same key can be in flight or have run: only then does a
// rejection bind the key.
func (c *callers) soleAttempt(in *search.Request) bool {
	return c.repeat == 0 && c.sends[in.Key] <= 1 || in.Kind == search.KindSearch
}

// rejectionExcuse returns why the world excuses a rejection, or "": the scenario says so, a needed shard has no
// server, or the owners of the key cannot confirm it.
func (c *callers) rejectionExcuse(in *search.Request, o *search.Outcome) string {
	w := c.world
	if w.Script.Text("may_refuse", "") != "" {
		return "scenario"
	}
	if in.AtMostOnce() && in.Key != "" && strings.HasPrefix(o.Why, search.ReasonTooFewKeyOwners) {
		return "claims"
	}
	if o.Why == search.ReasonRetryBudgetExhausted && c.sends[in.Key] > 1 {
		c.refused[in.Key] = true
		return "repeat"
	}
	if strings.HasSuffix(o.Why, "; "+string(search.ClassRejected)) && w.serverRefuses(in) {
		// A server's own rejection with no budget left for another server: two rules meet here.
		return "server"
	}
	for _, n := range w.shardMaps {
		shard := -1
		if in.Kind != search.KindSearch {
			shard = search.ShardOf(in.Record, n)
		}
		if w.lacksServer(in.Index, n, shard) {
			return "no_server"
		}
	}
	return ""
}

// recordAttempt records that a server was asked, and reports whether one was asked the same before.
func (c *callers) recordAttempt(a *search.Send) bool {
	key := a.Request.Key
	if key == "" {
		return false
	}
	c.attempted[key] = true
	at := fmt.Sprintf("%s/%d", key, a.Shard)
	was := c.attempted[at]
	c.attempted[at] = true
	return was
}

func (c *callers) finish() {
	for _, key := range slices.Sorted(maps.Keys(c.refused)) {
		if !c.attempted[key] {
			c.world.Checker.Fail(check.ProperRejected, c.world.now, "%s was refused as a repeat and no server was ever asked", key)
		}
	}
	c.world.Checker.Count("callers_sent", c.sent)
	c.world.Checker.Count("callers_open", int64(c.open))
}
