// Asking servers, and what each ask's end teaches their gauges.

package search

// sendReason says why a shard is asked: for the first time, once more at the cost of
// the budget, or in place of a try of which nothing was written. The last adds
// nothing to what the pool gets and costs nothing; paid is a caller's repeat, which
// the budget has paid for already.
type sendReason uint8

const (
	initialAttempt sendReason = iota
	budgetedRetry
	replacement
	prepaidRetry
)

// refreshSnapshot takes the newest snapshot for what is asked from now on, if it still
// serves the pinned cut: what has begun to leave since must not be picked.
func (m *StateMachine) refreshSnapshot() {
	snap := m.dispatcher.Snapshot()
	if x := snap.Indexes[m.request.Index]; x != nil && x.ShardMap.Name == m.shardMap && len(x.Shards) == len(m.shardRequests) {
		m.snapshot, m.index = snap, x
	}
}

// send picks a server for a shard and sends to it; a shard without one is missing.
func (m *StateMachine) send(now int64, shard int, why sendReason) {
	w := &m.shardRequests[shard]
	ch, ok := selectServer(m.snapshot, m.index, m.index.Shards[shard], w.attemptedServers, now, &m.rnd)
	if !ok {
		w.missing = w.openAttempts == 0
		if w.reason == "" {
			w.reason = "no server may be asked"
		}
		return
	}
	switch why {
	case replacement:
		m.transition(now, StateRetried, w.reason)
	case budgetedRetry:
		if !m.dispatcher.takeRetry(m.snapshot, m.request.Index, now) {
			w.missing = w.openAttempts == 0
			w.reason = "budget of repeated tries is used up; " + w.reason
			return
		}
		m.transition(now, StateRetried, w.reason)
	case prepaidRetry:
		m.transition(now, StateSelected, "a repeat of the caller's")
	default:
		m.transition(now, StateSelected, "")
		m.dispatcher.budgetOf(m.request.Index).Add(earnedPerAttempt, m.dispatcher.maxSaved(m.snapshot, now))
	}
	n := len(m.attempts)
	m.attempts = append(m.attempts, attempt{shard: shard, server: ch.Server, sentAt: now, open: true})
	m.trace.selected(now, n, shard, ch, why != initialAttempt)
	w.attemptedServers = append(w.attemptedServers, ch.Server.ID)
	w.openAttempts++
	w.attempts++
	left := m.deadline - now
	w.hedgeAt = now + min(max(m.index.Service.HedgeUs, 3*ch.Server.Gauge.Latency.Load()), max(left/2, 1))
	ch.Server.Gauge.Outstanding.Add(1)
	ch.Server.Gauge.Requested.Add(1)
	m.state = StateSent
	m.emit(Send{Attempt: n, ID: m.ID() + "." + attemptSuffix(n), Server: ch.Server, Shard: shard, ShardCount: len(m.index.Shards), ShardMap: m.shardMap, Timeout: left, Request: &m.request, Retry: why == budgetedRetry || why == prepaidRetry, Replacement: why == replacement})
}

func attemptSuffix(n int) string { return string(rune('a'+n%26)) + string(rune('a'+n/26%26)) }

// closeAttempt takes note of an ask's end on its server's gauge.
func (m *StateMachine) closeAttempt(now int64, n int, r Reply) {
	t := &m.attempts[n]
	if !t.open {
		return
	}
	t.open = false
	m.shardRequests[t.shard].openAttempts--
	g := t.server.Gauge
	g.Outstanding.Add(-1)
	if r.Incarnation > g.Incarnation.Load() {
		g.Incarnation.Store(r.Incarnation)
	}
	switch r.Class {
	case ReplyOK, ReplyNotFound:
		g.Succeeded(now - t.sentAt)
		g.Usage.Store(r.Load)
	case ReplyInvalid:
		g.Corrupted(now)
		m.dispatcher.Counts.Add("answers_garbage", 1)
	case ReplyFailed, ReplyNotWritten, ReplyRejected:
		g.Failed(now)
	}
}

// recordLateReply notes an answer that came after the outcome; it still teaches the gauge.
func (m *StateMachine) recordLateReply(now int64, v ReplyReceived) {
	if v.Attempt < len(m.attempts) {
		m.closeAttempt(now, v.Attempt, v.Reply)
	}
}

// penalizeLatency lets an ask that was given up weigh on its server's latency.
func (m *StateMachine) penalizeLatency(now int64, t *attempt) {
	g := t.server.Gauge
	if took := now - t.sentAt; took > g.Latency.Load() {
		g.Latency.Store(g.Latency.Load() + (took-g.Latency.Load())/8)
	}
}
