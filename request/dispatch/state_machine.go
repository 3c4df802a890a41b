package dispatch

import (
	"net/http"

	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// staleRecheck is how often a request looks for a fresh snapshot while the node's own is stale.
	staleRecheck = 10 * clock.Millisecond
	// lateRecheck is how often a gathered request past its latency target decides anew whether to wait on.
	lateRecheck = 20 * clock.Millisecond
	// minNetworkAllowance and maxNetworkAllowance bound what is kept of a client's time for the way there and back.
	minNetworkAllowance = 8 * clock.Millisecond
	maxNetworkAllowance = 25 * clock.Millisecond
	// targetNetworkAllowance is what is kept of the target latency for the client's own links.
	targetNetworkAllowance = 8 * clock.Millisecond
	// maxTimeoutMargin is what is kept of the route's own timeout.
	maxTimeoutMargin = 2 * clock.Millisecond
)

// StateMachine is one request under way. It is used by one goroutine at a time.
type StateMachine struct {
	dispatcher *Dispatcher
	request    Request
	state      State
	finished   bool

	view  *view
	route *routing.Route
	plan  *routePlan

	startedAt clock.Micros
	// targetAt is when a response stops earning its full value, deadline when the outcome must be given.
	targetAt, deadline clock.Micros
	// timerAt is when the last timer was set to, 0 before the first.
	timerAt clock.Micros

	// shards are the requests to pools: one, or one for each pool of a route that fans out.
	shards []shardRequest
	// attempts are all attempts in the order of their numbers.
	attempts []attempt

	random  random.Source
	actions []Action
	trace   traceBuffer

	// The common case needs no allocation for its one shard and its attempts.
	shardBuf   [1]shardRequest
	attemptBuf [2]attempt
}

// shardRequest is the part of a request that one pool is to answer, with its attempts' common state.
type shardRequest struct {
	pool    *pool
	latency *latencyStats
	// tried are the backends of its attempts.
	tried    []*backend
	triedBuf [3]*backend

	// lastResult is the response or the failure to answer a request of one pool with. records and seal are the
	// response to a request that fans out.
	lastResult *Result
	records    []byte
	seal       string

	// The flags stand together, so that they share one word.

	// succeeded is set once a good response came; missing once none will come any more.
	succeeded, missing bool
	// staleConn is set where an attempt failed as it does when an idle connection had been closed.
	staleConn bool
	// mayHaveRun is set where an attempt failed and may have run.
	mayHaveRun bool
	// bestStanding and overloaded are what admission found in the pool.
	bestStanding standing
	overloaded   bool

	// inFlight counts attempts under way, sent those that count against max_backends, unsent those of which nothing
	// was written.
	inFlight, sent, unsent int
	// hedgeAt is when a hedged request is due.
	hedgeAt clock.Micros
	// reason says why the last attempt failed or none could be made.
	reason string
}

// attempt is the request as sent to one backend.
type attempt struct {
	// shard is the index of its shardRequest.
	shard     int
	endpoint  *endpoint
	startedAt clock.Micros
	// load is the backend's estimated load when the attempt began, in thousandths of requests.
	load     int64
	inFlight bool
	// abandoned is set where its response is no longer wanted.
	abandoned bool
}

// wanted reports whether the attempt is in flight and its response is still wanted.
func (a *attempt) wanted() bool { return a.inFlight && !a.abandoned }

// NewStateMachine returns the state machine of a request. Begin is its first event.
func NewStateMachine(d *Dispatcher, r Request, now clock.Micros) *StateMachine {
	m := &StateMachine{dispatcher: d, request: r, startedAt: now, state: StateRead, random: d.random()}
	if r.ReadAt != 0 {
		m.startedAt = r.ReadAt
	}
	return m
}

// State returns the state that the request is in.
func (m *StateMachine) State() State { return m.state }

// Done reports whether the outcome has been given.
func (m *StateMachine) Done() bool { return m.finished }

