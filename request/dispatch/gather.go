// Gathered answers: one backend of every pool, and when to answer with what has come.

package dispatch

import "math"

func (c *Chart) admitGathered(now int64) {
	p := c.plan
	c.ways, c.tries = make([]way, len(p.pools)), make([]try, 0, len(p.pools)+2)
	c.trace.asks = make([]AskLine, 0, len(p.pools)+2)
	for i := range c.ways {
		w := &c.ways[i]
		w.pool, w.stats, w.tried = p.pools[i], p.stats[i], w.buf[:0]
		c.desk.earn(w.pool, c.view.cp, now, &c.rnd)
	}
	if why, retry := c.leaveOut(now); why != "" {
		c.refuse(now, why, retry)
		return
	}
	c.to(now, StAdmitted, "")
	for i := range c.ways {
		if !c.ways[i].missing {
			c.ways[i].missing = !c.ask(now, i, first)
		}
	}
	c.state = StAsked
	c.settle(now)
	c.wake(now)
}

// leaveOut settles which pools are not asked at all: those of which nothing may be asked, then
// those whose backends are all ejected, then those that are too busy. A search loses parts before
// it is refused; it is refused when too few would be left, or too few to be worth it. One number is
// drawn for all pools: where all are as busy, the search is refused whole and not part by part.
func (c *Chart) leaveOut(now int64) (why string, retry int64) {
	n, need, drawn := len(c.ways), c.need(), c.rnd.Float()
	if c.sheds(c.behind(now), drawn) {
		return "this node is behind", c.retryAfter(now)
	}
	left, busy := n, 0
	out := func(w *way, why string) {
		w.missing, left = true, left-1
		w.because(why)
	}
	for i := range c.ways {
		w := &c.ways[i]
		best, pressure := c.look(now, w)
		w.best, w.busy = best, best < stDown && c.sheds(pressure, drawn)
		if best >= stDown {
			out(w, "no backend may be asked")
		}
	}
	if left < need {
		return "too few pools have a backend", c.retryDown(now)
	}
	for i := range c.ways {
		if w := &c.ways[i]; !w.missing && w.best > stTrial && left > need {
			out(w, "all backends are ejected")
		}
	}
	for i := range c.ways {
		if w := &c.ways[i]; !w.missing && w.busy {
			busy++
			out(w, "every backend is too busy")
		}
	}
	if busy > 0 && (left < need || left*left*1000 < enoughLow*n*n) {
		return "every backend is too busy", c.retryAfter(now)
	}
	return "", 0
}

// need is how many parts a success must have.
func (c *Chart) need() int {
	return max(1, int(math.Ceil(c.route.MinCoverage*float64(len(c.ways))-1e-9)))
}

// Shares of the full worth, in thousandths, from which an answer is given at the
// aim though parts are missing. What a late answer is worth nobody tells; the more
// important routes are those that rather wait.
const (
	enoughHigh = 800
	enoughLow  = 500
	highest    = 1
)

func (c *Chart) settleGathered(now int64) {
	in, left, ran := 0, 0, false
	why := ""
	for i := range c.ways {
		w := &c.ways[i]
		ran = ran || w.ran || w.open > 0 || w.done
		switch {
		case w.done:
			in++
		case w.missing:
			why = w.why
		default:
			left++
		}
	}
	need := c.need()
	switch {
	case in >= need && (left == 0 || now >= c.end || c.enough(now, in)):
		c.gather(now, in)
	case in+left < need && !ran:
		c.refuse(now, "too few parts: "+why, c.retryAfter(now))
	case in+left < need:
		c.finish(now, StGivenUp, Outcome{Status: 502, Code: "given_up", Why: "too few parts: " + why})
	case now >= c.end:
		c.finish(now, StGivenUp, Outcome{Status: 504, Code: "given_up", Why: "too few parts in time"})
	}
}

// enough reports whether what is in is to be answered: when nothing else is hoped for, and past the
// aim when it is worth enough.
func (c *Chart) enough(now int64, in int) bool {
	if now >= c.aim {
		worth, least := in*in*1000/(len(c.ways)*len(c.ways)), enoughLow
		if c.route.Priority <= highest {
			least = enoughHigh
		}
		if worth >= least {
			return true
		}
	}
	for n := range c.tries {
		if t := &c.tries[n]; t.open && !t.left && now < c.hopeEnds(t) {
			return false
		}
	}
	return true
}

// hopeEnds is until when an ask's answer is expected: of a backend on trial no longer than most
// answers take, of another for a pause and more.
func (c *Chart) hopeEnds(t *try) int64 {
	top := c.ways[t.way].stats.top.Load()
	if t.seat.b.level.Load() > 0 {
		return t.at + top
	}
	return t.at + max(stallMost, 8*top)
}

// stallMost is the longest pause that a backend in order takes.
const stallMost = 250_000

func (c *Chart) gather(now int64, in int) {
	c.to(now, StGathered, "")
	parts, seals := make([][]byte, 0, in), make([]string, 0, in)
	for i := range c.ways {
		if w := &c.ways[i]; w.done {
			parts, seals = append(parts, w.part), append(seals, w.seal)
		}
	}
	c.finish(now, StAnswered, Outcome{
		Status: 200, Code: "ok", Seals: seals, Missing: len(c.ways) - in,
		Body: merge(parts, int(c.route.ResultLimit)),
	})
}
