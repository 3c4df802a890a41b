package dispatch

import (
	"net/http"

	"wallport/runtime/clock"
)

// Reasons for rejections, as shown to clients and in traces.
const (
	reasonNoTable        = "this node has no routing table yet"
	reasonNoRoute        = "no route"
	reasonTooLate        = "the time was over before a backend was asked"
	reasonNodeBehind     = "this node is behind"
	reasonOverloaded     = "every backend is too busy"
	reasonAllDown        = "all backends are down"
	reasonAllEjected     = "all backends are ejected"
	reasonNoBackend      = "no backend may be asked"
	reasonTooFewPools    = "too few pools have a backend"
	reasonNoneAllowed    = "the route allows no backend to be asked"
	reasonCoverage       = "the route wants more than all of its parts"
	reasonBudgetUsedUp   = "the budget of extra asks is used up"
	reasonSlowStartUsed  = "a cold backend can bear no more"
	reasonRejectedPrefix = "turned away: "
)

// Bounds for the Retry-After times of rejections. minRetryAfter and maxRetryAfter apply before jitter, which at most
// doubles the time, and leastRetryAfter to the final time. notReadyRetryAfter is used while the node has no routing
// table; maxRetryAfterDown is the upper bound while all backends of a pool are down.
const (
	notReadyRetryAfter = 150 * clock.Millisecond
	leastRetryAfter    = 1 * clock.Millisecond
	minRetryAfter      = 10 * clock.Millisecond
	maxRetryAfter      = 150 * clock.Millisecond
	maxRetryAfterDown  = 1 * clock.Second
)

// Load shedding thresholds: below a Low threshold no request is rejected, above the High one all are. queueTimeLow and
// queueTimeHigh apply to the expected time in the backend's queue, as a share of the time that remains until the
// latency target after the work itself. utilizationLow and utilizationHigh apply to the backend's load, as a share of
// the load at which it rejected a request.
const (
	queueTimeLow    = 0.25
	queueTimeHigh   = 0.7
	utilizationLow  = 0.5
	utilizationHigh = 0.9
	// lowPriorityFactor multiplies the pressure for routes whose priority is lower than highPriority.
	lowPriorityFactor = 1.5
)

// admit sends the request to a backend. If no backend is expected to respond in time, it rejects the request
// immediately, so that the client has time to try another node.
func (m *StateMachine) admit(now clock.Micros) {
	if m.maxBackends() <= 0 {
		m.reject(now, reasonNoneAllowed, m.retryAfterDown(now))
		return
	}
	if m.route.FansOut() {
		m.admitFanOut(now)
		return
	}
	i := m.selectPool(now)
	m.shards, m.attempts = m.shardBuf[:], m.attemptBuf[:0]
	m.openShard(now, 0, i)
	best, pressure := m.assess(now, &m.shards[0])
	if best >= standingDown {
		m.reject(now, reasonAllDown, m.retryAfterDown(now))
		return
	}
	if m.rejectsAt(max(pressure, m.lagPressure(now)), m.random.Float64()) {
		m.reject(now, reasonOverloaded, m.retryAfter(now))
		return
	}
	m.transition(now, StateAdmitted, m.shards[0].pool.name)
	if !m.send(now, 0, sendFirst) {
		m.reject(now, m.shards[0].reason, m.retryAfter(now))
		return
	}
	m.state = StateSent
	m.scheduleTimer(now)
}

// openShard initializes a shard request for one of the plan's pools and credits the request to the pool's retry
// budget.
func (m *StateMachine) openShard(now clock.Micros, shardIndex, poolIndex int) {
	shard := &m.shards[shardIndex]
	shard.pool, shard.latency, shard.tried = m.plan.pools[poolIndex], m.plan.latency[poolIndex], shard.triedBuf[:0]
	shard.pool.retryBudget.replenish(now, m.nodes(), &m.random)
}

// selectPool draws one of the route's pools by weight and returns its index in the plan. If no backend of that pool
// is available, it returns the first pool with an available backend, or else the pool that was drawn.
func (m *StateMachine) selectPool(now clock.Micros) int {
	plan := m.plan
	if len(plan.pools) == 1 {
		return 0
	}
	drawn := m.drawPool()
	if m.hasAvailable(now, plan.pools[drawn], plan.latency[drawn]) {
		return drawn
	}
	for i := range plan.pools {
		if m.hasAvailable(now, plan.pools[i], plan.latency[i]) {
			return i
		}
	}
	return drawn
}

