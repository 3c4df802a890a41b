// Stats are what the answers of one pool to one route take, learnt from the
// answers themselves: the middle and the upper end. Each answer moves them by a
// small part of themselves, so that they cost two words and no lock.

package dispatch

import (
	"sync/atomic"

	"wallport/control/routing"
)

type statsKey struct{ pool, route string }

type stats struct {
	n        atomic.Int64
	mid, top atomic.Int64
	// far is how much longer an answer of the own zone may take before another zone is asked, in
	// microseconds: bytes between zones are dear, and inside the aim a faster answer is worth no more.
	far atomic.Int64
}

// farPart is the part of a route's target latency that is spent on staying in the zone.
const farPart = 5

func (d *Desk) statsOf(pool string, r *routing.Route) *stats {
	key := statsKey{pool, r.Name}
	far := max(farLeast, r.TargetLatencyUs/farPart)
	if v, ok := d.stats.Load(key); ok {
		s := v.(*stats)
		s.far.Store(far)
		return s
	}
	s := new(stats)
	s.far.Store(far)
	s.mid.Store(max(1000, r.TargetLatencyUs/8))
	s.top.Store(max(3000, r.TargetLatencyUs/3))
	v, _ := d.stats.LoadOrStore(key, s)
	return v.(*stats)
}

// Steps of the estimates, in thousandths: large while little is known.
const (
	learning  = 24
	firstStep = 300
	midStep   = 60
	topStep   = 120
	topShare  = 950
)

// took learns from an answer that took so many microseconds, or net without the wait in a queue:
// the middle is of the work alone, the upper end of what a client sees.
func (s *stats) took(us, net int64) {
	mid, top := int64(midStep), int64(topStep)
	if s.n.Add(1) < learning {
		mid, top = firstStep, firstStep
	}
	move(&s.mid, net, mid, 500)
	move(&s.top, us, top, topShare)
}

// move shifts an estimate towards the value that the given share, in thousandths, lies below.
func move(q *atomic.Int64, us, step, share int64) {
	was := q.Load()
	if us > was {
		q.Store(was + max(1, was*step*share/1_000_000))
		return
	}
	q.Store(max(200, was-was*step*(1000-share)/1_000_000))
}

// hedge is how long an answer may take before another backend is asked too.
func (s *stats) hedge() int64 {
	return max(hedgeLeast, min(s.top.Load()*11/10, s.mid.Load()*4))
}

// silence is how long without an answer is more than any pause.
func (s *stats) silence() int64 { return max(stallMost, 3*s.top.Load()) }

const hedgeLeast = 2_500
