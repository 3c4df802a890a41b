package dispatch

import (
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// standing is how far a backend is trusted, from best to worst.
type standing uint8

const (
	standingUsable standing = iota
	// standingTrial is ejected, and a trial is due.
	standingTrial
	// standingEjected is ejected, but may be used where nothing better is left.
	standingEjected
	// standingRiskyTrial is ejected and a trial is due, but the request may be sent only once: it is tried
	// rather than rejected.
	standingRiskyTrial
	// standingDown failed its trials too, or is silent.
	standingDown
	// standingNone is no backend at all.
	standingNone
)

const (
	// successTrustedFor is how long an own success counts for more than the fleet's health reports.
	successTrustedFor = 2 * clock.Second
	// downFailureRate is the share of failures, in thousandths, from which a backend that failed its trial is down.
	downFailureRate = 700
)

// standing returns how far the backend is trusted now.
func (e *endpoint) standing(now clock.Micros, latency *latencyStats, atMostOnce bool) standing {
	b := e.backend
	ejections := b.ejections.Load()
	var untilTrial standing
	switch {
	case now < b.replacedUntil.Load():
		// It has ended: a trial would only reach the other backend at the address again.
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

// Costs beside the work itself.
const (
	// idleQueueCost is what a full set of running requests adds to the work, in thousandths of it.
	idleQueueCost = 150
	// failureCostOnce and failureCostRetry are what a failure costs in median times: the whole request where it
	// may be sent only once, else another attempt.
	failureCostOnce  = 40
	failureCostRetry = 6
	// stallCost multiplies the time that a backend has stalled for.
	stallCost = 6
	// riskyTrialThreshold is how many median times a request that may be sent only once waits rather than be a
	// trial.
	riskyTrialThreshold = 4
	// dialCost is what a new connection costs where none may be kept idle.
	dialCost = 2 * clock.Millisecond
)

// cost is the expected time to a good response.
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

// queueTime is the expected time in the queue of a backend with this load, in thousandths of requests, where one
// request is that much work.
func queueTime(load, slots int64, work clock.Micros) clock.Micros {
	full := slots * unit
	wait := work * idleQueueCost / unit * min(load, full) / full
	if over := load + unit - full; over > 0 {
		wait += work * over / full
	}
	return wait
}

// selection is a chosen endpoint, nil where there is none.
type selection struct {
	endpoint *endpoint
	standing standing
	cost     clock.Micros
}

// selectEndpoint returns the endpoint for an attempt, with the least expected time to a good response; those in
// tried are left out. Pools are small, so all of one are looked at; a tenth of chance in the cost keeps nodes from
// moving in step. A due trial goes first: it costs the request little, since another backend can be sent to soon,
// and is the backend's only way back. A request that may be sent only once is a trial where it would otherwise be
// rejected or wait for long.
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

// hasAvailable reports whether some backend of the pool may be sent to.
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

// warmingUp reports whether a backend may get only what its slow start allows.
func (p *pool) warmingUp(now clock.Micros, b *backend) bool {
	return p.RampPerS > 0 && now < b.warmingUntil.Load()
}
