package search

import (
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// maxAttempts bounds the attempts per shard, not counting those of which no byte was written.
const maxAttempts = 3

// shardRequest is the state of a request at one shard.
type shardRequest struct {
	answered bool
	// missing is set once no answer of the shard can arrive any more.
	missing bool
	records []Record
	// reason is why the shard was retried or hedged, or why it is missing.
	reason string
	// attempts counts all attempts, and openAttempts the attempts in progress. unwritten counts the
	// attempts of which no byte was written. These put no load on a backend.
	attempts     int
	openAttempts int
	unwritten    int
	// attemptedBackends lists the ids of the backends that must not be selected again.
	attemptedBackends []string
	// hedgeAt is the time at which a hedged request is due.
	hedgeAt clock.Micros
}

// attempt is one transmission of the request to a backend.
type attempt struct {
	shard   int
	backend *snapshot.Backend
	sentAt  clock.Micros
	open    bool
}

// sendReason is why an attempt is made. It determines whether the attempt is charged to the retry
// budget.
type sendReason uint8

const (
	sendFirst sendReason = iota
	// sendRetry is a retry or hedged request, which is charged to the retry budget.
	sendRetry
	// sendReplacement replaces an attempt of which no byte was written. It adds nothing to the
	// pool's traffic and is not charged.
	sendReplacement
	// sendPrepaid is a first attempt of a request that the caller has repeated. The first attempts
	// for all its shards were charged to the retry budget together, before any was sent.
	sendPrepaid
)

// sendToShards sends the admitted request to each shard that it needs. If the caller has repeated the
// request, it first charges one attempt per shard to the retry budget.
func (m *StateMachine) sendToShards(now clock.Micros) {
	if now >= m.deadline {
		m.reject(now, CodeGivenUp, "the deadline passed before a server was asked", 1)
		return
	}
	if len(m.index.Shards) == 0 {
		m.reject(now, CodeUnavailable, "the index has no cut yet", 1)
		return
	}
	m.transition(now, StateAdmitted, "")
	m.shardRequests = make([]shardRequest, len(m.index.Shards))
	needed := len(m.index.Shards)
	if m.request.Kind != KindSearch {
		m.recordShard, needed = ShardOf(m.request.Record, len(m.index.Shards)), 1
	}
	why := sendFirst
	if m.isRepeat {
		why = sendPrepaid
		if !m.dispatcher.takeRetries(m.snapshot, m.request.Index, now, int64(needed)) {
			m.reject(now, CodeRateLimited, ReasonRetryBudgetExhausted, 1)
			return
		}
	}
	for shardIndex := range m.index.Shards {
		if m.request.Kind == KindSearch || shardIndex == m.recordShard {
			m.send(now, shardIndex, why)
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// refreshSnapshot makes further attempts use the newest snapshot, if it still serves the request's
// shard map. Backends that have begun to drain since the previous snapshot are then not selected.
func (m *StateMachine) refreshSnapshot() {
	newest := m.dispatcher.Snapshot()
	index := newest.Indexes[m.request.Index]
	if index != nil && index.ShardMap.Name == m.shardMap && len(index.Shards) == len(m.shardRequests) {
		m.snapshot, m.index = newest, index
	}
}

// send selects a backend for a shard and sends an attempt to it. If no backend can be selected or the
// retry budget is used up, it marks the shard missing unless another attempt is still open.
func (m *StateMachine) send(now clock.Micros, shardIndex int, why sendReason) {
	shard := &m.shardRequests[shardIndex]
	selected, ok := selectBackend(m.snapshot, m.index, m.index.Shards[shardIndex], shard.attemptedBackends, now, &m.rnd)
	if !ok {
		shard.missing = shard.openAttempts == 0
		if shard.reason == "" {
			shard.reason = "no server may be asked"
		}
		return
	}
	switch why {
	case sendReplacement:
		m.transition(now, StateRetried, shard.reason)
	case sendRetry:
		if !m.dispatcher.takeRetries(m.snapshot, m.request.Index, now, 1) {
			shard.missing = shard.openAttempts == 0
			shard.reason = "budget of repeated tries is used up; " + shard.reason
			return
		}
		m.transition(now, StateRetried, shard.reason)
	case sendPrepaid:
		m.transition(now, StateSelected, "a repeat of the caller's")
	default:
		m.transition(now, StateSelected, "")
		m.dispatcher.replenishRetryBudget(m.snapshot, m.request.Index, now)
	}
	n := len(m.attempts)
	backend := selected.Backend
	m.attempts = append(m.attempts, attempt{shard: shardIndex, backend: backend, sentAt: now, open: true})
	m.trace.sent(now, n, shardIndex, selected, why != sendFirst)
	left := m.deadline - now
	shard.attemptedBackends = append(shard.attemptedBackends, backend.ID)
	shard.openAttempts++
	shard.attempts++
	shard.hedgeAt = now + min(max(m.index.Service.HedgeUs, 3*backend.Gauge.Latency.Load()), max(left/2, 1))
	backend.Gauge.Outstanding.Add(1)
	m.state = StateSent
	m.emit(Send{
		Attempt: n, ID: m.ID() + "." + attemptSuffix(n), Backend: backend,
		Shard: shardIndex, ShardCount: len(m.index.Shards), ShardMap: m.shardMap,
		Timeout: left, Request: &m.request,
		Retry: why == sendRetry || why == sendPrepaid, Replacement: why == sendReplacement,
	})
}

// attemptSuffix returns the suffix that makes the id of an attempt unique within its request.
func attemptSuffix(n int) string { return string(rune('a'+n%26)) + string(rune('a'+n/26%26)) }

// attemptDone processes the result of an open attempt and retries the shard if that is permitted.
func (m *StateMachine) attemptDone(now clock.Micros, done AttemptDone) {
	if done.Attempt >= len(m.attempts) || !m.attempts[done.Attempt].open {
		return
	}
	shardIndex := m.attempts[done.Attempt].shard
	shard := &m.shardRequests[shardIndex]
	m.closeAttempt(now, done.Attempt, done.Result)
	m.trace.ended(now, done.Attempt, done.Result)
	if shard.answered || shard.missing {
		return
	}
	switch done.Result.Class {
	case ClassOK:
		shard.answered, shard.records = true, done.Result.Records
		m.cancelShard(now, shardIndex)
	case ClassNotFound:
		m.finish(now, StateAnswered, Outcome{Code: CodeNotFound, Why: "no such record", Ran: ExecutionNone, Cut: m.shardMap, Shard: shardIndex})
		return
	case ClassNotSent:
		shard.reason = string(done.Result.Class)
		shard.unwritten++
		m.retry(now, shardIndex, sendReplacement)
	case ClassRejected:
		shard.reason = string(done.Result.Class)
		m.retry(now, shardIndex, sendRetry)
	default:
		shard.reason = string(done.Result.Class) + ": " + done.Result.Reason
		if m.request.AtMostOnce() {
			m.finish(now, StateGivenUp, Outcome{Code: CodeOutcomeUnknown, Ran: ExecutionUnknown, Why: "the server was written to and gave no whole answer: " + done.Result.Reason, Shard: shardIndex})
			return
		}
		m.retry(now, shardIndex, sendRetry)
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// retry sends another attempt for a shard if attempts and time are left.
func (m *StateMachine) retry(now clock.Micros, shardIndex int, why sendReason) {
	shard := &m.shardRequests[shardIndex]
	m.refreshSnapshot()
	if shard.attempts-shard.unwritten >= maxAttempts || now >= m.deadline {
		shard.missing = shard.openAttempts == 0
		return
	}
	m.send(now, shardIndex, why)
}

// mayHedge reports whether a shard may be sent a hedged request before the deadline.
func (m *StateMachine) mayHedge(shard *shardRequest) bool {
	return !m.request.AtMostOnce() && shard.attempts-shard.unwritten < maxAttempts && shard.hedgeAt < m.deadline
}

// hedgeSlow sends a hedged request for each shard whose last attempt has taken too long.
func (m *StateMachine) hedgeSlow(now clock.Micros) {
	for shardIndex := range m.shardRequests {
		shard := &m.shardRequests[shardIndex]
		if shard.openAttempts == 0 || shard.answered || !m.mayHedge(shard) || now < shard.hedgeAt || now >= m.deadline {
			continue
		}
		shard.reason = "no answer yet"
		before := shard.attempts
		m.send(now, shardIndex, sendRetry)
		if shard.attempts == before {
			shard.hedgeAt = m.deadline
		}
	}
}

// cancelShard cancels the open attempts for a shard that has answered.
func (m *StateMachine) cancelShard(now clock.Micros, shardIndex int) {
	for n := range m.attempts {
		if attempt := &m.attempts[n]; attempt.shard == shardIndex && attempt.open {
			m.cancelAttempt(now, n)
		}
	}
}

// cancelAttempt cancels an open attempt. If the attempt has already taken longer than its backend's
// average latency, the elapsed time is included in the average.
func (m *StateMachine) cancelAttempt(now clock.Micros, n int) {
	attempt := &m.attempts[n]
	gauge := attempt.backend.Gauge
	if took := now - attempt.sentAt; took > gauge.Latency.Load() {
		gauge.Latency.Store(gauge.Latency.Load() + (took-gauge.Latency.Load())/8)
	}
	m.closeAttempt(now, n, Result{})
	m.emit(Cancel{Attempt: n})
}

// closeAttempt closes an open attempt and updates its backend's gauge from the result.
func (m *StateMachine) closeAttempt(now clock.Micros, n int, result Result) {
	attempt := &m.attempts[n]
	if !attempt.open {
		return
	}
	attempt.open = false
	m.shardRequests[attempt.shard].openAttempts--
	gauge := attempt.backend.Gauge
	gauge.Outstanding.Add(-1)
	if result.Incarnation > gauge.Incarnation.Load() {
		gauge.Incarnation.Store(result.Incarnation)
	}
	switch result.Class {
	case ClassOK, ClassNotFound:
		gauge.Succeeded(now - attempt.sentAt)
		gauge.Usage.Store(result.Load)
	case ClassInvalid:
		gauge.Corrupted(now)
		m.dispatcher.Counts.Add("answers_garbage", 1)
	case ClassFailed, ClassNotSent, ClassRejected:
		gauge.Failed(now)
	}
}

// recordLateResult updates the backend's gauge from a result that arrived after the request finished.
func (m *StateMachine) recordLateResult(now clock.Micros, late AttemptDone) {
	if late.Attempt < len(m.attempts) {
		m.closeAttempt(now, late.Attempt, late.Result)
	}
}
