package dispatch

import "wallport/runtime/clock"

// sendReason is why an attempt is made.
type sendReason uint8

const (
	sendFirst sendReason = iota
	// sendRetry follows an attempt that failed or was rejected. It is charged to the retry budget.
	sendRetry
	// sendHedge is sent while another attempt is in flight. It is charged to the retry budget.
	sendHedge
	// sendReplacement follows an attempt of which no byte was written. It is not charged to the retry budget, since
	// it does not add to the requests that the pool receives.
	sendReplacement
)

// extra reports whether the attempt adds to the requests that the pool receives.
func (r sendReason) extra() bool { return r == sendRetry || r == sendHedge }

// send starts an attempt at a backend of the shard's pool and reports whether it did. If no backend is usable, or the
// retry budget or the backend's slow start does not allow the attempt, it sets the shard's reason.
func (m *StateMachine) send(now clock.Micros, shardIndex int, why sendReason) bool {
	shard := &m.shards[shardIndex]
	chosen, reason := m.selectFor(now, shard, why)
	if reason != "" {
		shard.setReason(reason)
		return false
	}
	if why == sendHedge && chosen.endpoint.backend.wouldQueue(now) {
		return false
	}
	if reason := m.reserve(now, shard, chosen, why); reason != "" {
		shard.setReason(reason)
		return false
	}
	switch why {
	case sendRetry, sendReplacement:
		m.transition(now, StateRetried, shard.reason)
	case sendHedge:
		m.dispatcher.count.hedges.Add(1)
		m.transition(now, StateRetried, "no answer yet")
	}
	m.checkSend(shard, chosen.endpoint)
	m.startAttempt(now, shardIndex, chosen, why)
	return true
}

// selectFor selects the endpoint of an attempt. If no endpoint is usable, it returns the reason.
func (m *StateMachine) selectFor(now clock.Micros, shard *shardRequest, why sendReason) (chosen selection, reason string) {
	snap := m.view.snapshot
	chosen = selectEndpoint(shard.pool, snap, shard.latency, shard.tried, m.atMostOnce(), now, &m.random)
	if chosen.endpoint == nil && shard.staleConn && why != sendHedge {
		// The backend only closed an idle connection, which says nothing about its health: it may be tried again.
		chosen = selectEndpoint(shard.pool, snap, shard.latency, nil, m.atMostOnce(), now, &m.random)
	}
	switch {
	case chosen.endpoint == nil:
		return chosen, reasonNoBackend
	case chosen.standing >= standingDown || why == sendHedge && chosen.standing != standingUsable:
		return chosen, reasonAllDown
	}
	return chosen, ""
}

// reserve charges the attempt to the retry budget and to the backend's slow start. If either is exhausted, it returns
// the reason.
func (m *StateMachine) reserve(now clock.Micros, shard *shardRequest, chosen selection, why sendReason) (reason string) {
	b, p := chosen.endpoint.backend, shard.pool
	warmingUp := p.warmingUp(now, b)
	if why.extra() && !m.dispatcher.withdrawRetry(p, now, m.nodes()) {
		return reasonBudgetUsedUp
	}
	if warmingUp && !b.slowStart.take(now, p.RampPerS, m.nodes()) {
		return reasonSlowStartUsed
	}
	return ""
}

func (m *StateMachine) startAttempt(now clock.Micros, shardIndex int, chosen selection, why sendReason) {
	shard := &m.shards[shardIndex]
	b, server := chosen.endpoint.backend, chosen.endpoint.listed
	n := len(m.attempts)
	m.attempts = append(m.attempts, attempt{
		shard: shardIndex, endpoint: chosen.endpoint, startedAt: now,
		load: b.estimatedLoad(now, shard.latency.median.Load()), inFlight: true,
	})
	shard.tried = append(shard.tried, b)
	shard.inFlight++
	shard.sent++
	left := m.deadline - now
	shard.hedgeAt = now + m.hedgeDelay(now, shard, chosen)
	b.attemptStarted(now)
	server.Gauge.Outstanding.Add(1)
	m.dispatcher.count.attempts.Add(1)
	m.trace.sent(now-m.startedAt, chosen, why)
	m.emit(Send{N: n, Backend: server, Pool: shard.pool.Pool, Timeout: left, AtMostOnce: m.atMostOnce(), Request: &m.request})
}

// hedgeDelay returns how long to wait for an attempt before sending a hedged request: the delay that the pool's
// latency suggests, but short enough to leave time for a second response before the latency target. For a backend on
// trial the delay is twice the median.
func (m *StateMachine) hedgeDelay(now clock.Micros, shard *shardRequest, chosen selection) clock.Micros {
	if chosen.standing == standingTrial {
		return max(minHedgeDelay, 2*shard.latency.median.Load())
	}
	left := m.deadline - now
	return max(minHedgeDelay, min(shard.latency.hedgeDelay(), max(m.targetAt-now, left/4)*2/5))
}

// mayHedge reports whether a hedged request may be sent for the shard.
func (m *StateMachine) mayHedge(shard *shardRequest) bool {
	return m.route.Repeatable && shard.inFlight == 1 && shard.sent < m.maxBackends() && shard.hedgeAt < m.deadline
}

// setReason sets the reason why no attempt was made, unless an earlier attempt has already set a reason.
func (shard *shardRequest) setReason(reason string) {
	if shard.reason == "" {
		shard.reason = reason
	}
}

// refreshPool switches to the newest view for the following attempts. It returns false if the current routing table
// no longer sends this request to the shard's pool.
func (m *StateMachine) refreshPool(shard *shardRequest) bool {
	v := m.dispatcher.currentView()
	if v == nil || v == m.view && shard.pool == v.pools[shard.pool.name] {
		return true
	}
	p := v.pools[shard.pool.name]
	if p == nil || !serves(v.snapshot.Routing.Match(m.request.Host, m.request.Path), shard.pool.name) {
		return false
	}
	m.view, shard.pool = v, p
	return true
}