// Step takes one event and returns the actions to carry out, in their order. The slice is valid until the next
// Step.
func (m *StateMachine) Step(now clock.Micros, ev Event) []Action {
	m.actions = m.actions[:0]
	switch v := ev.(type) {
	case Begin:
		if !m.finished {
			m.begin(now)
		}
	case AttemptDone:
		m.attemptDone(now, &v)
	case TimerFired:
		if !m.finished {
			m.dispatcher.lag.record(now, now-m.timerAt)
			m.timerFired(now)
		}
	case ClientGone:
		if !m.finished {
			m.clientGone(now)
		}
	}
	return m.actions
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *StateMachine) transition(now clock.Micros, s State, detail string) {
	m.state = s
	m.trace.transition(now-m.startedAt, s, detail)
}

// begin matches the request to a route and admits it.
func (m *StateMachine) begin(now clock.Micros) {
	if snap := m.dispatcher.cfg.Snapshot(); snap != nil && snap.Stale && now-m.startedAt < snapshot.MaxStale {
		m.setTimer(now, now+staleRecheck)
		return
	}
	m.dispatcher.count.requests.Add(1)
	if m.timerAt == 0 {
		m.dispatcher.lag.record(now, now-m.startedAt)
	}
	if m.view = m.dispatcher.currentView(); m.view == nil {
		m.reject(now, reasonNoTable, notReadyRetryAfter)
		return
	}
	route := m.view.snapshot.Routing.Match(m.request.Host, m.request.Path)
	if route == nil {
		m.finish(now, StateRejected, Outcome{Status: http.StatusNotFound, Code: CodeNoRoute, Reason: reasonNoRoute})
		return
	}
	m.route, m.plan = route, m.dispatcher.planFor(m.view, route)
	m.setDeadlines()
	m.transition(now, StateMatched, route.Name)
	if now >= m.deadline {
		m.reject(now, reasonTooLate, 0)
		return
	}
	m.admit(now)
}

// setDeadlines sets when the request is to be answered.
func (m *StateMachine) setDeadlines() {
	r := m.route
	m.deadline = m.startedAt + r.TimeoutUs - min(r.TimeoutUs/4, maxTimeoutMargin)
	if timeout := m.request.Timeout; timeout > 0 {
		allowance := min(timeout/4, max(minNetworkAllowance, min(maxNetworkAllowance, timeout/25)))
		m.deadline = min(m.deadline, m.startedAt+timeout-allowance)
	}
	m.targetAt = m.startedAt + r.TargetLatencyUs - min(r.TargetLatencyUs/4, targetNetworkAllowance)
	if r.TargetLatencyUs <= 0 {
		m.targetAt = m.deadline
	}
	m.targetAt = min(m.targetAt, m.deadline)
}

// atMostOnce reports whether the request must not run twice.
func (m *StateMachine) atMostOnce() bool { return !m.route.Repeatable && !m.route.FansOut() }

// maxBackends is how many backends of a pool the request may be sent to.
func (m *StateMachine) maxBackends() int { return max(1, int(m.route.MaxBackends)) }

// nodes is the number of nodes that budgets and rates are divided by.
func (m *StateMachine) nodes() int { return m.view.snapshot.Divisor }

