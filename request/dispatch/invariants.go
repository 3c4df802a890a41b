package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// checkSend checks an attempt that is about to be made.
func (m *StateMachine) checkSend(shard *shardRequest, e *endpoint) {
	r := m.dispatcher.cfg.Invariants
	switch {
	case m.finished:
		r.Violated(invariant.NoSendAfterOutcome, "request %s", m.request.ID)
	case m.atMostOnce() && (shard.inFlight > 0 || shard.mayHaveRun || shard.succeeded):
		r.Violated(invariant.AtMostOnce, "request %s: %d asks under way, may have run: %t", m.request.ID, shard.inFlight, shard.mayHaveRun)
	case e.listed.Health == snapshot.Draining || e.listed.Health == snapshot.ZoneDrained:
		r.Violated(invariant.NoSendToDraining, "request %s to %s", m.request.ID, e.listed.ID)
	case shard.sent >= m.maxBackends():
		r.Violated(invariant.BackendsWithinRoute, "request %s: %d backends of %s, %d may be", m.request.ID, shard.sent+1, shard.pool.name, m.maxBackends())
	}
}

// checkGauges checks the count of a shard's attempts in flight.
func (m *StateMachine) checkGauges(shard *shardRequest) {
	if shard.inFlight < 0 {
		m.dispatcher.cfg.Invariants.Violated(invariant.GaugesNotNegative, "request %s: %d asks under way", m.request.ID, shard.inFlight)
	}
}

// checkOutcome checks what the client is about to get.
func (m *StateMachine) checkOutcome(o *Outcome) {
	r := m.dispatcher.cfg.Invariants
	switch {
	case m.route == nil:
	case promisesNotRun(o.Status) && m.atMostOnce() && m.mayHaveRun():
		r.Violated(invariant.RejectedNotRun, "request %s is answered %d", m.request.ID, o.Status)
	case o.Code != CodeOK:
	case m.route.FansOut():
		m.checkGathered(o)
	case o.Response == nil || !isSuccess(o.Response) || o.Response.Status != o.Status:
		r.Violated(invariant.SuccessSealed, "request %s is answered %d", m.request.ID, o.Status)
	}
}

// mayHaveRun reports whether a backend has this request or may have run it.
func (m *StateMachine) mayHaveRun() bool {
	for i := range m.shards {
		if shard := &m.shards[i]; shard.inFlight > 0 || shard.mayHaveRun || shard.succeeded {
			return true
		}
	}
	return false
}

// checkGathered checks a gathered success.
func (m *StateMachine) checkGathered(o *Outcome) {
	r := m.dispatcher.cfg.Invariants
	if len(o.Seals) < m.requiredShards() || len(o.Seals)+o.Missing != len(m.shards) {
		r.Violated(invariant.ShardsComplete, "request %s has %d parts, %d missing of %d", m.request.ID, len(o.Seals), o.Missing, len(m.shards))
	}
	for i, seal := range o.Seals {
		if seal == "" {
			r.Violated(invariant.SuccessSealed, "request %s has a part without a seal", m.request.ID)
		}
		for _, other := range o.Seals[:i] {
			if other == seal {
				r.Violated(invariant.ShardsComplete, "request %s names %s twice", m.request.ID, seal)
			}
		}
	}
}
