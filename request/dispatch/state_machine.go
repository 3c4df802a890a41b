package dispatch

import (
	"net/http"

	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// staleRecheck is the interval at which a request checks for a fresh snapshot while the current one is stale.
	staleRecheck = 10 * clock.Millisecond
	// lateRecheck is the interval at which a request that fans out decides, past its latency target, whether to keep
	// waiting.
	lateRecheck = 20 * clock.Millisecond
	// minNetworkAllowance and maxNetworkAllowance bound the part of a client's timeout that is reserved for the
	// network round trip between client and node.
	minNetworkAllowance = 8 * clock.Millisecond
	maxNetworkAllowance = 25 * clock.Millisecond
	// targetNetworkAllowance is the part of the target latency that is reserved for the network between client and
	// node.
	targetNetworkAllowance = 8 * clock.Millisecond
	// maxTimeoutMargin bounds the part of the route's timeout that is held back from the deadline.
	maxTimeoutMargin = 2 * clock.Millisecond
)

// StateMachine handles one request. It is not safe for concurrent use.
type StateMachine struct {
	dispatcher *Dispatcher
	request    Request
	state      State
	finished   bool

	view  *view
	route *routing.Route
	plan  *routePlan

	startedAt clock.Micros
	// A response has its full value until targetAt. The outcome must be returned by deadline.
	targetAt, deadline clock.Micros
	// timerAt is the time that the last timer was set to, 0 before the first.
	timerAt clock.Micros

	// shards holds one element for each shard of a route that fans out, and a single element for other routes.
	shards []shardRequest
	// attempts holds all attempts by number.
	attempts []attempt

	random  random.Source
	actions []Action
	trace   traceBuffer

	// These buffers save the allocations for one shard and up to two attempts, the common case.
	shardBuf   [1]shardRequest
	attemptBuf [2]attempt
}

// shardRequest is the part of a request that is sent to one pool, with the common state of its attempts.
type shardRequest struct {
	pool    *pool
	latency *latencyStats
	// tried holds the backends that the attempts were sent to.
	tried    []*backend
	triedBuf [3]*backend

	// lastResult is the response or failure that the outcome of a request to a single pool is based on. records and
	// seal hold the shard's response if the request fans out.
	lastResult *Result
	records    []byte
	seal       string

	// The flags are adjacent so that they share one word.

	// succeeded is set once a successful response has been received, missing once no such response is possible any
	// more.
	succeeded, missing bool
	// staleConn is set if an attempt failed in the way that is typical of a closed idle connection.
	staleConn bool
	// mayHaveRun is set if an attempt failed and may have run.
	mayHaveRun bool
	// bestStanding and overloaded hold the pool's assessment at admission.
	bestStanding standing
	overloaded   bool

	// inFlight counts the attempts in flight, sent the attempts that count against max_backends, and unsent the
	// attempts of which no byte was written.
	inFlight, sent, unsent int
	// hedgeAt is when a hedged request is due.
	hedgeAt clock.Micros
	// reason says why the last attempt failed or why no attempt could be started.
	reason string
}

// attempt is one sending of the request to one backend.
type attempt struct {
	// shard is the index of its shardRequest.
	shard     int
	endpoint  *endpoint
	startedAt clock.Micros
	// load is the backend's estimated load when the attempt began, in thousandths of requests.
	load     int64
	inFlight bool
	// abandoned is set once the response is no longer needed, if the attempt was not cancelled.
	abandoned bool
}

// wanted reports whether the attempt is in flight and its response is still needed.
func (a *attempt) wanted() bool { return a.inFlight && !a.abandoned }

// NewStateMachine returns the state machine of a request. Its first event must be Begin.
func NewStateMachine(d *Dispatcher, r Request, now clock.Micros) *StateMachine {
	m := &StateMachine{dispatcher: d, request: r, startedAt: now, state: StateRead, random: d.random()}
	if r.ReadAt != 0 {
		m.startedAt = r.ReadAt
	}
	return m
}

// State returns the current state of the request.
func (m *StateMachine) State() State { return m.state }

// Done reports whether the outcome has been returned.
func (m *StateMachine) Done() bool { return m.finished }

// Step handles one event and returns the actions to carry out, in order. The slice is valid until the next call.
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

// setDeadlines sets the request's deadline and the time of its latency target.
func (m *StateMachine) setDeadlines() {
	r := m.route
	m.deadline = m.startedAt + r.TimeoutUs - min(r.TimeoutUs/4, maxTimeoutMargin)
	if timeout := m.request.Timeout; timeout > 0 {
		allowance := min(timeout/4, max(minNetworkAllowance, min(maxNetworkAllowance, timeout/25)))
		m.deadline = min(m.deadline, m.startedAt+timeout-allowance)
	}
	m.targetAt = m.startedAt + r.TargetLatencyUs - min(r.TargetLatencyUs/4, targetNetworkAllowance)
	if r.TargetLatencyUs <= targetNetworkAllowance {
		// No response can meet the target, so that none is rejected or cut short for its sake.
		m.targetAt = m.deadline
	}
	m.targetAt = min(m.targetAt, m.deadline)
}

// atMostOnce reports whether the request must not run more than once.
func (m *StateMachine) atMostOnce() bool { return !m.route.Repeatable && !m.route.FansOut() }

// maxBackends returns how many backends of a pool the request may be sent to. A route that does not say so allows one.
func (m *StateMachine) maxBackends() int {
	if m.route.MaxBackends == nil {
		return 1
	}
	return int(*m.route.MaxBackends)
}

// nodes returns the number of nodes by which budgets and rates are divided.
func (m *StateMachine) nodes() int { return m.view.snapshot.Divisor }

// timerFired starts the request if it has been waiting for a fresh snapshot. Otherwise it sends the hedged requests
// that are due and finishes the request if its outcome is known, for example because its deadline has passed.
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
			// Try again later: the retry budget or a backend may be available by then.
			shard.hedgeAt = now + max(minHedgeDelay, shard.latency.median.Load())
		}
	}
	m.resolve(now)
	m.scheduleTimer(now)
}

// clientGone ends a request whose client closed its connection. It cancels the attempts in flight, or abandons them if
// the request must not run twice.
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

// resolve finishes the request once its outcome is known.
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

// passThroughOrFail passes on a backend's sealed error response, or else fails the request with 502. A status that
// promises that the request has not run is not passed on, since the backend did not state so explicitly.
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

// promisesNotRun reports whether a status promises the client that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish emits the outcome and abandons the attempts still in flight. Only its first call has an effect.
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

// scheduleTimer sets the timer to the next time at which a decision is due even without a result. A timer that is
// already set to an earlier time is kept; it only causes one superfluous check.
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
		// Wait for a backend on trial only until its response is due.
		if attempt := &m.attempts[n]; attempt.wanted() && attempt.endpoint.backend.ejections.Load() > 0 {
			if until := m.expectedUntil(attempt); until > now {
				at = min(at, until)
			}
		}
	}
	return at
}
