// Asking servers, and what each ask's end teaches their gauges.

package search

// again says why a shard is asked: for the first time, once more at the cost of
// the budget, or in place of a try of which nothing was written. The last adds
// nothing to what the pool gets and costs nothing; paid is a caller's repeat, which
// the budget has paid for already.
type again uint8

const (
	firstTry again = iota
	extra
	instead
	paid
)

// renew takes the newest snapshot for what is asked from now on, if it still
// serves the pinned cut: what has begun to leave since must not be picked.
func (c *Chart) renew() {
	cp := c.desk.Table()
	if x := cp.Indexes[c.in.Index]; x != nil && x.Cut.Name == c.cut && len(x.Shards) == len(c.ways) {
		c.cp, c.x = cp, x
	}
}

// ask picks a server for a shard and sends to it; a shard without one is missing.
func (c *Chart) ask(now int64, shard int, why again) {
	w := &c.ways[shard]
	ch, ok := pick(c.cp, c.x, c.x.Shards[shard], w.tried, now, &c.rnd)
	if !ok {
		w.missing = w.open == 0
		if w.why == "" {
			w.why = "no server may be asked"
		}
		return
	}
	switch why {
	case instead:
		c.to(now, StReAsked, w.why)
	case extra:
		if !c.desk.extra(c.cp, c.in.Index, now) {
			w.missing = w.open == 0
			w.why = "budget of repeated tries is used up; " + w.why
			return
		}
		c.to(now, StReAsked, w.why)
	case paid:
		c.to(now, StPicked, "a repeat of the caller's")
	default:
		c.to(now, StPicked, "")
		c.desk.budgetOf(c.in.Index).Add(earnedEach, c.desk.bound(c.cp, now))
	}
	n := len(c.tries)
	c.tries = append(c.tries, try{shard: shard, server: ch.Server, at: now, open: true})
	c.trace.pick(now, n, shard, ch, why != firstTry)
	w.tried = append(w.tried, ch.Server.ID)
	w.open++
	w.tries++
	left := c.end - now
	w.hedgeAt = now + min(max(c.x.Service.HedgeUs, 3*ch.Server.Gauge.Latency.Load()), max(left/2, 1))
	ch.Server.Gauge.Outstanding.Add(1)
	ch.Server.Gauge.Requested.Add(1)
	c.state = StAsked
	c.act(Ask{N: n, ID: c.ID() + "." + itoa(n), Server: ch.Server, Shard: shard, Shards: len(c.x.Shards), Cut: c.cut, Within: left, Inquiry: &c.in, Again: why == extra || why == paid, Instead: why == instead})
}

func itoa(n int) string { return string(rune('a'+n%26)) + string(rune('a'+n/26%26)) }

// close takes note of an ask's end on its server's gauge.
func (c *Chart) close(now int64, n int, r Reply) {
	t := &c.tries[n]
	if !t.open {
		return
	}
	t.open = false
	c.ways[t.shard].open--
	g := t.server.Gauge
	g.Outstanding.Add(-1)
	if r.Incarnation > g.Incarnation.Load() {
		g.Incarnation.Store(r.Incarnation)
	}
	switch r.Class {
	case ReplyOK, ReplyAbsent:
		g.Succeeded(now - t.at)
		g.Usage.Store(r.Usage)
	case ReplyGarbage:
		g.Corrupted(now)
		c.desk.Counts.Add("answers_garbage", 1)
	case ReplyFailed, ReplyNotWritten, ReplyShed:
		g.Failed(now)
	}
}

// late notes an answer that came after the outcome; it still teaches the gauge.
func (c *Chart) late(now int64, v Replied) {
	if v.N < len(c.tries) {
		c.close(now, v.N, v.Reply)
	}
}

// slowed lets an ask that was given up weigh on its server's latency.
func (c *Chart) slowed(now int64, t *try) {
	g := t.server.Gauge
	if took := now - t.at; took > g.Latency.Load() {
		g.Latency.Store(g.Latency.Load() + (took-g.Latency.Load())/8)
	}
}
