// Asking backends, and what the end of each ask teaches.

package dispatch

// sendReason is why a pool is asked: for the first time, again at the cost of the
// budget, early while another ask is under way, or in place of one of which
// nothing was written, which adds nothing to what the pool gets.
type sendReason uint8

const (
	sendFirst sendReason = iota
	sendRetry
	sendHedge
	sendReplacement
)

// maxUnsent bounds asks of which nothing was written.
const maxUnsent = 4

// refreshPool takes the newest view for what is asked from now on; false means that the
// configuration in force sends this request to the way's pool no more.
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

// send chooses a backend of a way's pool and asks it; false means that none could be asked.
func (m *StateMachine) send(now int64, i int, why sendReason) bool {
	shard := &m.shards[i]
	ch := selectEndpoint(shard.pool, m.view.snapshot, shard.latency, shard.tried, m.atMostOnce(), now, &m.random)
	if ch.endpoint == nil && shard.staleConn && why != sendHedge {
		// Only a connection ended: the backend itself may be as good as any.
		ch = selectEndpoint(shard.pool, m.view.snapshot, shard.latency, nil, m.atMostOnce(), now, &m.random)
	}
	if ch.endpoint == nil {
		shard.setReason("no backend may be asked")
		return false
	}
	if ch.standing >= standingDown || why == sendHedge && ch.standing != standingUsable {
		shard.setReason("all backends are down")
		return false
	}
	if why == sendHedge && m.wouldQueue(now, ch.endpoint) {
		return false
	}
	b, cold := ch.endpoint.backend, shard.pool.warmingUp(now, ch.endpoint.backend)
	if (why == sendRetry || why == sendHedge) && !m.dispatcher.takeRetry(shard.pool, m.view.snapshot, now) {
		shard.setReason("the budget of extra asks is used up")
		return false
	}
	if cold && !b.slowStart.take(now, shard.pool.RampPerS, m.view.snapshot.Divisor) {
		shard.setReason("a cold backend can bear no more")
		return false
	}
	switch why {
	case sendRetry, sendReplacement:
		m.transition(now, StateRetried, shard.reason)
	case sendHedge:
		m.dispatcher.count.hedges.Add(1)
		m.transition(now, StateRetried, "no answer yet")
	}
	m.checkSend(shard, ch.endpoint)
	n := len(m.attempts)
	m.attempts = append(m.attempts, attempt{shard: i, endpoint: ch.endpoint, startedAt: now, load: b.estimatedLoad(now, shard.latency.median.Load()), inFlight: true})
	shard.tried = append(shard.tried, b)
	shard.inFlight++
	shard.sent++
	left := m.deadline - now
	shard.hedgeAt = now + max(minHedgeDelay, min(shard.latency.hedgeDelay(), max(m.targetAt-now, left/4)*2/5))
	if ch.standing == standingTrial {
		shard.hedgeAt = now + max(minHedgeDelay, 2*shard.latency.median.Load())
	}
	b.attemptStarted(now)
	ch.endpoint.server.Gauge.Outstanding.Add(1)
	ch.endpoint.server.Gauge.Requested.Add(1)
	m.dispatcher.count.attempts.Add(1)
	m.trace.sent(now-m.startedAt, n, i, ch, why)
	m.emit(Send{N: n, Server: ch.endpoint.server, Pool: shard.pool.Pool, Timeout: left, AtMostOnce: m.atMostOnce(), Request: &m.request})
	return true
}

func (shard *shardRequest) setReason(why string) {
	if shard.reason == "" {
		shard.reason = why
	}
}

// wouldQueue tells that an early ask would only wait in a queue.
func (m *StateMachine) wouldQueue(now int64, e *endpoint) bool {
	slots := e.backend.slots.Load()
	return slots > 0 && e.backend.estimatedLoad(now, 0) >= slots*1000
}

func (m *StateMachine) mayHedge(shard *shardRequest) bool {
	return m.route.Repeatable && shard.inFlight == 1 && shard.sent < m.maxBackends() && shard.hedgeAt < m.deadline
}

