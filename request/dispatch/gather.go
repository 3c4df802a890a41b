package dispatch

import (
	"math"
	"net/http"

	"wallport/runtime/clock"
)

// Shares of the full value, in thousandths, from which a gathered response is given at the latency target although
// shards are missing. What a late response is worth is not known to a node; the routes of highPriority and above
// rather wait.
const (
	minValueHighPriority = 800
	minValue             = 500
	highPriority         = 1
)

const reasonTooFewShards = "too few parts: "

// admitFanOut sends the request to one backend of each pool, or rejects it.
func (m *StateMachine) admitFanOut(now clock.Micros) {
	pools := len(m.plan.pools)
	m.shards, m.attempts = make([]shardRequest, pools), make([]attempt, 0, pools+2)
	m.trace.attempts = make([]AttemptTrace, 0, pools+2)
	for i := range m.shards {
		m.openShard(now, i, i)
	}
	if reason, retryAfter := m.excludeShards(now); reason != "" {
		m.reject(now, reason, retryAfter)
		return
	}
	m.transition(now, StateAdmitted, "")
	for i := range m.shards {
		if !m.shards[i].missing {
			m.shards[i].missing = !m.send(now, i, sendFirst)
		}
	}
	m.state = StateSent
	m.resolve(now)
	m.scheduleTimer(now)
}

// excludeShards decides which pools are not sent to at all: those of which no backend may be, then those whose
// backends are all ejected, then those that are overloaded. The request is rejected, with a reason, when too few
// would be left or their response would be worth too little. One number is drawn for all pools: where all are
// equally loaded the request is rejected as a whole, since a part is worth less than it costs.
func (m *StateMachine) excludeShards(now clock.Micros) (reason string, retryAfter clock.Micros) {
	all, need, drawn := len(m.shards), m.requiredShards(), m.random.Float64()
	if m.rejectsAt(m.lagPressure(now), drawn) {
		return reasonNodeBehind, m.retryAfter(now)
	}
	left, overloaded := all, 0
	exclude := func(shard *shardRequest, reason string) {
		shard.missing = true
		shard.setReason(reason)
		left--
	}
	for i := range m.shards {
		shard := &m.shards[i]
		best, pressure := m.assess(now, shard)
		shard.bestStanding, shard.overloaded = best, best < standingDown && m.rejectsAt(pressure, drawn)
		if best >= standingDown {
			exclude(shard, reasonNoBackend)
		}
	}
	if left < need {
		return reasonTooFewPools, m.retryAfterDown(now)
	}
	for i := range m.shards {
		if shard := &m.shards[i]; !shard.missing && shard.bestStanding > standingTrial && left > need {
			exclude(shard, reasonAllEjected)
		}
	}
	for i := range m.shards {
		if shard := &m.shards[i]; !shard.missing && shard.overloaded {
			overloaded++
			exclude(shard, reasonOverloaded)
		}
	}
	if overloaded > 0 && (left < need || value(left, all) < minValue) {
		return reasonOverloaded, m.retryAfter(now)
	}
	return "", 0
}

// value is what a response of some of the shards is worth, in thousandths: the square of their share.
func value(shards, all int) int { return shards * shards * 1000 / (all * all) }

// requiredShards is how many shards a success must have.
func (m *StateMachine) requiredShards() int {
	return max(1, int(math.Ceil(m.route.MinCoverage*float64(len(m.shards))-1e-9)))
}

// progress counts the shards of a gathered request.
type progress struct {
	succeeded, pending int
	// mayHaveRun is set where any backend may have run it.
	mayHaveRun bool
	// reason says why the last missing shard is.
	reason string
}

func (m *StateMachine) progress() (p progress) {
	for i := range m.shards {
		shard := &m.shards[i]
		p.mayHaveRun = p.mayHaveRun || shard.mayHaveRun || shard.inFlight > 0 || shard.succeeded
		switch {
		case shard.succeeded:
			p.succeeded++
		case shard.missing:
			p.reason = shard.reason
		default:
			p.pending++
		}
	}
	return p
}

// resolveGathered gives the outcome of a request that fans out once it is known.
func (m *StateMachine) resolveGathered(now clock.Micros) {
	p, need := m.progress(), m.requiredShards()
	switch {
	case p.succeeded >= need && (p.pending == 0 || now >= m.deadline || m.enoughShards(now, p.succeeded)):
		m.respondGathered(now, p.succeeded)
	case p.succeeded+p.pending < need && !p.mayHaveRun:
		m.reject(now, reasonTooFewShards+p.reason, m.retryAfter(now))
	case p.succeeded+p.pending < need:
		m.finish(now, StateFailed, Outcome{Status: http.StatusBadGateway, Code: CodeFailed, Reason: reasonTooFewShards + p.reason})
	case now >= m.deadline:
		m.finish(now, StateFailed, Outcome{Status: http.StatusGatewayTimeout, Code: CodeFailed, Reason: "too few parts in time"})
	}
}

// enoughShards reports whether to respond with the shards that succeeded, although others are pending: past the
// latency target when they are worth enough, and when no other is expected any more.
func (m *StateMachine) enoughShards(now clock.Micros, succeeded int) bool {
	if now >= m.targetAt {
		least := minValue
		if m.route.Priority <= highPriority {
			least = minValueHighPriority
		}
		if value(succeeded, len(m.shards)) >= least {
			return true
		}
	}
	for n := range m.attempts {
		if attempt := &m.attempts[n]; attempt.wanted() && now < m.expectedUntil(attempt) {
			return false
		}
	}
	return true
}

// expectedUntil is until when an attempt's response may be expected: from a backend on trial no longer than most
// responses take, from another for a pause and more.
func (m *StateMachine) expectedUntil(attempt *attempt) clock.Micros {
	p95 := m.shards[attempt.shard].latency.p95.Load()
	if attempt.endpoint.backend.ejections.Load() > 0 {
		return attempt.startedAt + p95
	}
	return attempt.startedAt + max(maxPause, 8*p95)
}

// respondGathered merges the shards that succeeded into the response.
func (m *StateMachine) respondGathered(now clock.Micros, succeeded int) {
	m.transition(now, StateGathered, "")
	bodies, seals := make([][]byte, 0, succeeded), make([]string, 0, succeeded)
	for i := range m.shards {
		if shard := &m.shards[i]; shard.succeeded {
			bodies, seals = append(bodies, shard.records), append(seals, shard.seal)
		}
	}
	m.finish(now, StateResponded, Outcome{
		Status: http.StatusOK, Code: CodeOK, Seals: seals, Missing: len(m.shards) - succeeded,
		Body: merge(bodies, int(m.route.ResultLimit)),
	})
}
