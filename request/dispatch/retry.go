package dispatch

import (
	"net/http"

	"wallport/runtime/clock"
)

// maxUnsent bounds, for one shard, the number of attempts of which no byte was written.
const maxUnsent = 4

// staleConnWithin is the time within which an attempt fails if the backend has already closed the idle connection
// that it uses.
const staleConnWithin = 10 * clock.Millisecond

// attemptDone handles the result of an attempt. Its shard then succeeds, is retried or is marked as missing.
func (m *StateMachine) attemptDone(now clock.Micros, done *AttemptDone) {
	if done.N < 0 || done.N >= len(m.attempts) || !m.attempts[done.N].inFlight {
		return
	}
	result := &done.Result
	attempt := m.attempts[done.N] // a copy, because a retry may reallocate the slice
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

// succeed stores a shard's successful response and abandons the shard's other attempts.
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

// keepResult keeps a result for the outcome. It stores a copy so that the event itself is not allocated on the heap.
func (shard *shardRequest) keepResult(result *Result) {
	last := *result
	shard.lastResult = &last
}

// validate reclassifies a response as invalid if it is a success without a seal, or if it has the seal of another
// shard's response.
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

// isSuccess reports whether a result is a complete, sealed response with a 2xx status.
func isSuccess(result *Result) bool {
	return result.Class == ClassResponse && isSuccessStatus(result.Status) && result.Seal != ""
}

func isSuccessStatus(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// retry sends the request to another backend if the number of attempts, the deadline, the retry budget and the
// routing table allow it. Otherwise it marks the shard as missing, unless another attempt is in flight.
func (m *StateMachine) retry(now clock.Micros, shardIndex int, why sendReason) {
	shard := &m.shards[shardIndex]
	allowed := shard.sent < m.maxBackends() && now < m.deadline && (why != sendReplacement || shard.unsent < maxUnsent)
	if allowed && m.refreshPool(shard) && m.send(now, shardIndex, why) {
		return
	}
	shard.missing = shard.inFlight == 0
}

// closeAttempt records the end of an attempt in the measurements of the backend; result is nil if the attempt was
// cancelled.
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

// recordResult updates the measurements of the attempt's backend and reports whether the result ejects the backend.
func (m *StateMachine) recordResult(now clock.Micros, attempt *attempt, result *Result) (ejected bool) {
	shard, count := &m.shards[attempt.shard], &m.dispatcher.count
	b, gauge := attempt.endpoint.backend, attempt.endpoint.listed.Gauge
	took := now - attempt.startedAt
	switch {
	case isSuccess(result):
		load := attempt.load
		if result.Load.Known {
			load = max(load, result.Load.total())
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

// isStaleConn reports whether an attempt failed in the way that is typical of a closed idle connection.
func isStaleConn(result *Result, took clock.Micros) bool {
	if !result.ReusedConn || result.TimedOut {
		return false
	}
	return result.Class == ClassNotSent || result.Class == ClassFailed && took < staleConnWithin
}

// abandon handles an attempt whose response is no longer needed. The backend may finish its work: cancelling would
// waste that work and cost the node the connection. If the backend is unresponsive or the deadline has passed, the
// attempt is cancelled and counts as a failure.
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
