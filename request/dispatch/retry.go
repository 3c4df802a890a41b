// What happens as answers come or fail to come, for requests of one pool.

package dispatch

func (c *StateMachine) attemptDone(now int64, v *AttemptDone) {
	if v.N < 0 || v.N >= len(c.attempts) || !c.attempts[v.N].inFlight {
		return
	}
	r := &v.Result
	t := c.attempts[v.N]
	w := &c.shards[t.shard]
	if r.Class == ClassResponse {
		c.validate(t.shard, r)
	}
	c.closeAttempt(now, v.N, r)
	c.trace.ended(now-c.startedAt, v.N, r)
	w.staleConn = w.staleConn || isStaleConn(r, now-t.startedAt)
	if c.finished || w.succeeded || w.missing {
		return
	}
	switch {
	case isSuccess(r):
		w.succeeded = true
		if c.route.FansOut() {
			w.records, w.seal = r.Body, r.Seal
		} else {
			w.keepResult(r)
		}
		for n := range c.attempts {
			if o := &c.attempts[n]; o.inFlight && !o.abandoned && o.shard == t.shard {
				c.abandon(now, n)
			}
		}
	case r.Class == ClassNotSent:
		w.reason = r.Reason
		w.sent--
		w.unsent++
		c.retry(now, t.shard, sendReplacement)
	case r.Class == ClassRejected:
		w.reason = "turned away: " + r.Reason
		c.retry(now, t.shard, sendRetry)
	default:
		w.mayHaveRun = true
		w.keepResult(r)
		w.reason = r.Reason
		if c.atMostOnce() {
			w.missing = true
		} else {
			c.retry(now, t.shard, sendRetry)
		}
	}
	c.resolve(now)
	c.scheduleTimer(now)
}

// keepResult keeps an answer for the outcome. The copy leaves the event itself off the heap.
func (w *shardRequest) keepResult(r *Result) {
	last := *r
	w.lastResult = &last
}

// validate makes garbage of an answer that cannot be one.
func (c *StateMachine) validate(i int, r *Result) {
	switch {
	case r.Status >= 200 && r.Status < 300 && r.Seal == "":
		r.Class, r.Reason = ClassInvalid, "a success without its seal"
	case !c.route.FansOut() || r.Seal == "":
	default:
		for j := range c.shards {
			if w := &c.shards[j]; w.succeeded && w.seal == r.Seal && j != i {
				r.Class, r.Reason = ClassInvalid, "the seal of another part"
			}
		}
	}
}

// retry asks another backend if tries, time, budget and configuration allow.
func (c *StateMachine) retry(now int64, i int, why sendReason) {
	w := &c.shards[i]
	free := why == sendReplacement && w.unsent < maxUnsent && w.sent == 0
	if why == sendReplacement && w.sent > 0 {
		// The ask that was not sent was itself extra, and paid for.
		free = w.unsent < maxUnsent
	}
	if w.sent < c.maxBackends() && now < c.deadline && (why != sendReplacement || free) && c.refreshPool(w) && c.send(now, i, why) {
		return
	}
	w.missing = w.inFlight == 0
}

func (c *StateMachine) timerFired(now int64) {
	if c.state == StateRead {
		c.begin(now)
		return
	}
	for i := range c.shards {
		w := &c.shards[i]
		if w.inFlight == 0 || w.succeeded || !c.mayHedge(w) || now < w.hedgeAt || now >= c.deadline {
			continue
		}
		if !c.refreshPool(w) || !c.send(now, i, sendHedge) {
			// Another look later: the budget or a backend may have come free.
			w.hedgeAt = now + max(minHedgeDelay, w.latency.median.Load())
		}
	}
	c.resolve(now)
	c.scheduleTimer(now)
}

// resolve ends the chart once it is known how.
func (c *StateMachine) resolve(now int64) {
	if c.finished {
		return
	}
	if c.route.FansOut() {
		c.resolveGathered(now)
		return
	}
	w := &c.shards[0]
	switch {
	case w.succeeded:
		c.finish(now, StateResponded, Outcome{Status: w.lastResult.Status, Code: "ok", Response: w.lastResult})
	case w.missing && !w.mayHaveRun:
		c.reject(now, w.reason, c.retryAfter(now))
	case w.missing:
		c.passThroughOrFail(now, w)
	case now >= c.deadline:
		c.finish(now, StateFailed, Outcome{Status: 504, Code: "given_up", Reason: "no answer in time"})
	}
}

// passThroughOrFail passes on a backend's own failure, or tells of one in the node's own words. A backend's
// status that promises that nothing ran is not passed on: it has not given its word for it.
func (c *StateMachine) passThroughOrFail(now int64, w *shardRequest) {
	r := w.lastResult
	if r.Class == ClassResponse && r.Seal != "" && !promisesNotRun(r.Status) {
		c.finish(now, StateResponded, Outcome{Status: r.Status, Code: "passed", Reason: w.reason, Response: r})
		return
	}
	o := Outcome{Status: 502, Code: "given_up", Reason: w.reason}
	if c.atMostOnce() {
		o.Code = "unknown"
	}
	c.finish(now, StateFailed, o)
}

// promisesNotRun tells that a status means that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
