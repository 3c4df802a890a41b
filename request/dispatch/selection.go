package dispatch

import (
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// standing says how usable a backend is for an attempt. The values are ordered from best to worst.
type standing uint8

const (
	standingUsable standing = iota
	// standingTrial means that the backend is ejected and a trial is due.
	standingTrial
	// standingEjected means that the backend is ejected, but may be used if there is no better one.
	standingEjected
	// standingRiskyTrial means that the backend is ejected and a trial is due, but the request may be sent only once.
	// Such a request is used for a trial only if it would otherwise be rejected or wait too long.
	standingRiskyTrial
	// standingDown means that the backend failed its trials or is unresponsive.
	standingDown
	// standingNone means that there is no backend.
	standingNone
)

const (
	// successTrustedFor is how long a successful attempt of this node overrides the fleet's health reports.
	successTrustedFor = 2 * clock.Second
	// downFailureRate is the share of failures, in thousandths, at which a backend that failed its trial is considered
	// down.
	downFailureRate = 700
)

// standing returns the backend's current standing.
func (e *endpoint) standing(now clock.Micros, latency *latencyStats, atMostOnce bool) standing {
	b := e.backend
	ejections := b.ejections.Load()
	var untilTrial standing
	switch {
	case now < b.replacedUntil.Load():
		// The backend is gone: a trial would only reach the other backend at its address again.
		return standingDown
	case ejections > 0 && (b.unresponsive.Load() || ejections >= 2 && b.currentFailureRate(now) >= downFailureRate):
		untilTrial = standingDown
	case ejections > 0:
		untilTrial = standingEjected
	case b.stalled(now, latency.responseTimeout()):
		untilTrial = standingDown
	case e.listed.Health >= snapshot.Suspect && now-b.succeededAt.Load() > successTrustedFor:
		untilTrial = standingEjected
	default:
		return standingUsable
	}
	switch {
	case now < b.ejectedUntil.Load():
		return untilTrial
	case atMostOnce:
		return standingRiskyTrial
	}
	return standingTrial
}

// Costs of a backend that are added to the expected time of the work itself; see endpoint.cost.
const (
	// idleQueueCost is the additional time that a request takes if all slots are in use but no request is queued, in
	// thousandths of its work. It applies in proportion to the slots in use.
	idleQueueCost = 150
	// failureCostOnce and failureCostRetry are the costs of a failure, in multiples of the median: the whole request
	// is lost if it may be sent only once, otherwise another attempt is needed.
	failureCostOnce  = 40
	failureCostRetry = 6
	// stallCost multiplies the time for which a backend has been stalled.
	stallCost = 6
	// riskyTrialThreshold is the highest cost, in multiples of the median, at which a request that may be sent only
	// once is still sent to the best other backend instead of being used for a trial.
	riskyTrialThreshold = 4
	// dialCost is the cost of a new connection to a backend whose connections are closed after use.
	dialCost = 2 * clock.Millisecond
)

// cost returns the expected time until a successful response.
func (e *endpoint) cost(now clock.Micros, latency *latencyStats, atMostOnce bool) clock.Micros {
	b := e.backend
	median := latency.median.Load()
	work := median * b.expectedRatio(now) / unit
	cost := work + queueTime(b.estimatedLoad(now, median), b.concurrency(), work)
	if !e.sameZone {
		cost += latency.crossZonePenalty.Load()
	}
	if e.listed.CloseAfterUse {
		cost += dialCost
	}
	if rate := b.currentFailureRate(now); rate > 0 {
		failureCost := int64(failureCostRetry)
		if atMostOnce {
			failureCost = failureCostOnce
		}
		cost += median * rate * failureCost / unit
	}
	if b.stalled(now, 2*latency.p95.Load()) {
		cost += stallCost * (now - b.progressAt.Load() + median)
	}
	if e.listed.Health == snapshot.Slow {
		cost += work / 2
	}
	return cost
}

// queueTime returns the expected time that a request waits at a backend with the given load (in thousandths of
// requests) and number of slots. work is the time that one request takes.
func queueTime(load, slots int64, work clock.Micros) clock.Micros {
	full := slots * unit
	wait := work * idleQueueCost / unit * min(load, full) / full
	if over := load + unit - full; over > 0 {
		wait += work * over / full
	}
	return wait
}

// selection is the endpoint selected for an attempt; endpoint is nil if there is none.
type selection struct {
	endpoint *endpoint
	standing standing
	cost     clock.Micros
}

// selectEndpoint returns the endpoint with the least expected time until a successful response. It skips the backends
// in tried. Pools are small, so it examines every endpoint. It adds a random part of up to a tenth to each cost so that
// the nodes do not all switch to the same backend. A trial that is due takes precedence: it costs the request little,
// since another backend can be tried soon after, and only a trial can end the backend's ejection. A request that may
// be sent only once is used for a trial only if it would otherwise be rejected or wait too long.
func selectEndpoint(p *pool, snap *snapshot.Snapshot, latency *latencyStats, tried []*backend, atMostOnce bool, now clock.Micros, rnd *random.Source) selection {
	best, riskyTrial := selection{standing: standingNone}, selection{standing: standingNone}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if slices.Contains(tried, e.backend) {
			continue
		}
		at := e.standing(now, latency, atMostOnce)
		if at > best.standing && at != standingTrial && at != standingRiskyTrial {
			continue
		}
		if p.warmingUp(now, e.backend) && !e.backend.slowStart.available(now, p.RampPerS, snap.Divisor, rnd) {
			continue
		}
		cost := e.cost(now, latency, atMostOnce)
		if at == standingTrial && e.backend.claimTrial(now, snap.Divisor, atMostOnce) {
			return selection{endpoint: e, standing: at, cost: cost}
		}
		cost += cost * int64(rnd.IntN(100)) / 1000
		if at == standingRiskyTrial {
			if riskyTrial.endpoint == nil || cost < riskyTrial.cost {
				riskyTrial = selection{endpoint: e, standing: at, cost: cost}
			}
			continue
		}
		if at < best.standing || cost < best.cost {
			best = selection{endpoint: e, standing: at, cost: cost}
		}
	}
	if riskyTrial.endpoint == nil {
		return best
	}
	worthTheRisk := best.standing > standingRiskyTrial || best.cost > riskyTrialThreshold*latency.median.Load()
	if worthTheRisk && riskyTrial.endpoint.backend.claimTrial(now, snap.Divisor, atMostOnce) {
		return riskyTrial
	}
	return best
}

// hasAvailable reports whether any backend of the pool can be used now.
func (m *StateMachine) hasAvailable(now clock.Micros, p *pool, latency *latencyStats) bool {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.standing(now, latency, m.atMostOnce()) >= standingDown {
			continue
		}
		if !p.warmingUp(now, e.backend) || e.backend.slowStart.available(now, p.RampPerS, m.nodes(), &m.random) {
			return true
		}
	}
	return false
}

// warmingUp reports whether a backend is in slow start and requests to it need a token.
func (p *pool) warmingUp(now clock.Micros, b *backend) bool {
	return p.RampPerS > 0 && now < b.warmingUntil.Load()
}