// timerFired begins a request that waited for a fresh snapshot, or sends the hedged requests that are due.
func (m *StateMachine) timerFired(now clock.Micros) {
	if m.state == StateRead {
		m.begin(now)
		return
	}
	for i := range m.shards {
		shard := &m.shards[i]
		if shard.inFlight == 0 || shard.succeeded || !m.mayHedge(shard) || now < shard.hedgeAt || now >= m.deadline {
			continue
		}
		if !m.refreshPool(shard) || !m.send(now, i, sendHedge) {
			// The budget or a backend may come free later.
			shard.hedgeAt = now + max(minHedgeDelay, shard.latency.median.Load())
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// clientGone ends a request for which nobody waits. What must not run twice is left to end by itself.
func (m *StateMachine) clientGone(now clock.Micros) {
	for n := range m.attempts {
		if attempt := &m.attempts[n]; attempt.wanted() {
			if m.atMostOnce() {
				attempt.abandoned = true
				m.emit(Abandon{N: n})
				continue
			}
			m.closeAttempt(now, n, nil)
			m.emit(Cancel{N: n})
		}
	}
	m.finish(now, StateFailed, Outcome{Code: CodeClientGone, Reason: "the client has gone"})
}

// resolve gives the outcome once it is known.
func (m *StateMachine) resolve(now clock.Micros) {
	switch {
	case m.finished:
	case m.route.FansOut():
		m.resolveGathered(now)
	default:
		m.resolveSingle(now)
	}
}

func (m *StateMachine) resolveSingle(now clock.Micros) {
	shard := &m.shards[0]
	switch {
	case shard.succeeded:
		m.finish(now, StateResponded, Outcome{Status: shard.lastResult.Status, Code: CodeOK, Response: shard.lastResult})
	case shard.missing && !shard.mayHaveRun:
		m.reject(now, shard.reason, m.retryAfter(now))
	case shard.missing:
		m.passThroughOrFail(now, shard)
	case now >= m.deadline:
		m.finish(now, StateFailed, Outcome{Status: http.StatusGatewayTimeout, Code: CodeFailed, Reason: "no answer in time"})
	}
}

// passThroughOrFail passes on a backend's own failure, or reports one of the node's own. A backend's status that
// says that nothing ran is not passed on, since the backend has not vouched for it.
func (m *StateMachine) passThroughOrFail(now clock.Micros, shard *shardRequest) {
	result := shard.lastResult
	if result.Class == ClassResponse && result.Seal != "" && !promisesNotRun(result.Status) {
		m.finish(now, StateResponded, Outcome{Status: result.Status, Code: CodePassedThrough, Reason: shard.reason, Response: result})
		return
	}
	o := Outcome{Status: http.StatusBadGateway, Code: CodeFailed, Reason: shard.reason}
	if m.atMostOnce() {
		o.Code = CodeUnknown
	}
	m.finish(now, StateFailed, o)
}

// promisesNotRun reports whether a status tells the client that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish gives the outcome, once, and abandons what is still in flight.
func (m *StateMachine) finish(now clock.Micros, s State, o Outcome) {
	if m.finished {
		return
	}
	m.finished = true
	m.checkOutcome(&o)
	for n := range m.attempts {
		if m.attempts[n].wanted() {
			m.abandon(now, n)
		}
	}
	m.transition(now, s, string(o.Code))
	m.dispatcher.countOutcome(o.Code)
	m.recordTrace(now, &o)
	m.emit(Finish{Outcome: o})
}

func (m *StateMachine) setTimer(now, at clock.Micros) {
	m.timerAt = max(at, now+1)
	m.emit(SetTimer{At: m.timerAt})
}

// scheduleTimer sets the timer to the next moment at which something is to be decided without a result. One that
// is set to an earlier moment is kept: it costs one look too many.
func (m *StateMachine) scheduleTimer(now clock.Micros) {
	if m.finished {
		return
	}
	if at := m.nextDecision(now); m.timerAt <= now || at < m.timerAt {
		m.setTimer(now, at)
	}
}

func (m *StateMachine) nextDecision(now clock.Micros) clock.Micros {
	at := m.deadline
	for i := range m.shards {
		if shard := &m.shards[i]; shard.inFlight > 0 && !shard.succeeded && m.mayHedge(shard) {
			at = min(at, shard.hedgeAt)
		}
	}
	if !m.route.FansOut() {
		return at
	}
	if m.targetAt > now {
		at = min(at, m.targetAt)
	} else {
		at = min(at, now+lateRecheck)
	}
	for n := range m.attempts {
		// A backend on trial is waited for no longer than it may be expected to take.
		if attempt := &m.attempts[n]; attempt.wanted() && attempt.endpoint.backend.ejections.Load() > 0 {
			if until := m.expectedUntil(attempt); until > now {
				at = min(at, until)
			}
		}
	}
	return at
}
