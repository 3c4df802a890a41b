// Admission: a request that no backend could take in time is refused at once,
// before anything is sent, so that its client may try again elsewhere in time.

package dispatch

// Pauses before a client's next try, in microseconds.
const (
	notReadyRetry = 150_000
	retryLeast    = 10_000
	retryMost     = 150_000
	retryDownMost = 1_000_000
)

func (c *Chart) admit(now int64) {
	p := c.plan
	if c.route.Gathered() {
		c.admitGathered(now)
		return
	}
	i := c.weighted()
	if len(p.pools) > 1 && !c.up(now, p.pools[i], p.stats[i]) {
		// A pool of which nothing may be asked: another of the route's pools will do.
		for j := range p.pools {
			if p.route.PoolWeights[j].Weight > 0 && c.up(now, p.pools[j], p.stats[j]) {
				i = j
				break
			}
		}
	}
	c.ways, c.tries = c.one[:], c.two[:0]
	w := &c.ways[0]
	w.pool, w.stats, w.tried = p.pools[i], p.stats[i], w.buf[:0]
	c.desk.earn(w.pool, c.view.cp, now, &c.rnd)
	best, pressure := c.look(now, w)
	if best >= stDown {
		c.refuse(now, "all backends are down", c.retryDown(now))
		return
	}
	if c.sheds(max(pressure, c.behind(now)), c.rnd.Float()) {
		c.refuse(now, "every backend is too busy", c.retryAfter(now))
		return
	}
	c.to(now, StAdmitted, w.pool.name)
	if !c.ask(now, 0, first) {
		c.refuse(now, w.why, c.retryAfter(now))
		return
	}
	c.state = StAsked
	c.wake(now)
}

// weighted draws one of the route's pools.
func (c *Chart) weighted() int {
	if len(c.plan.pools) == 1 {
		return 0
	}
	name := c.route.PoolAt(c.rnd.Float())
	for i, p := range c.plan.pools {
		if p.name == name {
			return i
		}
	}
	return 0
}

// sheds decides by the pressure on a pool and a number drawn by chance whether it takes no request
// now; under the same pressure the less important ones are refused sooner.
func (c *Chart) sheds(pressure, drawn float64) bool {
	if c.route.Priority > 1 {
		pressure *= 1.5
	}
	if drawn >= pressure {
		return false
	}
	c.desk.count.shed.Add(1)
	return true
}

// Bounds of pressure: of the wait in the time that the work itself leaves up to the aim, and of what
// a backend takes before it turns away.
const (
	lateFrom = 0.25
	lateTo   = 0.7
	fullFrom = 0.5
	fullTo   = 0.9
)

// look tells how good the best backend of a pool stands that may be asked now, and the pressure on
// the pool: the share of requests to refuse since even the least busy of its backends is about to
// turn requests away or to answer late.
func (c *Chart) look(now int64, w *way) (best uint8, pressure float64) {
	best = stNone
	mid, least := w.stats.mid.Load(), 2.0
	aim := max(3, c.aim-now)
	for i := range w.pool.seats {
		if best == stUsable && least <= 0 {
			break
		}
		s := &w.pool.seats[i]
		b := s.b
		at := s.standing(now, w.stats, c.once())
		if at >= stDown || w.pool.cold(now, b) && !b.ramp.may(now, w.pool.RampPerS, c.view.cp.Divisor, &c.rnd) {
			continue
		}
		best = min(best, at)
		slots := b.slots.Load()
		if slots <= 0 {
			least = 0
		}
		if least <= 0 || at >= stEjected {
			continue
		}
		work, busy := mid*b.slow(now)/1000, b.busy(now, mid)
		room := max(aim-work, aim/3)
		p := (float64(wait(busy, slots, work))/float64(room) - lateFrom) / (lateTo - lateFrom)
		if full := b.full.Load(); full > 0 {
			p = max(p, (float64(busy)/float64(full)-fullFrom)/(fullTo-fullFrom))
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
func (c *Chart) retryAfter(now int64) int64 {
	us := int64(retryMost)
	if c.route != nil {
		us = max(retryLeast, min(retryMost, c.route.TargetLatencyUs/4))
	}
	us += int64(c.rnd.N(int(us)))
	if c.end > now {
		us = min(us, (c.end-now)/3)
	}
	return max(us, 1000)
}

// retryDown is when a client may come back whose pool is down: later, but inside its time.
func (c *Chart) retryDown(now int64) int64 {
	left := c.end - now
	return max(c.retryAfter(now), min(retryDownMost, left/5+int64(c.rnd.N(int(max(1, left/8))))))
}

func (c *Chart) refuse(now int64, why string, retry int64) {
	if retry <= 0 {
		retry = retryLeast
	}
	c.finish(now, StRefused, Outcome{Status: 503, Code: "refused", Why: why, RetryAfterUs: retry})
}