// closeAttempt takes note of an ask's end on its backend's gauges.
func (m *StateMachine) closeAttempt(now int64, n int, result *Result) {
	att := &m.attempts[n]
	shard := &m.shards[att.shard]
	att.inFlight = false
	shard.inFlight--
	m.checkGauges(shard)
	b, g, d, nodes := att.endpoint.backend, att.endpoint.server.Gauge, m.dispatcher, m.view.snapshot.Divisor
	b.attemptEnded(now, result != nil && !result.TimedOut && result.Class != ClassNotSent)
	g.Outstanding.Add(-1)
	if result == nil {
		return
	}
	b.recordLoadReport(now, result.Load)
	took := now - att.startedAt
	ejected := false
	switch {
	case result.Class == ClassResponse && isSuccess(result):
		busy := att.load
		if result.Load.Known {
			busy = max(busy, int64(result.Load.Running+result.Load.Queued)*1000)
		}
		if b.recordSuccess(now, took, busy, shard.latency) {
			shard.pool.scheduleTrials(now, &m.random)
		}
		g.Succeeded(took)
	case result.Class == ClassRejected && result.WrongBackend:
		ejected = b.markReplaced(now)
	case result.Class == ClassRejected:
		d.count.rejected.Add(1)
		b.recordRejection(now, result.Load)
	case result.Class == ClassNotSent:
		d.count.notSent.Add(1)
		if !result.ReusedConn {
			ejected = b.recordFailure(now, failure{att.startedAt, 1, false}, nodes)
		}
	case result.Class == ClassInvalid:
		d.count.invalid.Add(1)
		ejected = b.recordFailure(now, failure{att.startedAt, 2, false}, nodes)
		g.Corrupted(now)
	case isStaleConn(result, took):
		d.count.failed.Add(1)
	default:
		d.count.failed.Add(1)
		ejected = b.recordFailure(now, failure{att.startedAt, 1, result.TimedOut && took > shard.latency.responseTimeout()}, nodes)
		g.Failed(now)
	}
	if ejected {
		d.count.ejections.Add(1)
	}
}

// staleConnWithin is how soon the end of an idle connection shows.
const staleConnWithin = 10_000

// isStaleConn tells that an ask ended as it does when its connection had been idle and was forgotten.
func isStaleConn(result *Result, took int64) bool {
	return result.ReusedConn && !result.TimedOut && (result.Class == ClassNotSent || result.Class == ClassFailed && took < staleConnWithin)
}

// abandon gives up an ask whose answer is not wanted any more. Its backend ends its
// work, unless the time is over anyway.
func (m *StateMachine) abandon(now int64, n int) {
	att := &m.attempts[n]
	shard := &m.shards[att.shard]
	if silent := now-att.startedAt > shard.latency.responseTimeout(); silent || now >= m.deadline {
		// Silence for so long is a failure, and nothing is lost by breaking off.
		m.closeAttempt(now, n, nil)
		if att.endpoint.backend.recordFailure(now, failure{att.startedAt, 1, silent}, m.view.snapshot.Divisor) {
			m.dispatcher.count.ejections.Add(1)
		}
		m.dispatcher.count.cancelled.Add(1)
		m.emit(Cancel{N: n})
		return
	}
	att.abandoned = true
	m.dispatcher.count.abandoned.Add(1)
	m.emit(Abandon{N: n})
}

// recordRejection notes that a backend turned an ask away: it is full, by its own word.
func (b *backend) recordRejection(now int64, l LoadReport) {
	n := 2000 * max(1, b.slots.Load())
	if l.Known {
		n = 1000 * int64(l.Running+l.Queued)
		if l.Running+l.Queued >= l.Slots {
			b.rejectedLoad.Store(n)
		}
	}
	b.reportedLoad.Store(max(n, b.reportedLoad.Load()))
	b.reportedAt.Store(now)
}

// isSuccess tells that an answer is a success that may be passed on.
func isSuccess(result *Result) bool {
	return result.Class == ClassResponse && result.Status >= 200 && result.Status < 300 && result.Seal != ""
}
