package search

import (
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// maxReplyMargin bounds what is kept of a deadline for the response's own way back, which is
	// a twentieth of it.
	maxReplyMargin = 20 * clock.Millisecond
	// partialAfterPercent is how much of its deadline a search waits for its last shards once it
	// has its required share.
	partialAfterPercent = 80
	// staleRecheckInterval is how often a request that waits for the fresh snapshot of a thawed
	// node looks again.
	staleRecheckInterval = 10 * clock.Millisecond
)

// StateMachine is one request under way. It is used by one goroutine at a time.
type StateMachine struct {
	dispatcher *Dispatcher
	request    Request
	state      State
	finished   bool
	startedAt  clock.Micros
	deadline   clock.Micros

	// snapshot and index are what backends are selected from; they are replaced by newer ones
	// while these have the same shard map, which stays for the whole request.
	snapshot *snapshot.Snapshot
	index    *snapshot.Index
	shardMap string

	// shardRequests has an element for each shard; of a request for one record, only that of
	// recordShard is used.
	shardRequests []shardRequest
	recordShard   int
	attempts      []attempt

	// keyAdmitted says that the key's owners admitted the request, under keyToken.
	keyAdmitted bool
	keyToken    string
	// isRepeat marks a caller's repeat: its attempts are paid from the retry budget.
	isRepeat bool

	rnd     random.Source
	actions []Action
	trace   *Trace
}

// NewStateMachine returns the state machine of a checked request.
func NewStateMachine(d *Dispatcher, request Request, now clock.Micros) *StateMachine {
	id := d.newID()
	m := &StateMachine{dispatcher: d, request: request, startedAt: now, state: StateRead, rnd: d.newRandom()}
	m.trace = newTrace(id, &request, now)
	return m
}

// ID returns the request's id.
func (m *StateMachine) ID() string { return m.trace.ID }

// State returns the state that the request is in.
func (m *StateMachine) State() State { return m.state }

// Done reports whether the outcome has been given.
func (m *StateMachine) Done() bool { return m.finished }

// Step takes one event and returns the actions to carry out, in order.
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

// begin classifies the request and admits it by the limits. Where the snapshot is stale, it waits.
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

// setDeadline takes the caller's deadline, or the index's, and keeps a margin for the way back.
func (m *StateMachine) setDeadline() {
	timeout := m.request.Deadline
	if timeout == 0 {
		timeout = m.index.Service.DeadlineUs
	}
	timeout = min(timeout, m.index.Service.MaxDeadlineUs)
	m.deadline = m.startedAt + timeout - min(timeout/20, maxReplyMargin)
}

// timerFired starts a request that waited for a snapshot, rejects one whose key was not admitted
// in time, and hedges attempts that are slow.
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

// scheduleTimer sets the timer to the next moment at which time alone changes what is to be done.
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

// partialAt is when a search stops waiting for shards beyond its required share.
func (m *StateMachine) partialAt() clock.Micros {
	return m.startedAt + (m.deadline-m.startedAt)*partialAfterPercent/100
}

// reject finishes a request that did not run; the caller may retry after so many seconds.
func (m *StateMachine) reject(now clock.Micros, code Code, why string, retryAfter int) {
	m.finish(now, StateRejected, Outcome{Code: code, Why: why, Ran: ExecutionNone, Retry: retryAfter})
}

// finish cancels what is open, resolves the key and gives the outcome, once.
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
