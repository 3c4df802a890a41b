// Simulated callers send searches, reads, corrections and part fetches at a steady rate. Some of them repeat a
// request under the same idempotency key, possibly through another node.

package sim

import (
	"fmt"

	"wallport/control/config"
	"wallport/lab/records"
	"wallport/request/search"
	"wallport/runtime/clock"
)

type callers struct {
	sim    *Simulation
	rate   int64
	sent   int64
	ready  []*process
	repeat int64
	// repeatSearches is the percentage of searches and reads that carry a key and are repeated.
	repeatSearches int64
	// skew is the percentage of the requests that goes to the first two ready nodes; mix holds the weights of the
	// kinds, in the order of config.Kinds.
	skew int64
	mix  []int64
	// attempted holds the keys of requests that were sent to a server and, as "KEY/SHARD", the keys with the shards to
	// which they were sent.
	attempted map[string]bool
	// sends counts, for each key, the requests with this key that a node has read. refused holds the keys of repeated
	// requests that were rejected because the retry budget was exhausted.
	sends    map[string]int
	refused  map[string]bool
	inFlight int
	until    clock.Micros
}

func (c *callers) init(sim *Simulation) {
	c.sim, c.rate, c.repeat = sim, sim.Script.Int("rate", 100), sim.Script.Int("repeat_percent", 10)
	c.skew, c.mix = sim.Script.Int("skew", 0), []int64{8, 2, 1, 1}
	c.repeatSearches, c.attempted = sim.Script.Int("repeat_searches", 0), map[string]bool{}
	c.sends, c.refused = map[string]int{}, map[string]bool{}
	c.until = sim.Script.Int("seconds", 30)*clock.Second - sim.Shape.MaxDeadline - clock.Second
}

func (c *callers) begin() {
	c.sim.at(c.sim.Script.Int("callers_from_us", 10*clock.Second), func() { c.sendNext() })
	c.refreshReady()
}

// refreshReady updates the list of ready nodes about three times a second; it keeps the previous list if no node is
// ready.
func (c *callers) refreshReady() {
	c.sim.after(300*clock.Millisecond, c.refreshReady)
	if r := c.sim.platform.ready(); len(r) > 0 {
		c.ready = r
	}
}

func (c *callers) sendNext() {
	if c.sim.now >= c.until || c.rate <= 0 {
		return
	}
	gap := clock.Second / c.rate
	c.sim.after(gap/2+c.sim.rng.Int64N(gap+1), c.sendNext)
	if len(c.ready) == 0 {
		c.sim.Checker.Count("callers_without_node", 1)
		return
	}
	c.sent++
	rnd := c.sim.rng
	s := c.sim.Shape
	in := search.Request{
		Index: s.Index, Kind: search.KindSearch, Query: fmt.Sprintf("q%d", rnd.IntN(200)), Limit: 5 + rnd.IntN(20),
		Record: records.ID(rnd.IntN(records.Size)), Deadline: s.MinDeadline + rnd.Int64N(s.MaxDeadline-s.MinDeadline+1),
	}
	in.Kind = c.drawKind()
	if other := c.sim.otherIndex(); other != "" && rnd.IntN(3) == 0 {
		in.Index = other
	}
	if in.AtMostOnce() {
		in.Key = fmt.Sprintf("key-%d", c.sent)
		in.Body = "correction"
		in.Digest = search.RequestDigest(&in)
	}
	attempts := 1
	in.FirstAttempt = in.AtMostOnce() && c.sim.Script.Text("first_word", "") == "yes"
	if in.AtMostOnce() && rnd.Int64N(100) < c.repeat {
		attempts += 1 + rnd.IntN(3)
	}
	if !in.AtMostOnce() && in.Index == s.Index && c.repeatSearches > 0 && rnd.Int64N(100) < c.repeatSearches {
		in.Key = fmt.Sprintf("key-%d", c.sent)
		attempts += 1 + rnd.IntN(3)
	}
	c.send(in, attempts, rnd.Int64N(2) == 0)
}

// send sends a request to a node. A caller that repeats the request uses the same key. An eager caller repeats the
// request without waiting for the response; other callers repeat it after a failure.
func (c *callers) send(in search.Request, attempts int, eager bool) {
	sim := c.sim
	p := c.pickNode()
	sent := sim.now
	c.inFlight++
	repeat := in
	repeat.FirstAttempt = false
	retry := func(d clock.Micros) {
		if attempts > 1 {
			sim.after(d, func() { c.send(repeat, attempts-1, eager) })
		}
	}
	if eager {
		retry(sim.rng.Int64N(c.sim.Script.Int("eager_us", 300*clock.Millisecond)))
	}
	incarnation := p.incarnation
	sim.after(sim.net.latency(), func() {
		if !p.up || p.incarnation != incarnation || !p.snapshots.Current().Ready() || p.draining && !p.frozen && sim.rng.IntN(2) == 0 {
			c.inFlight--
			sim.Checker.Count("callers_refused_connection", 1)
			if in.Key != "" && sim.now < c.until {
				// No node has read the request, so it is sent again until a node reads it.
				sim.after(200*clock.Millisecond+sim.rng.Int64N(600*clock.Millisecond), func() { c.send(in, attempts, eager) })
			}
			return
		}
		planned := p.draining
		c.sends[in.Key]++
		read := sim.now
		p.frontend.accept(in, func(o *search.Outcome) {
			sim.Checker.Arrived(string(in.Kind), read, o == nil || o.Code != search.CodeRateLimited || o.Why == search.ReasonRetryBudgetExhausted)
			c.inFlight--
			c.checkOutcome(p, &in, o, sent, planned || p.draining)
			switch {
			case o == nil && in.Key != "":
				// The request was aborted without a response; every caller retries in that case.
				sim.after(500*clock.Millisecond, func() { c.send(repeat, max(attempts, 12), false) })
			case !eager && (o == nil || o.Code != search.CodeOK):
				retry(500 * clock.Millisecond)
			}
		})
	})
}

// drawKind draws a kind of request by the weights of mix: two thirds are searches unless the scenario sets other
// weights.
func (c *callers) drawKind() search.Kind {
	sum := int64(0)
	for _, n := range c.mix {
		sum += n
	}
	r := c.sim.rng.Int64N(sum)
	for i, n := range c.mix {
		if r -= n; r < 0 {
			return search.Kind(config.Kinds[i])
		}
	}
	return search.KindSearch
}

func (c *callers) pickNode() *process {
	if c.skew > 0 && c.sim.rng.Int64N(100) < c.skew {
		return c.ready[c.sim.rng.IntN(min(2, len(c.ready)))]
	}
	return c.ready[c.sim.rng.IntN(len(c.ready))]
}
