// What happens as answers come or fail to come, for requests of one pool.

package dispatch

func (c *Chart) replied(now int64, v *Replied) {
	if v.N < 0 || v.N >= len(c.tries) || !c.tries[v.N].open {
		return
	}
	r := &v.Reply
	t := c.tries[v.N]
	w := &c.ways[t.way]
	if r.Class == ClassAnswer {
		c.check(t.way, r)
	}
	c.close(now, v.N, r)
	c.trace.reply(now-c.began, v.N, r)
	w.idle = w.idle || idle(r, now-t.at)
	if c.done || w.done || w.missing {
		return
	}
	switch {
	case good(r):
		w.done = true
		if c.route.Gathered() {
			w.part, w.seal = r.Body, r.Seal
		} else {
			w.keep(r)
		}
		for n := range c.tries {
			if o := &c.tries[n]; o.open && !o.left && o.way == t.way {
				c.leave(now, n)
			}
		}
	case r.Class == ClassNotSent:
		w.why = r.Why
		w.sent--
		w.unsent++
		c.reAsk(now, t.way, instead)
	case r.Class == ClassNotRun:
		w.why = "turned away: " + r.Why
		c.reAsk(now, t.way, again)
	default:
		w.ran = true
		w.keep(r)
		w.why = r.Why
		if c.once() {
			w.missing = true
		} else {
			c.reAsk(now, t.way, again)
		}
	}
	c.settle(now)
	c.wake(now)
}

// keep keeps an answer for the outcome. The copy leaves the event itself off the heap.
func (w *way) keep(r *Reply) {
	last := *r
	w.last = &last
}

// check makes garbage of an answer that cannot be one.
func (c *Chart) check(i int, r *Reply) {
	switch {
	case r.Status >= 200 && r.Status < 300 && r.Seal == "":
		r.Class, r.Why = ClassGarbage, "a success without its seal"
	case !c.route.Gathered() || r.Seal == "":
	default:
		for j := range c.ways {
			if w := &c.ways[j]; w.done && w.seal == r.Seal && j != i {
				r.Class, r.Why = ClassGarbage, "the seal of another part"
			}
		}
	}
}

// reAsk asks another backend if tries, time, budget and configuration allow.
func (c *Chart) reAsk(now int64, i int, why reason) {
	w := &c.ways[i]
	free := why == instead && w.unsent < unsentMost && w.sent == 0
	if why == instead && w.sent > 0 {
		// The ask that was not sent was itself extra, and paid for.
		free = w.unsent < unsentMost
	}
	if w.sent < c.most() && now < c.end && (why != instead || free) && c.renew(w) && c.ask(now, i, why) {
		return
	}
	w.missing = w.open == 0
}

func (c *Chart) due(now int64) {
	if c.state == StRead {
		c.begin(now)
		return
	}
	for i := range c.ways {
		w := &c.ways[i]
		if w.open == 0 || w.done || !c.mayHedge(w) || now < w.hedgeAt || now >= c.end {
			continue
		}
		if !c.renew(w) || !c.ask(now, i, early) {
			// Another look later: the budget or a backend may have come free.
			w.hedgeAt = now + max(hedgeLeast, w.stats.mid.Load())
		}
	}
	c.settle(now)
	c.wake(now)
}

// settle ends the chart once it is known how.
func (c *Chart) settle(now int64) {
	if c.done {
		return
	}
	if c.route.Gathered() {
		c.settleGathered(now)
		return
	}
	w := &c.ways[0]
	switch {
	case w.done:
		c.finish(now, StAnswered, Outcome{Status: w.last.Status, Code: "ok", Answer: w.last})
	case w.missing && !w.ran:
		c.refuse(now, w.why, c.retryAfter(now))
	case w.missing:
		c.fail(now, w)
	case now >= c.end:
		c.finish(now, StGivenUp, Outcome{Status: 504, Code: "given_up", Why: "no answer in time"})
	}
}

// fail passes on a backend's own failure, or tells of one in the node's own words. A backend's
// status that promises that nothing ran is not passed on: it has not given its word for it.
func (c *Chart) fail(now int64, w *way) {
	r := w.last
	if r.Class == ClassAnswer && r.Seal != "" && !promise(r.Status) {
		c.finish(now, StAnswered, Outcome{Status: r.Status, Code: "passed", Why: w.why, Answer: r})
		return
	}
	o := Outcome{Status: 502, Code: "given_up", Why: w.why}
	if c.once() {
		o.Code = "unknown"
	}
	c.finish(now, StGivenUp, o)
}

// promise tells that a status means that the request has not run and never will.
func promise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
