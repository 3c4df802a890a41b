// Gathered answers: one backend of every pool, and when to answer with what has come.

package dispatch

import "math"

func (c *StateMachine) admitGathered(now int64) {
	p := c.plan
	c.shards, c.attempts = make([]shardRequest, len(p.pools)), make([]attempt, 0, len(p.pools)+2)
	c.trace.attempts = make([]AttemptTrace, 0, len(p.pools)+2)
	for i := range c.shards {
		w := &c.shards[i]
		w.pool, w.latency, w.tried = p.pools[i], p.latency[i], w.triedBuf[:0]
		c.dispatcher.replenishRetryBudget(w.pool, c.view.snapshot, now, &c.random)
	}
	if why, retry := c.excludeShards(now); why != "" {
		c.reject(now, why, retry)
		return
	}
	c.transition(now, StateAdmitted, "")
	for i := range c.shards {
		if !c.shards[i].missing {
			c.shards[i].missing = !c.send(now, i, sendFirst)
		}
	}
	c.state = StateSent
	c.resolve(now)
	c.scheduleTimer(now)
}

// excludeShards settles which pools are not asked at all: those of which nothing may be asked, then
// those whose backends are all ejected, then those that are too busy. A search loses parts before
// it is refused; it is refused when too few would be left, or too few to be worth it. One number is
// drawn for all pools: where all are as busy, the search is refused whole and not part by part.
func (c *StateMachine) excludeShards(now int64) (why string, retry int64) {
	n, need, drawn := len(c.shards), c.requiredShards(), c.random.Float64()
	if c.overloaded(c.lagPressure(now), drawn) {
		return "this node is behind", c.retryAfter(now)
	}
	left, busy := n, 0
	out := func(w *shardRequest, why string) {
		w.missing, left = true, left-1
		w.setReason(why)
	}
	for i := range c.shards {
		w := &c.shards[i]
		best, pressure := c.assess(now, w)
		w.bestStanding, w.overloaded = best, best < standingDown && c.overloaded(pressure, drawn)
		if best >= standingDown {
			out(w, "no backend may be asked")
		}
	}
	if left < need {
		return "too few pools have a backend", c.retryAfterDown(now)
	}
	for i := range c.shards {
		if w := &c.shards[i]; !w.missing && w.bestStanding > standingTrial && left > need {
			out(w, "all backends are ejected")
		}
	}
	for i := range c.shards {
		if w := &c.shards[i]; !w.missing && w.overloaded {
			busy++
			out(w, "every backend is too busy")
		}
	}
	if busy > 0 && (left < need || left*left*1000 < minValue*n*n) {
		return "every backend is too busy", c.retryAfter(now)
	}
	return "", 0
}

// requiredShards is how many parts a success must have.
func (c *StateMachine) requiredShards() int {
	return max(1, int(math.Ceil(c.route.MinCoverage*float64(len(c.shards))-1e-9)))
}

// Shares of the full worth, in thousandths, from which an answer is given at the
// aim though parts are missing. What a late answer is worth nobody tells; the more
// important routes are those that rather wait.
const (
	minValueHighPriority = 800
	minValue             = 500
	highPriority         = 1
)

func (c *StateMachine) resolveGathered(now int64) {
	in, left, ran := 0, 0, false
	why := ""
	for i := range c.shards {
		w := &c.shards[i]
		ran = ran || w.mayHaveRun || w.inFlight > 0 || w.succeeded
		switch {
		case w.succeeded:
			in++
		case w.missing:
			why = w.reason
		default:
			left++
		}
	}
	need := c.requiredShards()
	switch {
	case in >= need && (left == 0 || now >= c.deadline || c.enoughShards(now, in)):
		c.respondGathered(now, in)
	case in+left < need && !ran:
		c.reject(now, "too few parts: "+why, c.retryAfter(now))
	case in+left < need:
		c.finish(now, StateFailed, Outcome{Status: 502, Code: "given_up", Reason: "too few parts: " + why})
	case now >= c.deadline:
		c.finish(now, StateFailed, Outcome{Status: 504, Code: "given_up", Reason: "too few parts in time"})
	}
}

// enoughShards reports whether what is in is to be answered: when nothing else is hoped for, and past the
// aim when it is worth enough.
func (c *StateMachine) enoughShards(now int64, in int) bool {
	if now >= c.targetAt {
		worth, least := in*in*1000/(len(c.shards)*len(c.shards)), minValue
		if c.route.Priority <= highPriority {
			least = minValueHighPriority
		}
		if worth >= least {
			return true
		}
	}
	for n := range c.attempts {
		if t := &c.attempts[n]; t.inFlight && !t.abandoned && now < c.expectedUntil(t) {
			return false
		}
	}
	return true
}

// expectedUntil is until when an ask's answer is expected: of a backend on trial no longer than most
// answers take, of another for a pause and more.
func (c *StateMachine) expectedUntil(t *attempt) int64 {
	top := c.shards[t.shard].latency.p95.Load()
	if t.endpoint.backend.ejections.Load() > 0 {
		return t.startedAt + top
	}
	return t.startedAt + max(maxPause, 8*top)
}

// maxPause is the longest pause that a backend in order takes.
const maxPause = 250_000

func (c *StateMachine) respondGathered(now int64, in int) {
	c.transition(now, StateGathered, "")
	parts, seals := make([][]byte, 0, in), make([]string, 0, in)
	for i := range c.shards {
		if w := &c.shards[i]; w.succeeded {
			parts, seals = append(parts, w.records), append(seals, w.seal)
		}
	}
	c.finish(now, StateResponded, Outcome{
		Status: 200, Code: "ok", Seals: seals, Missing: len(c.shards) - in,
		Body: merge(parts, int(c.route.ResultLimit)),
	})
}
