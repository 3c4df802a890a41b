// The step from let in to asked: the cut is pinned, and each shard that is needed
// is asked. What a caller's repeat will cost is taken from the budget first.

package search

func (m *StateMachine) admit(now int64) {
	if now >= m.deadline {
		m.reject(now, CodeGivenUp, "the deadline passed before a server was asked", 1)
		return
	}
	if len(m.index.Shards) == 0 {
		m.reject(now, CodeUnavailable, "the index has no cut yet", 1)
		return
	}
	m.transition(now, StateAdmitted, "")
	m.shardMapUsers = m.dispatcher.usersOf(m.request.Index, m.shardMap)
	m.shardMapUsers.Add(1)
	m.shardRequests = make([]shardRequest, len(m.index.Shards))
	if m.request.Kind != KindSearch {
		m.recordShard = ShardOf(m.request.Record, len(m.index.Shards))
	}
	why := initialAttempt
	if m.isRepeat {
		tries := 1
		if m.request.Kind == KindSearch {
			tries = len(m.index.Shards)
		}
		if why = prepaidRetry; !m.dispatcher.takeRetries(m.snapshot, m.request.Index, now, int64(tries)) {
			m.reject(now, CodeRateLimited, ReasonRetryBudgetExhausted, 1)
			return
		}
	}
	for shard := range m.index.Shards {
		if m.request.Kind == KindSearch || shard == m.recordShard {
			m.send(now, shard, why)
		}
	}
	m.finishIfDecided(now)
	m.armTimer(now)
}
