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
func (c *StateMachine) refreshPool(w *shardRequest) bool {
	v := c.dispatcher.currentView()
	if v == nil || v == c.view && w.pool == v.pools[w.pool.name] {
		return true
	}
	p := v.pools[w.pool.name]
	if p == nil || !serves(v.snapshot.Routing.Match(c.request.Host, c.request.Path), w.pool.name) {
		return false
	}
	c.view, w.pool = v, p
	return true
}

// send chooses a backend of a way's pool and asks it; false means that none could be asked.
func (c *StateMachine) send(now int64, i int, why sendReason) bool {
	w := &c.shards[i]
	ch := selectEndpoint(w.pool, c.view.snapshot, w.latency, w.tried, c.atMostOnce(), now, &c.random)
	if ch.endpoint == nil && w.staleConn && why != sendHedge {
		// Only a connection ended: the backend itself may be as good as any.
		ch = selectEndpoint(w.pool, c.view.snapshot, w.latency, nil, c.atMostOnce(), now, &c.random)
	}
	if ch.endpoint == nil {
		w.setReason("no backend may be asked")
		return false
	}
	if ch.standing >= standingDown || why == sendHedge && ch.standing != standingUsable {
		w.setReason("all backends are down")
		return false
	}
	if why == sendHedge && c.wouldQueue(now, ch.endpoint) {
		return false
	}
	b, cold := ch.endpoint.backend, w.pool.warmingUp(now, ch.endpoint.backend)
	if (why == sendRetry || why == sendHedge) && !c.dispatcher.takeRetry(w.pool, c.view.snapshot, now) {
		w.setReason("the budget of extra asks is used up")
		return false
	}
	if cold && !b.slowStart.take(now, w.pool.RampPerS, c.view.snapshot.Divisor) {
		w.setReason("a cold backend can bear no more")
		return false
	}
	switch why {
	case sendRetry, sendReplacement:
		c.transition(now, StateRetried, w.reason)
	case sendHedge:
		c.dispatcher.count.hedges.Add(1)
		c.transition(now, StateRetried, "no answer yet")
	}
	c.checkSend(w, ch.endpoint)
	n := len(c.attempts)
	c.attempts = append(c.attempts, attempt{shard: i, endpoint: ch.endpoint, startedAt: now, load: b.estimatedLoad(now, w.latency.median.Load()), inFlight: true})
	w.tried = append(w.tried, b)
	w.inFlight++
	w.sent++
	left := c.deadline - now
	w.hedgeAt = now + max(minHedgeDelay, min(w.latency.hedgeDelay(), max(c.targetAt-now, left/4)*2/5))
	if ch.standing == standingTrial {
		w.hedgeAt = now + max(minHedgeDelay, 2*w.latency.median.Load())
	}
	b.attemptStarted(now)
	ch.endpoint.server.Gauge.Outstanding.Add(1)
	ch.endpoint.server.Gauge.Requested.Add(1)
	c.dispatcher.count.attempts.Add(1)
	c.trace.sent(now-c.startedAt, n, i, ch, why)
	c.emit(Send{N: n, Server: ch.endpoint.server, Pool: w.pool.Pool, Timeout: left, AtMostOnce: c.atMostOnce(), Request: &c.request})
	return true
}

func (w *shardRequest) setReason(why string) {
	if w.reason == "" {
		w.reason = why
	}
}

// wouldQueue tells that an early ask would only wait in a queue.
func (c *StateMachine) wouldQueue(now int64, s *endpoint) bool {
	slots := s.backend.slots.Load()
	return slots > 0 && s.backend.estimatedLoad(now, 0) >= slots*1000
}

func (c *StateMachine) mayHedge(w *shardRequest) bool {
	return c.route.Repeatable && w.inFlight == 1 && w.sent < c.maxBackends() && w.hedgeAt < c.deadline
}

// closeAttempt takes note of an ask's end on its backend's gauges.
func (c *StateMachine) closeAttempt(now int64, n int, r *Result) {
	t := &c.attempts[n]
	w := &c.shards[t.shard]
	t.inFlight = false
	w.inFlight--
	c.checkGauges(w)
	b, g, d, nodes := t.endpoint.backend, t.endpoint.server.Gauge, c.dispatcher, c.view.snapshot.Divisor
	b.attemptEnded(now, r != nil && !r.TimedOut && r.Class != ClassNotSent)
	g.Outstanding.Add(-1)
	if r == nil {
		return
	}
	b.recordLoadReport(now, r.Load)
	took := now - t.startedAt
	ejected := false
	switch {
	case r.Class == ClassResponse && isSuccess(r):
		busy := t.load
		if r.Load.Known {
			busy = max(busy, int64(r.Load.Running+r.Load.Queued)*1000)
		}
		if b.recordSuccess(now, took, busy, w.latency) {
			w.pool.scheduleTrials(now, &c.random)
		}
		g.Succeeded(took)
	case r.Class == ClassRejected && r.WrongBackend:
		ejected = b.markReplaced(now)
	case r.Class == ClassRejected:
		d.count.rejected.Add(1)
		b.recordRejection(now, r.Load)
	case r.Class == ClassNotSent:
		d.count.notSent.Add(1)
		if !r.ReusedConn {
			ejected = b.recordFailure(now, failure{t.startedAt, 1, false}, nodes)
		}
	case r.Class == ClassInvalid:
		d.count.invalid.Add(1)
		ejected = b.recordFailure(now, failure{t.startedAt, 2, false}, nodes)
		g.Corrupted(now)
	case isStaleConn(r, took):
		d.count.failed.Add(1)
	default:
		d.count.failed.Add(1)
		ejected = b.recordFailure(now, failure{t.startedAt, 1, r.TimedOut && took > w.latency.responseTimeout()}, nodes)
		g.Failed(now)
	}
	if ejected {
		d.count.ejections.Add(1)
	}
}

// staleConnWithin is how soon the end of an idle connection shows.
const staleConnWithin = 10_000

// isStaleConn tells that an ask ended as it does when its connection had been idle and was forgotten.
func isStaleConn(r *Result, took int64) bool {
	return r.ReusedConn && !r.TimedOut && (r.Class == ClassNotSent || r.Class == ClassFailed && took < staleConnWithin)
}

// abandon gives up an ask whose answer is not wanted any more. Its backend ends its
// work, unless the time is over anyway.
func (c *StateMachine) abandon(now int64, n int) {
	t := &c.attempts[n]
	w := &c.shards[t.shard]
	if silent := now-t.startedAt > w.latency.responseTimeout(); silent || now >= c.deadline {
		// Silence for so long is a failure, and nothing is lost by breaking off.
		c.closeAttempt(now, n, nil)
		if t.endpoint.backend.recordFailure(now, failure{t.startedAt, 1, silent}, c.view.snapshot.Divisor) {
			c.dispatcher.count.ejections.Add(1)
		}
		c.dispatcher.count.cancelled.Add(1)
		c.emit(Cancel{N: n})
		return
	}
	t.abandoned = true
	c.dispatcher.count.abandoned.Add(1)
	c.emit(Abandon{N: n})
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
func isSuccess(r *Result) bool {
	return r.Class == ClassResponse && r.Status >= 200 && r.Status < 300 && r.Seal != ""
}
