// Admission: a request that no backend could take in time is refused at once,
// before anything is sent, so that its client may try again elsewhere in time.

package dispatch

// Pauses before a client's next try, in microseconds.
const (
	notReadyRetryAfter = 150_000
	minRetryAfter      = 10_000
	maxRetryAfter      = 150_000
	maxRetryAfterDown  = 1_000_000
)

func (m *StateMachine) admit(now int64) {
	p := m.plan
	if m.route.FansOut() {
		m.admitGathered(now)
		return
	}
	i := m.selectPool()
	if len(p.pools) > 1 && !m.poolAvailable(now, p.pools[i], p.latency[i]) {
		// A pool of which nothing may be asked: another of the route's pools will do.
		for j := range p.pools {
			if p.route.PoolWeights[j].Weight > 0 && m.poolAvailable(now, p.pools[j], p.latency[j]) {
				i = j
				break
			}
		}
	}
	m.shards, m.attempts = m.shardBuf[:], m.attemptBuf[:0]
	shard := &m.shards[0]
	shard.pool, shard.latency, shard.tried = p.pools[i], p.latency[i], shard.triedBuf[:0]
	m.dispatcher.replenishRetryBudget(shard.pool, m.view.snapshot, now, &m.random)
	best, pressure := m.assess(now, shard)
	if best >= standingDown {
		m.reject(now, "all backends are down", m.retryAfterDown(now))
		return
	}
	if m.overloaded(max(pressure, m.lagPressure(now)), m.random.Float64()) {
		m.reject(now, "every backend is too busy", m.retryAfter(now))
		return
	}
	m.transition(now, StateAdmitted, shard.pool.name)
	if !m.send(now, 0, sendFirst) {
		m.reject(now, shard.reason, m.retryAfter(now))
		return
	}
	m.state = StateSent
	m.scheduleTimer(now)
}

// selectPool draws one of the route's pools.
func (m *StateMachine) selectPool() int {
	if len(m.plan.pools) == 1 {
		return 0
	}
	name := m.route.PoolAt(m.random.Float64())
	for i, p := range m.plan.pools {
		if p.name == name {
			return i
		}
	}
	return 0
}

// overloaded decides by the pressure on a pool and a number drawn by chance whether it takes no request
// now; under the same pressure the less important ones are refused sooner.
func (m *StateMachine) overloaded(pressure, drawn float64) bool {
	if m.route.Priority > 1 {
		pressure *= 1.5
	}
	if drawn >= pressure {
		return false
	}
	m.dispatcher.count.overloaded.Add(1)
	return true
}

// Bounds of pressure: of the wait in the time that the work itself leaves up to the aim, and of what
// a backend takes before it turns away.
const (
	queueTimeLow    = 0.25
	queueTimeHigh   = 0.7
	utilizationLow  = 0.5
	utilizationHigh = 0.9
)

// assess tells how good the best backend of a pool stands that may be asked now, and the pressure on
// the pool: the share of requests to refuse since even the least busy of its backends is about to
// turn requests away or to answer late.
func (m *StateMachine) assess(now int64, shard *shardRequest) (best uint8, pressure float64) {
	best = standingNone
	mid, least := shard.latency.median.Load(), 2.0
	aim := max(3, m.targetAt-now)
	for i := range shard.pool.endpoints {
		if best == standingUsable && least <= 0 {
			break
		}
		e := &shard.pool.endpoints[i]
		b := e.backend
		at := e.standing(now, shard.latency, m.atMostOnce())
		if at >= standingDown || shard.pool.warmingUp(now, b) && !b.slowStart.available(now, shard.pool.RampPerS, m.view.snapshot.Divisor, &m.random) {
			continue
		}
		best = min(best, at)
		slots := b.slots.Load()
		if slots <= 0 {
			least = 0
		}
		if least <= 0 || at >= standingEjected {
			continue
		}
		work, busy := mid*b.expectedRatio(now)/1000, b.estimatedLoad(now, mid)
		room := max(aim-work, aim/3)
		p := (float64(queueTime(busy, slots, work))/float64(room) - queueTimeLow) / (queueTimeHigh - queueTimeLow)
		if full := b.rejectedLoad.Load(); full > 0 {
			p = max(p, (float64(busy)/float64(full)-utilizationLow)/(utilizationHigh-utilizationLow))
		}
		least = min(least, 1, p)
	}
	if least > 1 {
		// Of what looks bad nothing is known: it is tried.
		return best, 0
	}
	return best, max(0, least)
}

// retryAfter is when a client may come back: soon enough for its aim, and spread.
func (m *StateMachine) retryAfter(now int64) int64 {
	us := int64(maxRetryAfter)
	if m.route != nil {
		us = max(minRetryAfter, min(maxRetryAfter, m.route.TargetLatencyUs/4))
	}
	us += int64(m.random.IntN(int(us)))
	if m.deadline > now {
		us = min(us, (m.deadline-now)/3)
	}
	return max(us, 1000)
}

// retryAfterDown is when a client may come back whose pool is down: later, but inside its time.
func (m *StateMachine) retryAfterDown(now int64) int64 {
	left := m.deadline - now
	return max(m.retryAfter(now), min(maxRetryAfterDown, left/5+int64(m.random.IntN(int(max(1, left/8))))))
}

func (m *StateMachine) reject(now int64, why string, retry int64) {
	if retry <= 0 {
		retry = minRetryAfter
	}
	m.finish(now, StateRejected, Outcome{Status: 503, Code: "refused", Reason: why, RetryAfter: retry})
}
