package dispatch

import (
	"net/http"

	"wallport/runtime/clock"
)

// maxUnsent bounds the attempts for one shard of which nothing was written.
const maxUnsent = 4

// staleConnWithin is how soon an attempt on an idle connection that the backend had closed fails.
const staleConnWithin = 10 * clock.Millisecond

// attemptDone takes the result of an attempt: its shard succeeds, is retried or goes missing.
func (m *StateMachine) attemptDone(now clock.Micros, done *AttemptDone) {
	if done.N < 0 || done.N >= len(m.attempts) || !m.attempts[done.N].inFlight {
		return
	}
	result := &done.Result
	attempt := m.attempts[done.N] // a copy: a retry may move the slice
	shard := &m.shards[attempt.shard]
	if result.Class == ClassResponse {
		m.validate(attempt.shard, result)
	}
	m.closeAttempt(now, done.N, result)
	m.trace.ended(now-m.startedAt, done.N, result)
	shard.staleConn = shard.staleConn || isStaleConn(result, now-attempt.startedAt)
	if m.finished || shard.succeeded || shard.missing {
		return
	}
	switch {
	case isSuccess(result):
		m.succeed(now, attempt.shard, result)
	case result.Class == ClassNotSent:
		shard.reason = result.Reason
		shard.sent--
		shard.unsent++
		m.retry(now, attempt.shard, sendReplacement)
	case result.Class == ClassRejected:
		shard.reason = reasonRejectedPrefix + result.Reason
		m.retry(now, attempt.shard, sendRetry)
	default:
		shard.mayHaveRun = true
		shard.keepResult(result)
		shard.reason = result.Reason
		if m.atMostOnce() {
			shard.missing = true
		} else {
			m.retry(now, attempt.shard, sendRetry)
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// succeed takes a shard's good response and abandons its other attempt.
func (m *StateMachine) succeed(now clock.Micros, shardIndex int, result *Result) {
	shard := &m.shards[shardIndex]
	shard.succeeded = true
	if m.route.FansOut() {
		shard.records, shard.seal = result.Body, result.Seal
	} else {
		shard.keepResult(result)
	}
	for n := range m.attempts {
		if other := &m.attempts[n]; other.wanted() && other.shard == shardIndex {
			m.abandon(now, n)
		}
	}
}

// keepResult keeps a result for the outcome. The copy lets the event itself stay off the heap.
func (shard *shardRequest) keepResult(result *Result) {
	last := *result
	shard.lastResult = &last
}

// validate makes a response invalid that cannot be one: a success without a seal, or with that of another shard.
func (m *StateMachine) validate(shardIndex int, result *Result) {
	if result.Seal == "" {
		if isSuccessStatus(result.Status) {
			result.Class, result.Reason = ClassInvalid, "a success without its seal"
		}
		return
	}
	if !m.route.FansOut() {
		return
	}
	for i := range m.shards {
		if other := &m.shards[i]; other.succeeded && other.seal == result.Seal && i != shardIndex {
			result.Class, result.Reason = ClassInvalid, "the seal of another part"
		}
	}
}

// isSuccess reports whether a result is a success that may be passed on.
func isSuccess(result *Result) bool {
	return result.Class == ClassResponse && isSuccessStatus(result.Status) && result.Seal != ""
}

func isSuccessStatus(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// retry sends the request to another backend where the number of attempts, the time, the budget and the routing
// table allow it. Otherwise the shard is missing, unless another attempt is in flight.
func (m *StateMachine) retry(now clock.Micros, shardIndex int, why sendReason) {
	shard := &m.shards[shardIndex]
	allowed := shard.sent < m.maxBackends() && now < m.deadline && (why != sendReplacement || shard.unsent < maxUnsent)
	if allowed && m.refreshPool(shard) && m.send(now, shardIndex, why) {
		return
	}
	shard.missing = shard.inFlight == 0
}

// closeAttempt ends an attempt in the backend's gauges; result is nil where the attempt was cancelled.
func (m *StateMachine) closeAttempt(now clock.Micros, n int, result *Result) {
	attempt := &m.attempts[n]
	shard := &m.shards[attempt.shard]
	attempt.inFlight = false
	shard.inFlight--
	m.checkGauges(shard)
	b := attempt.endpoint.backend
	b.attemptEnded(now, result != nil && !result.TimedOut && result.Class != ClassNotSent)
	attempt.endpoint.listed.Gauge.Outstanding.Add(-1)
	if result != nil {
		b.recordLoadReport(now, result.Load)
		m.dispatcher.countEjection(m.recordResult(now, attempt, result))
	}
}

// recordResult takes what a result says of its backend and reports whether it ejects it.
func (m *StateMachine) recordResult(now clock.Micros, attempt *attempt, result *Result) (ejected bool) {
	shard, count := &m.shards[attempt.shard], &m.dispatcher.count
	b, gauge := attempt.endpoint.backend, attempt.endpoint.listed.Gauge
	took := now - attempt.startedAt
	switch {
	case isSuccess(result):
		load := attempt.load
		if result.Load.Known {
			load = max(load, int64(result.Load.Running+result.Load.Queued)*unit)
		}
		if b.recordSuccess(now, took, load, shard.latency) {
			shard.pool.scheduleTrials(now, &m.random)
		}
		gauge.Succeeded(took)
	case result.Class == ClassRejected && result.WrongBackend:
		return b.markReplaced(now)
	case result.Class == ClassRejected:
		count.rejected.Add(1)
		b.recordRejection(now, result.Load)
	case result.Class == ClassNotSent:
		count.notSent.Add(1)
		if !result.ReusedConn {
			return b.recordFailure(now, failure{startedAt: attempt.startedAt, weight: 1}, m.nodes())
		}
	case result.Class == ClassInvalid:
		count.invalid.Add(1)
		gauge.Corrupted(now)
		return b.recordFailure(now, failure{startedAt: attempt.startedAt, weight: 2}, m.nodes())
	case isStaleConn(result, took):
		count.failed.Add(1)
	default:
		count.failed.Add(1)
		gauge.Failed(now)
		timedOut := result.TimedOut && took > shard.latency.responseTimeout()
		return b.recordFailure(now, failure{startedAt: attempt.startedAt, weight: 1, timedOut: timedOut}, m.nodes())
	}
	return false
}

// isStaleConn reports whether an attempt failed as it does when its idle connection had been closed.
func isStaleConn(result *Result, took clock.Micros) bool {
	if !result.ReusedConn || result.TimedOut {
		return false
	}
	return result.Class == ClassNotSent || result.Class == ClassFailed && took < staleConnWithin
}

// abandon gives up an attempt whose response is no longer wanted. Its backend may finish its work, since breaking
// it off would cost the backend that and the node its connection, unless the backend is silent or the time is over
// anyway.
func (m *StateMachine) abandon(now clock.Micros, n int) {
	attempt := &m.attempts[n]
	silent := now-attempt.startedAt > m.shards[attempt.shard].latency.responseTimeout()
	if !silent && now < m.deadline {
		attempt.abandoned = true
		m.dispatcher.count.abandoned.Add(1)
		m.emit(Abandon{N: n})
		return
	}
	m.closeAttempt(now, n, nil)
	f := failure{startedAt: attempt.startedAt, weight: 1, timedOut: silent}
	m.dispatcher.countEjection(attempt.endpoint.backend.recordFailure(now, f, m.nodes()))
	m.dispatcher.count.canceled.Add(1)
	m.emit(Cancel{N: n})
}
