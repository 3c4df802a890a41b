package dispatch

import (
	"wallport/request/snapshot"
	"wallport/runtime/invariant"
)

// checkSend checks the invariants of an attempt that is about to be sent.
func (m *StateMachine) checkSend(shard *shardRequest, e *endpoint) {
	r := m.dispatcher.cfg.Invariants
	switch {
	case m.finished:
		r.Violated(invariant.NoSendAfterOutcome, "request %s is sent to a backend after its outcome", m.request.ID)
	case m.atMostOnce() && (shard.inFlight > 0 || shard.mayHaveRun || shard.succeeded):
		r.Violated(invariant.AtMostOnce, "request %s is sent again although it must run at most once: %d attempts in flight, may have run: %t", m.request.ID, shard.inFlight, shard.mayHaveRun)
	case e.listed.Health == snapshot.Draining || e.listed.Health == snapshot.ZoneDrained:
		r.Violated(invariant.NoSendToDraining, "request %s is sent to backend %s, which is draining or in a drained zone", m.request.ID, e.listed.ID)
	case shard.sent >= m.maxBackends():
		r.Violated(invariant.BackendsWithinRoute, "request %s is sent to %d backends of pool %s; the route allows %d", m.request.ID, shard.sent+1, shard.pool.name, m.maxBackends())
	}
}

// checkGauges checks that the count of a shard's attempts in flight is not negative.
func (m *StateMachine) checkGauges(shard *shardRequest) {
	if shard.inFlight < 0 {
		m.dispatcher.cfg.Invariants.Violated(invariant.GaugesNotNegative, "request %s has a negative count of attempts in flight: %d", m.request.ID, shard.inFlight)
	}
}

// checkOutcome checks the invariants of the outcome that is about to be returned to the client.
func (m *StateMachine) checkOutcome(o *Outcome) {
	r := m.dispatcher.cfg.Invariants
	switch {
	case m.route == nil:
	case promisesNotRun(o.Status) && m.atMostOnce() && m.mayHaveRun():
		r.Violated(invariant.RejectedNotRun, "request %s may have run but is rejected with status %d", m.request.ID, o.Status)
	case o.Code != CodeOK:
	case m.route.FansOut():
		m.checkGathered(o)
	case o.Response == nil || !isSuccess(o.Response) || o.Response.Status != o.Status:
		r.Violated(invariant.SuccessSealed, "request %s succeeds with status %d without a matching sealed response", m.request.ID, o.Status)
	}
}

// mayHaveRun reports whether an attempt is in flight or a backend may have run the request.
func (m *StateMachine) mayHaveRun() bool {
	for i := range m.shards {
		if shard := &m.shards[i]; shard.inFlight > 0 || shard.mayHaveRun || shard.succeeded {
			return true
		}
	}
	return false
}

// checkGathered checks the invariants of a successful gathered response.
func (m *StateMachine) checkGathered(o *Outcome) {
	r := m.dispatcher.cfg.Invariants
	if len(o.Seals) < m.requiredShards() || len(o.Seals)+o.Missing != len(m.shards) {
		r.Violated(invariant.ShardsComplete, "gathered response of request %s has %d shards and %d missing ones, of %d in total", m.request.ID, len(o.Seals), o.Missing, len(m.shards))
	}
	for i, seal := range o.Seals {
		if seal == "" {
			r.Violated(invariant.SuccessSealed, "gathered response of request %s has a shard without a seal", m.request.ID)
		}
		for _, other := range o.Seals[:i] {
			if other == seal {
				r.Violated(invariant.ShardsComplete, "gathered response of request %s contains seal %s twice", m.request.ID, seal)
			}
		}
	}
}
