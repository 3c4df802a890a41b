// Gathered answers: one backend of every pool, and when to answer with what has come.

package dispatch

import "math"

func (m *StateMachine) admitGathered(now int64) {
	p := m.plan
	m.shards, m.attempts = make([]shardRequest, len(p.pools)), make([]attempt, 0, len(p.pools)+2)
	m.trace.attempts = make([]AttemptTrace, 0, len(p.pools)+2)
	for i := range m.shards {
		shard := &m.shards[i]
		shard.pool, shard.latency, shard.tried = p.pools[i], p.latency[i], shard.triedBuf[:0]
		m.dispatcher.replenishRetryBudget(shard.pool, m.view.snapshot, now, &m.random)
	}
	if why, retry := m.excludeShards(now); why != "" {
		m.reject(now, why, retry)
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

// excludeShards settles which pools are not asked at all: those of which nothing may be asked, then
// those whose backends are all ejected, then those that are too busy. A search loses parts before
// it is refused; it is refused when too few would be left, or too few to be worth it. One number is
// drawn for all pools: where all are as busy, the search is refused whole and not part by part.
func (m *StateMachine) excludeShards(now int64) (why string, retry int64) {
	n, need, drawn := len(m.shards), m.requiredShards(), m.random.Float64()
	if m.overloaded(m.lagPressure(now), drawn) {
		return "this node is behind", m.retryAfter(now)
	}
	left, busy := n, 0
	out := func(shard *shardRequest, why string) {
		shard.missing, left = true, left-1
		shard.setReason(why)
	}
	for i := range m.shards {
		shard := &m.shards[i]
		best, pressure := m.assess(now, shard)
		shard.bestStanding, shard.overloaded = best, best < standingDown && m.overloaded(pressure, drawn)
		if best >= standingDown {
			out(shard, "no backend may be asked")
		}
	}
	if left < need {
		return "too few pools have a backend", m.retryAfterDown(now)
	}
	for i := range m.shards {
		if shard := &m.shards[i]; !shard.missing && shard.bestStanding > standingTrial && left > need {
			out(shard, "all backends are ejected")
		}
	}
	for i := range m.shards {
		if shard := &m.shards[i]; !shard.missing && shard.overloaded {
			busy++
			out(shard, "every backend is too busy")
		}
	}
	if busy > 0 && (left < need || left*left*1000 < minValue*n*n) {
		return "every backend is too busy", m.retryAfter(now)
	}
	return "", 0
}

// requiredShards is how many parts a success must have.
func (m *StateMachine) requiredShards() int {
	return max(1, int(math.Ceil(m.route.MinCoverage*float64(len(m.shards))-1e-9)))
}

// Shares of the full worth, in thousandths, from which an answer is given at the
// aim though parts are missing. What a late answer is worth nobody tells; the more
// important routes are those that rather wait.
const (
	minValueHighPriority = 800
	minValue             = 500
	highPriority         = 1
)

func (m *StateMachine) resolveGathered(now int64) {
	in, left, ran := 0, 0, false
	why := ""
	for i := range m.shards {
		shard := &m.shards[i]
		ran = ran || shard.mayHaveRun || shard.inFlight > 0 || shard.succeeded
		switch {
		case shard.succeeded:
			in++
		case shard.missing:
			why = shard.reason
		default:
			left++
		}
	}
	need := m.requiredShards()
	switch {
	case in >= need && (left == 0 || now >= m.deadline || m.enoughShards(now, in)):
		m.respondGathered(now, in)
	case in+left < need && !ran:
		m.reject(now, "too few parts: "+why, m.retryAfter(now))
	case in+left < need:
		m.finish(now, StateFailed, Outcome{Status: 502, Code: "given_up", Reason: "too few parts: " + why})
	case now >= m.deadline:
		m.finish(now, StateFailed, Outcome{Status: 504, Code: "given_up", Reason: "too few parts in time"})
	}
}

// enoughShards reports whether what is in is to be answered: when nothing else is hoped for, and past the
// aim when it is worth enough.
func (m *StateMachine) enoughShards(now int64, in int) bool {
	if now >= m.targetAt {
		worth, least := in*in*1000/(len(m.shards)*len(m.shards)), minValue
		if m.route.Priority <= highPriority {
			least = minValueHighPriority
		}
		if worth >= least {
			return true
		}
	}
	for n := range m.attempts {
		if att := &m.attempts[n]; att.inFlight && !att.abandoned && now < m.expectedUntil(att) {
			return false
		}
	}
	return true
}

// expectedUntil is until when an ask's answer is expected: of a backend on trial no longer than most
// answers take, of another for a pause and more.
func (m *StateMachine) expectedUntil(att *attempt) int64 {
	top := m.shards[att.shard].latency.p95.Load()
	if att.endpoint.backend.ejections.Load() > 0 {
		return att.startedAt + top
	}
	return att.startedAt + max(maxPause, 8*top)
}

// maxPause is the longest pause that a backend in order takes.
const maxPause = 250_000

func (m *StateMachine) respondGathered(now int64, in int) {
	m.transition(now, StateGathered, "")
	parts, seals := make([][]byte, 0, in), make([]string, 0, in)
	for i := range m.shards {
		if shard := &m.shards[i]; shard.succeeded {
			parts, seals = append(parts, shard.records), append(seals, shard.seal)
		}
	}
	m.finish(now, StateResponded, Outcome{
		Status: 200, Code: "ok", Seals: seals, Missing: len(m.shards) - in,
		Body: merge(parts, int(m.route.ResultLimit)),
	})
}
