package dispatch

import (
	"math"
	"net/http"

	"wallport/runtime/clock"
)

// Minimum values, in thousandths of the value of a complete response, at which a gathered response with missing
// shards is returned once the latency target has passed. A node does not know how much value a late response loses. The
// minimum is greater for routes of highPriority and above, so that they wait longer for missing shards.
const (
	minValueHighPriority = 800
	minValue             = 500
	highPriority         = 1
)

const reasonTooFewShards = "too few parts: "

// admitFanOut sends the request to one backend of each pool that is not excluded, or rejects it.
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

// excludeShards determines the pools that the request is not sent to: those without a usable backend, then those
// whose backends are all ejected, then those that are overloaded. It returns a reason to reject the request if too
// few pools remain or if their response would have too little value. One random number is drawn for all pools, so
// that the request is rejected as a whole if all pools are equally loaded: a partial response is worth less than it
// costs.
func (m *StateMachine) excludeShards(now clock.Micros) (reason string, retryAfter clock.Micros) {
	all, need, drawn := len(m.shards), m.requiredShards(), m.random.Float64()
	if m.rejectsAt(m.lagPressure(now), drawn) {
		return reasonNodeBehind, m.retryAfter(now)
	}
	if need > all {
		return reasonCoverage, m.retryAfterDown(now)
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

// value returns the value of a partial response, in thousandths: the square of the share of shards that it contains.
func value(shards, all int) int { return shards * shards * 1000 / (all * all) }

// requiredShards returns the minimum number of shards in a successful response. It is larger than the number of shards
// if the route asks for more than all of them, so that no response succeeds.
func (m *StateMachine) requiredShards() int {
	if m.route.MinCoverage > 1 {
		return len(m.shards) + 1
	}
	return max(1, int(math.Ceil(m.route.MinCoverage*float64(len(m.shards))-1e-9)))
}

// progress summarizes the shards of a request that fans out.
type progress struct {
	succeeded, pending int
	// mayHaveRun is set if any backend may have run the request.
	mayHaveRun bool
	// reason says why the last of the missing shards is missing.
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

// resolveGathered finishes a request that fans out once its outcome is known.
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

// enoughShards reports whether to respond with the shards that succeeded although others are pending. It returns true
// if the latency target has passed and the response has enough value, or if no pending attempt is still expected to
// succeed.
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

// expectedUntil returns the time until which a response to an attempt is expected. A backend on trial is given the
// 95th percentile of the pool's latency, other backends a multiple of it and at least maxPause.
func (m *StateMachine) expectedUntil(attempt *attempt) clock.Micros {
	p95 := m.shards[attempt.shard].latency.p95.Load()
	if attempt.endpoint.backend.ejections.Load() > 0 {
		return attempt.startedAt + p95
	}
	return attempt.startedAt + max(maxPause, 8*p95)
}

// respondGathered finishes the request with the merged records of the shards that succeeded.
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