func (m *StateMachine) drawPool() int {
	name := m.route.PoolAt(m.random.Float64())
	for i, p := range m.plan.pools {
		if p.name == name {
			return i
		}
	}
	return 0
}

// rejectsAt reports whether the request is rejected under this pressure, given a number drawn from [0, 1), and
// counts the rejection. A request that fans out is counted once for each overloaded pool, even if it is served by
// the other pools. Under the same pressure, routes of lower priority are rejected more often.
func (m *StateMachine) rejectsAt(pressure, drawn float64) bool {
	if m.route.Priority > highPriority {
		pressure *= lowPriorityFactor
	}
	if drawn >= pressure {
		return false
	}
	m.dispatcher.count.overloaded.Add(1)
	return true
}

// assess returns the best standing among the pool's backends that can be used now, and the pressure on the pool: the
// share of requests to reject because even the least loaded of these backends is about to reject requests or to
// respond late.
func (m *StateMachine) assess(now clock.Micros, shard *shardRequest) (best standing, pressure float64) {
	// unknown exceeds every real pressure, which is at most 1.
	const unknown = 2.0
	best, pressure = standingNone, unknown
	p := shard.pool
	for i := range p.endpoints {
		if best == standingUsable && pressure <= 0 {
			break
		}
		e := &p.endpoints[i]
		at := e.standing(now, shard.latency, m.atMostOnce())
		if at >= standingDown || p.warmingUp(now, e.backend) && !e.backend.slowStart.available(now, p.RampPerS, m.nodes(), &m.random) {
			continue
		}
		best = min(best, at)
		if e.backend.slots.Load() <= 0 {
			pressure = 0
		}
		if pressure <= 0 || at >= standingEjected {
			continue
		}
		pressure = min(pressure, 1, m.endpointPressure(now, e, shard.latency))
	}
	if pressure == unknown {
		// All backends that can be used, if any, are ejected. No pressure is computed for ejected backends, so that
		// requests still try them.
		return best, 0
	}
	return best, max(0, pressure)
}

// endpointPressure returns the pressure on a backend with a known number of slots. A result of 0 or less means no
// pressure.
func (m *StateMachine) endpointPressure(now clock.Micros, e *endpoint, latency *latencyStats) float64 {
	b := e.backend
	median := latency.median.Load()
	work, load := median*b.expectedRatio(now)/unit, b.estimatedLoad(now, median)
	// The minimum of 3 µs keeps target/3, and so the divisor slack, above 0.
	target := max(3, m.targetAt-now)
	slack := max(target-work, target/3)
	pressure := (float64(queueTime(load, b.slots.Load(), work))/float64(slack) - queueTimeLow) / (queueTimeHigh - queueTimeLow)
	if rejected := b.rejectedLoad.Load(); rejected > 0 {
		pressure = max(pressure, (float64(load)/float64(rejected)-utilizationLow)/(utilizationHigh-utilizationLow))
	}
	return pressure
}

// retryAfter returns the jittered time after which a rejected client may retry. It is short enough for a retry to
// meet the latency target.
func (m *StateMachine) retryAfter(now clock.Micros) clock.Micros {
	after := maxRetryAfter
	if m.route != nil {
		after = max(minRetryAfter, min(maxRetryAfter, m.route.TargetLatencyUs/4))
	}
	after += int64(m.random.IntN(int(after)))
	if m.deadline > now {
		after = min(after, (m.deadline-now)/3)
	}
	return max(after, leastRetryAfter)
}

// retryAfterDown returns the time after which a client may retry if no backend of the pool can be used. It is usually
// longer than the result of retryAfter, but still within the time that remains until the deadline.
func (m *StateMachine) retryAfterDown(now clock.Micros) clock.Micros {
	left := m.deadline - now
	return max(m.retryAfter(now), min(maxRetryAfterDown, left/5+int64(m.random.IntN(int(max(1, left/8))))))
}

// reject ends the request with status 503. It must not be called once a backend may have run the request.
func (m *StateMachine) reject(now clock.Micros, reason string, retryAfter clock.Micros) {
	if retryAfter <= 0 {
		retryAfter = minRetryAfter
	}
	m.finish(now, StateRejected, Outcome{Status: http.StatusServiceUnavailable, Code: CodeRejected, Reason: reason, RetryAfter: retryAfter})
}
