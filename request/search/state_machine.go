package search

import (
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// maxReplyMargin bounds the margin that is reserved for returning the response to the caller. The
	// margin is a twentieth of the time until the deadline.
	maxReplyMargin = 20 * clock.Millisecond
	// partialAfterPercent is the percentage of its deadline after which a search that has its
	// required share of shards stops waiting for the remaining ones.
	partialAfterPercent = 80
	// staleRecheckInterval is the interval at which a request on a node that has just thawed checks
	// whether the snapshot is fresh again.
	staleRecheckInterval = 10 * clock.Millisecond
)

// StateMachine processes one request. It must not be used by several goroutines at the same time.
type StateMachine struct {
	dispatcher *Dispatcher
	request    Request
	state      State
	finished   bool
	startedAt  clock.Micros
	deadline   clock.Micros

	// Backends are selected from index, which is part of snapshot. A newer snapshot replaces them only
	// if it serves the same shard map, because shardMap is fixed for the whole request.
	snapshot *snapshot.Snapshot
	index    *snapshot.Index
	shardMap string

	// shardRequests has one element per shard. A request for a single record uses only the element
	// at recordShard.
	shardRequests []shardRequest
	recordShard   int
	attempts      []attempt

	// keyAdmitted reports whether the key's owners admitted the request; keyToken identifies the
	// admission.
	keyAdmitted bool
	keyToken    string
	// isRepeat is set if the key was used before. The first attempts of the request are then charged
	// to the retry budget.
	isRepeat bool

	rnd     random.Source
	actions []Action
	trace   *Trace
}

// NewStateMachine returns the state machine for a validated request.
func NewStateMachine(d *Dispatcher, request Request, now clock.Micros) *StateMachine {
	id := d.newID()
	m := &StateMachine{dispatcher: d, request: request, startedAt: now, state: StateRead, rnd: d.newRandom()}
	m.trace = newTrace(id, &request, now)
	return m
}

// ID returns the id of the request.
func (m *StateMachine) ID() string { return m.trace.ID }

// State returns the current state of the request.
func (m *StateMachine) State() State { return m.state }

// Done reports whether the request has finished.
func (m *StateMachine) Done() bool { return m.finished }

// Step processes one event and returns the actions to execute, in order.
func (m *StateMachine) Step(now clock.Micros, event Event) []Action {
	m.actions = nil
	if m.finished {
		if v, ok := event.(AttemptDone); ok {
			m.recordLateResult(now, v)
		}
		return nil
	}
	switch v := event.(type) {
	case Begin:
		m.begin(now)
	case KeyChecked:
		m.keyChecked(now, v.Admission)
	case AttemptDone:
		m.attemptDone(now, v)
	case TimerFired:
		m.timerFired(now)
	}
	return m.actions
}

func (m *StateMachine) transition(now clock.Micros, next State, detail string) {
	m.state = next
	m.trace.transition(now, next, detail)
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// begin classifies the request and checks it against the limits. If the snapshot is stale and less
// than snapshot.MaxStale has passed since the start, it only sets a timer to check again.
func (m *StateMachine) begin(now clock.Micros) {
	m.snapshot = m.dispatcher.Snapshot()
	if m.snapshot != nil && m.snapshot.Stale && now-m.startedAt < snapshot.MaxStale {
		m.emit(SetTimer{At: now + staleRecheckInterval})
		return
	}
	m.dispatcher.Counts.Add("inquiries", 1)
	if !m.snapshot.Ready() {
		m.reject(now, CodeUnavailable, "this node has no table yet", 1)
		return
	}
	m.trace.snapshot = m.snapshot
	index, ok := m.snapshot.Indexes[m.request.Index]
	if !ok {
		m.reject(now, CodeNotFound, "no such index", 0)
		return
	}
	m.index, m.shardMap = index, index.ShardMap.Name
	m.setDeadline()
	m.transition(now, StateClassified, string(m.request.Kind))
	ok, limit := m.dispatcher.withinLimits(m.snapshot, index, m.request.Kind, now)
	if !ok {
		m.dispatcher.Counts.Add("over_ceiling", 1)
		m.reject(now, CodeRateLimited, "the "+string(limit)+" of "+string(m.request.Kind)+" is used up", 1)
		return
	}
	m.trace.transition(now, StateAdmitted, string(limit))
	if m.request.Key != "" {
		m.requestAdmission(now)
		return
	}
	m.sendToShards(now)
}

// setDeadline sets the deadline. The time until it is the caller's or, without one, the default of
// the index. It is capped at the index's maximum and reduced by a margin for returning the response.
func (m *StateMachine) setDeadline() {
	timeout := m.request.Deadline
	if timeout == 0 {
		timeout = m.index.Service.DeadlineUs
	}
	timeout = min(timeout, m.index.Service.MaxDeadlineUs)
	m.deadline = m.startedAt + timeout - min(timeout/20, maxReplyMargin)
}

// timerFired handles the timer. It starts a request that waited for a fresh snapshot, and rejects a
// request whose key was not admitted in time. For a request that was sent it hedges slow attempts
// and checks whether the outcome is known.
func (m *StateMachine) timerFired(now clock.Micros) {
	switch m.state {
	case StateRead:
		m.begin(now)
	case StateClassified:
		m.dispatcher.Counts.Add("shed_claims", 1)
		m.reject(now, CodeUnavailable, ReasonTooFewKeyOwners+"no verdict in time", 1)
	default:
		m.refreshSnapshot()
		m.hedgeSlow(now)
		m.resolve(now)
		m.scheduleTimer(now)
	}
}

// scheduleTimer sets the timer to the earliest of the deadline, the next hedged request and the time
// at which a search may return a partial result.
func (m *StateMachine) scheduleTimer(now clock.Micros) {
	if m.finished {
		return
	}
	at := m.deadline
	for i := range m.shardRequests {
		shard := &m.shardRequests[i]
		if shard.openAttempts > 0 && !shard.answered && m.mayHedge(shard) {
			at = min(at, shard.hedgeAt)
		}
	}
	if m.request.Kind == KindSearch {
		if partialAt := m.partialAt(); partialAt > now {
			at = min(at, partialAt)
		}
	}
	m.emit(SetTimer{At: max(at, now+1)})
}

// partialAt returns when a search that has its required share stops waiting for more shards.
func (m *StateMachine) partialAt() clock.Micros {
	return m.startedAt + (m.deadline-m.startedAt)*partialAfterPercent/100
}

// reject finishes a request that did not run. retryAfter is in seconds.
func (m *StateMachine) reject(now clock.Micros, code Code, why string, retryAfter int) {
	m.finish(now, StateRejected, Outcome{Code: code, Why: why, Ran: ExecutionNone, Retry: retryAfter})
}

// finish cancels the open attempts, resolves the key and emits the outcome. Only the first call has
// an effect.
func (m *StateMachine) finish(now clock.Micros, last State, o Outcome) {
	if m.finished {
		return
	}
	m.finished = true
	o.ID = m.ID()
	m.transition(now, last, string(o.Code))
	for n := range m.attempts {
		if m.attempts[n].open {
			m.cancelAttempt(now, n)
		}
	}
	m.resolveKey(&o)
	m.dispatcher.Counts.Add("outcome_"+string(o.Code), 1)
	m.dispatcher.Traces.put(m.trace, now, o)
	m.emit(Finish{Outcome: o})
}
