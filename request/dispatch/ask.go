// Asking backends, and what the end of each ask teaches.

package dispatch

// reason is why a pool is asked: for the first time, again at the cost of the
// budget, early while another ask is under way, or in place of one of which
// nothing was written, which adds nothing to what the pool gets.
type reason uint8

const (
	first reason = iota
	again
	early
	instead
)

// unsentMost bounds asks of which nothing was written.
const unsentMost = 4

// renew takes the newest view for what is asked from now on; false means that the
// configuration in force sends this request to the way's pool no more.
func (c *Chart) renew(w *way) bool {
	v := c.desk.now()
	if v == nil || v == c.view && w.pool == v.pools[w.pool.name] {
		return true
	}
	p := v.pools[w.pool.name]
	if p == nil || !serves(v.cp.Routing.Match(c.req.Host, c.req.Path), w.pool.name) {
		return false
	}
	c.view, w.pool = v, p
	return true
}

// ask chooses a backend of a way's pool and asks it; false means that none could be asked.
func (c *Chart) ask(now int64, i int, why reason) bool {
	w := &c.ways[i]
	ch := choose(w.pool, c.view.cp, w.stats, w.tried, c.once(), now, &c.rnd)
	if ch.seat == nil && w.idle && why != early {
		// Only a connection ended: the backend itself may be as good as any.
		ch = choose(w.pool, c.view.cp, w.stats, nil, c.once(), now, &c.rnd)
	}
	if ch.seat == nil {
		w.because("no backend may be asked")
		return false
	}
	if ch.standing >= stDown || why == early && ch.standing != stUsable {
		w.because("all backends are down")
		return false
	}
	if why == early && c.queued(now, ch.seat) {
		return false
	}
	b, cold := ch.seat.b, w.pool.cold(now, ch.seat.b)
	if (why == again || why == early) && !c.desk.extra(w.pool, c.view.cp, now) {
		w.because("the budget of extra asks is used up")
		return false
	}
	if cold && !b.ramp.take(now, w.pool.RampPerS, c.view.cp.Divisor) {
		w.because("a cold backend can bear no more")
		return false
	}
	switch why {
	case again, instead:
		c.to(now, StReAsked, w.why)
	case early:
		c.desk.count.hedges.Add(1)
		c.to(now, StReAsked, "no answer yet")
	}
	c.checkAsk(w, ch.seat)
	n := len(c.tries)
	c.tries = append(c.tries, try{way: i, seat: ch.seat, at: now, busy: b.busy(now, w.stats.mid.Load()), open: true})
	w.tried = append(w.tried, b)
	w.open++
	w.sent++
	left := c.end - now
	w.hedgeAt = now + max(hedgeLeast, min(w.stats.hedge(), max(c.aim-now, left/4)*2/5))
	if ch.standing == stTrial {
		w.hedgeAt = now + max(hedgeLeast, 2*w.stats.mid.Load())
	}
	b.began(now)
	ch.seat.server.Gauge.Outstanding.Add(1)
	ch.seat.server.Gauge.Requested.Add(1)
	c.desk.count.asks.Add(1)
	c.trace.ask(now-c.began, n, i, ch, why)
	c.act(Ask{N: n, Server: ch.seat.server, Pool: w.pool.Pool, WithinUs: left, Once: c.once(), Request: &c.req})
	return true
}

func (w *way) because(why string) {
	if w.why == "" {
		w.why = why
	}
}

// queued tells that an early ask would only wait in a queue.
func (c *Chart) queued(now int64, s *seat) bool {
	slots := s.b.slots.Load()
	return slots > 0 && s.b.busy(now, 0) >= slots*1000
}

func (c *Chart) mayHedge(w *way) bool {
	return c.route.Repeatable && w.open == 1 && w.sent < c.most() && w.hedgeAt < c.end
}

// close takes note of an ask's end on its backend's gauges.
func (c *Chart) close(now int64, n int, r *Reply) {
	t := &c.tries[n]
	w := &c.ways[t.way]
	t.open = false
	w.open--
	c.checkGauges(w)
	b, g, d, nodes := t.seat.b, t.seat.server.Gauge, c.desk, c.view.cp.Divisor
	b.ended(now, r != nil && !r.Silent && r.Class != ClassNotSent)
	g.Outstanding.Add(-1)
	if r == nil {
		return
	}
	b.tells(now, r.Load)
	took := now - t.at
	ejected := false
	switch {
	case r.Class == ClassAnswer && good(r):
		busy := t.busy
		if r.Load.Known {
			busy = max(busy, int64(r.Load.Running+r.Load.Waiting)*1000)
		}
		if b.took(now, took, busy, w.stats) {
			w.pool.revived(now, &c.rnd)
		}
		g.Succeeded(took)
	case r.Class == ClassNotRun && r.WrongBackend:
		ejected = b.markReplaced(now)
	case r.Class == ClassNotRun:
		d.count.notRun.Add(1)
		b.refused(now, r.Load)
	case r.Class == ClassNotSent:
		d.count.notSent.Add(1)
		if !r.Reused {
			ejected = b.failed(now, failure{t.at, 1, false}, nodes)
		}
	case r.Class == ClassGarbage:
		d.count.garbage.Add(1)
		ejected = b.failed(now, failure{t.at, 2, false}, nodes)
		g.Corrupted(now)
	case idle(r, took):
		d.count.failed.Add(1)
	default:
		d.count.failed.Add(1)
		ejected = b.failed(now, failure{t.at, 1, r.Silent && took > w.stats.silence()}, nodes)
		g.Failed(now)
	}
	if ejected {
		d.count.ejected.Add(1)
	}
}

// idleEnd is how soon the end of an idle connection shows.
const idleEnd = 10_000

// idle tells that an ask ended as it does when its connection had been idle and was forgotten.
func idle(r *Reply, took int64) bool {
	return r.Reused && !r.Silent && (r.Class == ClassNotSent || r.Class == ClassFailed && took < idleEnd)
}

// leave gives up an ask whose answer is not wanted any more. Its backend ends its
// work, unless the time is over anyway.
func (c *Chart) leave(now int64, n int) {
	t := &c.tries[n]
	w := &c.ways[t.way]
	if silent := now-t.at > w.stats.silence(); silent || now >= c.end {
		// Silence for so long is a failure, and nothing is lost by breaking off.
		c.close(now, n, nil)
		if t.seat.b.failed(now, failure{t.at, 1, silent}, c.view.cp.Divisor) {
			c.desk.count.ejected.Add(1)
		}
		c.desk.count.cancelled.Add(1)
		c.act(Cancel{N: n})
		return
	}
	t.left = true
	c.desk.count.left.Add(1)
	c.act(Leave{N: n})
}

// refused notes that a backend turned an ask away: it is full, by its own word.
func (b *backend) refused(now int64, l Load) {
	n := 2000 * max(1, b.slots.Load())
	if l.Known {
		n = 1000 * int64(l.Running+l.Waiting)
		if l.Running+l.Waiting >= l.Slots {
			b.full.Store(n)
		}
	}
	b.load.Store(max(n, b.load.Load()))
	b.told.Store(now)
}

// good tells that an answer is a success that may be passed on.
func good(r *Reply) bool {
	return r.Class == ClassAnswer && r.Status >= 200 && r.Status < 300 && r.Seal != ""
}
