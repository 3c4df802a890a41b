// The choice of a backend: the least expected time to a good answer, by what
// this node saw of each. Pools are small, so all of one are looked at. Backends
// that leave or stand in an evacuated zone are not in the view at all.

package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/random"
)

// Standing of a backend, from best to worst.
const (
	stUsable  uint8 = iota
	stTrial         // out, and a trial is due
	stEjected       // out, but may be asked where nothing better is left
	stChance        // a trial is due, but the request may be sent only once: rather that than refuse it
	stDown          // failed its trials too, or silent
	stNone
)

// standing is how far a backend may be trusted now.
func (s *seat) standing(now int64, st *stats, once bool) uint8 {
	b, out := s.b, stUsable
	switch {
	case now < b.replaced.Load():
		// It is no more: a trial would only reach the other one again.
		return stDown
	case b.level.Load() > 0 && (b.mute.Load() || b.level.Load() >= 2 && b.wrong(now) >= downWrong):
		out = stDown
	case b.level.Load() > 0:
		out = stEjected
	case b.stalled(now, st.silence()):
		out = stDown
	case s.server.Health >= snapshot.Suspect && now-b.good.Load() > goodFor:
		// What others say counts while this node has no answer of its own to hold against it.
		out = stEjected
	default:
		return stUsable
	}
	switch {
	case now < b.until.Load():
		return out
	case once:
		return stChance
	}
	return stTrial
}

// reviveWithin is how soon the other ejected backends of a pool are tried when one has come back.
const reviveWithin = 150_000

// revived makes the trials of the pool's ejected backends due: what has ended for one of them may
// have ended for all.
func (p *pool) revived(now int64, rnd *random.Source) {
	for i := range p.seats {
		b := p.seats[i].b
		if at := b.until.Load(); b.level.Load() > 0 && at > now+reviveWithin {
			b.until.CompareAndSwap(at, now+int64(rnd.N(reviveWithin)))
		}
	}
}

// up tells that some backend of the pool may be asked.
func (c *Chart) up(now int64, p *pool, st *stats) bool {
	for i := range p.seats {
		s := &p.seats[i]
		if s.standing(now, st, c.once()) < stDown && (!p.cold(now, s.b) || s.b.ramp.may(now, p.RampPerS, c.view.cp.Divisor, &c.rnd)) {
			return true
		}
	}
	return false
}

// cold tells that a backend may get only as much as its ramp allows.
func (p *pool) cold(now int64, b *backend) bool { return p.RampPerS > 0 && now < b.cold.Load() }

// Costs beside the time itself, in thousandths of what an answer takes.
const (
	farLeast   = 800
	queueEmpty = 150
	wrongOnce  = 40
	wrongAgain = 6
	stallTimes = 6
	// chanceTimes the usual time is what a request that may be sent only once waits rather than be a trial.
	chanceTimes = 4
	// dialCost is what a new connection costs where none may be kept idle, in microseconds.
	dialCost = 2_000
)

// cost is the expected time to a good answer, in microseconds.
func (s *seat) cost(now int64, st *stats, once bool) int64 {
	b := s.b
	mid := st.mid.Load()
	work := mid * b.slow(now) / 1000
	c := work + wait(b.busy(now, mid), b.places(), work)
	if !s.near {
		c += st.far.Load()
	}
	if s.server.CloseAfterUse {
		c += dialCost
	}
	if w := b.wrong(now); w > 0 {
		// A failure costs another ask, or all that the request is worth where it may not be sent again.
		times := int64(wrongAgain)
		if once {
			times = wrongOnce
		}
		c += mid * w * times / 1000
	}
	if b.stalled(now, 2*st.top.Load()) {
		c += stallTimes * (now - b.moved.Load() + mid)
	}
	if s.server.Health == snapshot.Slow {
		c += work / 2
	}
	return c
}

// wait is the time in a queue behind so many thousandths of requests.
func wait(busy, slots, work int64) int64 {
	full := slots * 1000
	w := work * queueEmpty / 1000 * min(busy, full) / full
	if over := busy + 1000 - full; over > 0 {
		w += work * over / full
	}
	return w
}

// choice is what choosing came to: a seat, or none and whether time may bring one.
type choice struct {
	seat     *seat
	standing uint8
	cost     int64
}

// choose finds the backend for an ask; those in tried are left out. A due trial goes first: it
// costs the request little, since another backend can be asked soon, and is the only way back. A
// request that may be sent only once is a trial where it would else be refused or wait for long.
func choose(p *pool, cp *snapshot.Snapshot, st *stats, tried []*backend, once bool, now int64, rnd *random.Source) choice {
	best, chance := choice{standing: stNone}, choice{standing: stNone}
	for i := range p.seats {
		s := &p.seats[i]
		if has(tried, s.b) {
			continue
		}
		at := s.standing(now, st, once)
		if at > best.standing && at != stTrial && at != stChance {
			continue
		}
		if p.cold(now, s.b) && !s.b.ramp.may(now, p.RampPerS, cp.Divisor, rnd) {
			continue
		}
		c := s.cost(now, st, once)
		if at == stTrial && s.b.tries(now, cp.Divisor, once) {
			return choice{seat: s, standing: at, cost: c}
		}
		c += c * int64(rnd.N(100)) / 1000
		if at == stChance {
			if chance.seat == nil || c < chance.cost {
				chance = choice{seat: s, standing: at, cost: c}
			}
			continue
		}
		if at < best.standing || c < best.cost {
			best = choice{seat: s, standing: at, cost: c}
		}
	}
	if chance.seat != nil && (best.standing > stChance || best.cost > chanceTimes*st.mid.Load()) && chance.seat.b.tries(now, cp.Divisor, once) {
		return chance
	}
	return best
}

func has(all []*backend, b *backend) bool {
	for _, v := range all {
		if v == b {
			return true
		}
	}
	return false
}
