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

func (c *StateMachine) admit(now int64) {
	p := c.plan
	if c.route.FansOut() {
		c.admitGathered(now)
		return
	}
	i := c.selectPool()
	if len(p.pools) > 1 && !c.poolAvailable(now, p.pools[i], p.latency[i]) {
		// A pool of which nothing may be asked: another of the route's pools will do.
		for j := range p.pools {
			if p.route.PoolWeights[j].Weight > 0 && c.poolAvailable(now, p.pools[j], p.latency[j]) {
				i = j
				break
			}
		}
	}
	c.shards, c.attempts = c.shardBuf[:], c.attemptBuf[:0]
	w := &c.shards[0]
	w.pool, w.latency, w.tried = p.pools[i], p.latency[i], w.triedBuf[:0]
	c.dispatcher.replenishRetryBudget(w.pool, c.view.snapshot, now, &c.random)
	best, pressure := c.assess(now, w)
	if best >= standingDown {
		c.reject(now, "all backends are down", c.retryAfterDown(now))
		return
	}
	if c.overloaded(max(pressure, c.lagPressure(now)), c.random.Float64()) {
		c.reject(now, "every backend is too busy", c.retryAfter(now))
		return
	}
	c.transition(now, StateAdmitted, w.pool.name)
	if !c.send(now, 0, sendFirst) {
		c.reject(now, w.reason, c.retryAfter(now))
		return
	}
	c.state = StateSent
	c.scheduleTimer(now)
}

// selectPool draws one of the route's pools.
func (c *StateMachine) selectPool() int {
	if len(c.plan.pools) == 1 {
		return 0
	}
	name := c.route.PoolAt(c.random.Float64())
	for i, p := range c.plan.pools {
		if p.name == name {
			return i
		}
	}
	return 0
}

// overloaded decides by the pressure on a pool and a number drawn by chance whether it takes no request
// now; under the same pressure the less important ones are refused sooner.
func (c *StateMachine) overloaded(pressure, drawn float64) bool {
	if c.route.Priority > 1 {
		pressure *= 1.5
	}
	if drawn >= pressure {
		return false
	}
	c.dispatcher.count.overloaded.Add(1)
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
func (c *StateMachine) assess(now int64, w *shardRequest) (best uint8, pressure float64) {
	best = standingNone
	mid, least := w.latency.median.Load(), 2.0
	aim := max(3, c.targetAt-now)
	for i := range w.pool.endpoints {
		if best == standingUsable && least <= 0 {
			break
		}
		s := &w.pool.endpoints[i]
		b := s.backend
		at := s.standing(now, w.latency, c.atMostOnce())
		if at >= standingDown || w.pool.warmingUp(now, b) && !b.slowStart.available(now, w.pool.RampPerS, c.view.snapshot.Divisor, &c.random) {
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
func (c *StateMachine) retryAfter(now int64) int64 {
	us := int64(maxRetryAfter)
	if c.route != nil {
		us = max(minRetryAfter, min(maxRetryAfter, c.route.TargetLatencyUs/4))
	}
	us += int64(c.random.IntN(int(us)))
	if c.deadline > now {
		us = min(us, (c.deadline-now)/3)
	}
	return max(us, 1000)
}

// retryAfterDown is when a client may come back whose pool is down: later, but inside its time.
func (c *StateMachine) retryAfterDown(now int64) int64 {
	left := c.deadline - now
	return max(c.retryAfter(now), min(maxRetryAfterDown, left/5+int64(c.random.IntN(int(max(1, left/8))))))
}

func (c *StateMachine) reject(now int64, why string, retry int64) {
	if retry <= 0 {
		retry = minRetryAfter
	}
	c.finish(now, StateRejected, Outcome{Status: 503, Code: "refused", Reason: why, RetryAfter: retry})
}
