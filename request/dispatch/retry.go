// What happens as answers come or fail to come, for requests of one pool.

package dispatch

func (m *StateMachine) attemptDone(now int64, v *AttemptDone) {
	if v.N < 0 || v.N >= len(m.attempts) || !m.attempts[v.N].inFlight {
		return
	}
	result := &v.Result
	t := m.attempts[v.N]
	shard := &m.shards[t.shard]
	if result.Class == ClassResponse {
		m.validate(t.shard, result)
	}
	m.closeAttempt(now, v.N, result)
	m.trace.ended(now-m.startedAt, v.N, result)
	shard.staleConn = shard.staleConn || isStaleConn(result, now-t.startedAt)
	if m.finished || shard.succeeded || shard.missing {
		return
	}
	switch {
	case isSuccess(result):
		shard.succeeded = true
		if m.route.FansOut() {
			shard.records, shard.seal = result.Body, result.Seal
		} else {
			shard.keepResult(result)
		}
		for n := range m.attempts {
			if o := &m.attempts[n]; o.inFlight && !o.abandoned && o.shard == t.shard {
				m.abandon(now, n)
			}
		}
	case result.Class == ClassNotSent:
		shard.reason = result.Reason
		shard.sent--
		shard.unsent++
		m.retry(now, t.shard, sendReplacement)
	case result.Class == ClassRejected:
		shard.reason = "turned away: " + result.Reason
		m.retry(now, t.shard, sendRetry)
	default:
		shard.mayHaveRun = true
		shard.keepResult(result)
		shard.reason = result.Reason
		if m.atMostOnce() {
			shard.missing = true
		} else {
			m.retry(now, t.shard, sendRetry)
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// keepResult keeps an answer for the outcome. The copy leaves the event itself off the heap.
func (shard *shardRequest) keepResult(result *Result) {
	last := *result
	shard.lastResult = &last
}

// validate makes garbage of an answer that cannot be one.
func (m *StateMachine) validate(i int, result *Result) {
	switch {
	case result.Status >= 200 && result.Status < 300 && result.Seal == "":
		result.Class, result.Reason = ClassInvalid, "a success without its seal"
	case !m.route.FansOut() || result.Seal == "":
	default:
		for j := range m.shards {
			if shard := &m.shards[j]; shard.succeeded && shard.seal == result.Seal && j != i {
				result.Class, result.Reason = ClassInvalid, "the seal of another part"
			}
		}
	}
}

// retry asks another backend if tries, time, budget and configuration allow.
func (m *StateMachine) retry(now int64, i int, why sendReason) {
	shard := &m.shards[i]
	free := why == sendReplacement && shard.unsent < maxUnsent && shard.sent == 0
	if why == sendReplacement && shard.sent > 0 {
		// The ask that was not sent was itself extra, and paid for.
		free = shard.unsent < maxUnsent
	}
	if shard.sent < m.maxBackends() && now < m.deadline && (why != sendReplacement || free) && m.refreshPool(shard) && m.send(now, i, why) {
		return
	}
	shard.missing = shard.inFlight == 0
}

func (m *StateMachine) timerFired(now int64) {
	if m.state == StateRead {
		m.begin(now)
		return
	}
	for i := range m.shards {
		shard := &m.shards[i]
		if shard.inFlight == 0 || shard.succeeded || !m.mayHedge(shard) || now < shard.hedgeAt || now >= m.deadline {
			continue
		}
		if !m.refreshPool(shard) || !m.send(now, i, sendHedge) {
			// Another look later: the budget or a backend may have come free.
			shard.hedgeAt = now + max(minHedgeDelay, shard.latency.median.Load())
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// resolve ends the chart once it is known how.
func (m *StateMachine) resolve(now int64) {
	if m.finished {
		return
	}
	if m.route.FansOut() {
		m.resolveGathered(now)
		return
	}
	shard := &m.shards[0]
	switch {
	case shard.succeeded:
		m.finish(now, StateResponded, Outcome{Status: shard.lastResult.Status, Code: "ok", Response: shard.lastResult})
	case shard.missing && !shard.mayHaveRun:
		m.reject(now, shard.reason, m.retryAfter(now))
	case shard.missing:
		m.passThroughOrFail(now, shard)
	case now >= m.deadline:
		m.finish(now, StateFailed, Outcome{Status: 504, Code: "given_up", Reason: "no answer in time"})
	}
}

// passThroughOrFail passes on a backend's own failure, or tells of one in the node's own words. A backend's
// status that promises that nothing ran is not passed on: it has not given its word for it.
func (m *StateMachine) passThroughOrFail(now int64, shard *shardRequest) {
	result := shard.lastResult
	if result.Class == ClassResponse && result.Seal != "" && !promisesNotRun(result.Status) {
		m.finish(now, StateResponded, Outcome{Status: result.Status, Code: "passed", Reason: shard.reason, Response: result})
		return
	}
	o := Outcome{Status: 502, Code: "given_up", Reason: shard.reason}
	if m.atMostOnce() {
		o.Code = "unknown"
	}
	m.finish(now, StateFailed, o)
}

// promisesNotRun tells that a status means that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
