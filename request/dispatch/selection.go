// The choice of a backend: the least expected time to a good answer, by what
// this node saw of each. Pools are small, so all of one are looked at. Backends
// that leave or stand in an evacuated zone are not in the view at all.

package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/random"
)

// Standing of a backend, from best to worst.
const (
	standingUsable     uint8 = iota
	standingTrial            // out, and a trial is due
	standingEjected          // out, but may be asked where nothing better is left
	standingRiskyTrial       // a trial is due, but the request may be sent only once: rather that than refuse it
	standingDown             // failed its trials too, or silent
	standingNone
)

// standing is how far a backend may be trusted now.
func (e *endpoint) standing(now int64, latency *latencyStats, once bool) uint8 {
	b, out := e.backend, standingUsable
	switch {
	case now < b.replacedUntil.Load():
		// It is no more: a trial would only reach the other one again.
		return standingDown
	case b.ejections.Load() > 0 && (b.unresponsive.Load() || b.ejections.Load() >= 2 && b.currentFailureRate(now) >= downFailureRate):
		out = standingDown
	case b.ejections.Load() > 0:
		out = standingEjected
	case b.stalled(now, latency.responseTimeout()):
		out = standingDown
	case e.server.Health >= snapshot.Suspect && now-b.succeededAt.Load() > successTrustedFor:
		// What others say counts while this node has no answer of its own to hold against it.
		out = standingEjected
	default:
		return standingUsable
	}
	switch {
	case now < b.ejectedUntil.Load():
		return out
	case once:
		return standingRiskyTrial
	}
	return standingTrial
}

// trialsWithin is how soon the other ejected backends of a pool are tried when one has come back.
const trialsWithin = 150_000

// scheduleTrials makes the trials of the pool's ejected backends due: what has ended for one of them may
// have ended for all.
func (p *pool) scheduleTrials(now int64, rnd *random.Source) {
	for i := range p.endpoints {
		b := p.endpoints[i].backend
		if at := b.ejectedUntil.Load(); b.ejections.Load() > 0 && at > now+trialsWithin {
			b.ejectedUntil.CompareAndSwap(at, now+int64(rnd.IntN(trialsWithin)))
		}
	}
}

// poolAvailable tells that some backend of the pool may be asked.
func (m *StateMachine) poolAvailable(now int64, p *pool, latency *latencyStats) bool {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.standing(now, latency, m.atMostOnce()) < standingDown && (!p.warmingUp(now, e.backend) || e.backend.slowStart.available(now, p.RampPerS, m.view.snapshot.Divisor, &m.random)) {
			return true
		}
	}
	return false
}

// warmingUp tells that a backend may get only as much as its ramp allows.
func (p *pool) warmingUp(now int64, b *backend) bool {
	return p.RampPerS > 0 && now < b.warmingUntil.Load()
}

// Costs beside the time itself, in thousandths of what an answer takes.
const (
	minCrossZonePenalty = 800
	idleQueueCost       = 150
	failureCostOnce     = 40
	failureCostRetry    = 6
	stallCost           = 6
	// riskyTrialThreshold the usual time is what a request that may be sent only once waits rather than be a trial.
	riskyTrialThreshold = 4
	// dialCost is what a new connection costs where none may be kept idle, in microseconds.
	dialCost = 2_000
)

// cost is the expected time to a good answer, in microseconds.
func (e *endpoint) cost(now int64, latency *latencyStats, once bool) int64 {
	b := e.backend
	mid := latency.median.Load()
	work := mid * b.expectedRatio(now) / 1000
	c := work + queueTime(b.estimatedLoad(now, mid), b.concurrency(), work)
	if !e.sameZone {
		c += latency.crossZonePenalty.Load()
	}
	if e.server.CloseAfterUse {
		c += dialCost
	}
	if w := b.currentFailureRate(now); w > 0 {
		// A failure costs another ask, or all that the request is worth where it may not be sent again.
		times := int64(failureCostRetry)
		if once {
			times = failureCostOnce
		}
		c += mid * w * times / 1000
	}
	if b.stalled(now, 2*latency.p95.Load()) {
		c += stallCost * (now - b.progressAt.Load() + mid)
	}
	if e.server.Health == snapshot.Slow {
		c += work / 2
	}
	return c
}

// queueTime is the time in a queue behind so many thousandths of requests.
func queueTime(busy, slots, work int64) int64 {
	full := slots * 1000
	w := work * idleQueueCost / 1000 * min(busy, full) / full
	if over := busy + 1000 - full; over > 0 {
		w += work * over / full
	}
	return w
}

// selection is what choosing came to: a seat, or none and whether time may bring one.
type selection struct {
	endpoint *endpoint
	standing uint8
	cost     int64
}

// selectEndpoint finds the backend for an ask; those in tried are left out. A due trial goes first: it
// costs the request little, since another backend can be asked soon, and is the only way back. A
// request that may be sent only once is a trial where it would else be refused or wait for long.
func selectEndpoint(p *pool, snap *snapshot.Snapshot, latency *latencyStats, tried []*backend, once bool, now int64, rnd *random.Source) selection {
	best, chance := selection{standing: standingNone}, selection{standing: standingNone}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if contains(tried, e.backend) {
			continue
		}
		at := e.standing(now, latency, once)
		if at > best.standing && at != standingTrial && at != standingRiskyTrial {
			continue
		}
		if p.warmingUp(now, e.backend) && !e.backend.slowStart.available(now, p.RampPerS, snap.Divisor, rnd) {
			continue
		}
		c := e.cost(now, latency, once)
		if at == standingTrial && e.backend.claimTrial(now, snap.Divisor, once) {
			return selection{endpoint: e, standing: at, cost: c}
		}
		c += c * int64(rnd.IntN(100)) / 1000
		if at == standingRiskyTrial {
			if chance.endpoint == nil || c < chance.cost {
				chance = selection{endpoint: e, standing: at, cost: c}
			}
			continue
		}
		if at < best.standing || c < best.cost {
			best = selection{endpoint: e, standing: at, cost: c}
		}
	}
	if chance.endpoint != nil && (best.standing > standingRiskyTrial || best.cost > riskyTrialThreshold*latency.median.Load()) && chance.endpoint.backend.claimTrial(now, snap.Divisor, once) {
		return chance
	}
	return best
}

func contains(all []*backend, b *backend) bool {
	for _, v := range all {
		if v == b {
			return true
		}
	}
	return false
}
