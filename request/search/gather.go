package search

import (
	"cmp"
	"fmt"
	"slices"

	"wallport/runtime/clock"
)

// resolve finishes the request as soon as its outcome is known.
func (m *StateMachine) resolve(now clock.Micros) {
	if m.finished {
		return
	}
	if m.request.Kind == KindSearch {
		m.resolveSearch(now)
		return
	}
	shard := &m.shardRequests[m.recordShard]
	switch {
	case shard.answered:
		m.transition(now, StateGathered, "")
		m.finish(now, StateAnswered, Outcome{Code: CodeOK, Cut: m.shardMap, Shard: m.recordShard, Records: shard.records})
	case shard.missing && shard.attempts == 0:
		m.reject(now, CodeUnavailable, shard.reason, 1)
	case shard.missing && m.request.AtMostOnce():
		// No attempt ran: each was either not written or rejected by its backend. After any other
		// failure attemptDone would have finished the request.
		m.reject(now, CodeUnavailable, "no server could be reached: "+shard.reason, 1)
	case shard.missing:
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: ExecutionUnknown, Why: shard.reason, Retry: 1})
	case now >= m.deadline && m.request.AtMostOnce():
		m.finish(now, StateGivenUp, Outcome{Code: CodeOutcomeUnknown, Ran: ExecutionUnknown, Why: "no answer within the deadline"})
	case now >= m.deadline:
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: ExecutionUnknown, Why: "no answer within the deadline", Retry: 1})
	}
}

// resolveSearch finishes a search when all shards have answered or are missing, when its required
// share has been reached and partialAt has passed, when that share can no longer be reached, or at
// its deadline.
func (m *StateMachine) resolveSearch(now clock.Micros) {
	answered, pending, attempts := 0, 0, 0
	why := ""
	for i := range m.shardRequests {
		shard := &m.shardRequests[i]
		attempts += shard.attempts
		switch {
		case shard.answered:
			answered++
		case shard.missing:
			why = shard.reason
		default:
			pending++
		}
	}
	// Both sides of the comparisons below are in hundredths of a shard.
	required := int(m.index.Service.RequiredShare) * len(m.shardRequests)
	enough := answered > 0 && answered*100 >= required
	switch {
	case pending == 0 && enough, enough && now >= m.partialAt():
		m.merge(now)
	case (answered+pending)*100 < required || len(m.shardRequests) == 0:
		if attempts == 0 || len(m.shardRequests) == 0 {
			m.reject(now, CodeUnavailable, "too few shards have a server: "+why, 1)
			return
		}
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: ExecutionUnknown, Why: "too many shards failed: " + why, Retry: 1})
	case now >= m.deadline:
		why := fmt.Sprintf("%d of %d shards within the deadline", answered, len(m.shardRequests))
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: ExecutionUnknown, Why: why, Retry: 1})
	}
}

// Before compares two records of a search like [cmp.Compare]: by descending score, then by id.
func Before(a, b Record) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(a.ID, b.ID)
}

// merge finishes a search. It merges the sorted lists of the shards, drops duplicates and keeps the
// first Limit records. All lists belong to the same shard map.
func (m *StateMachine) merge(now clock.Micros) {
	answered, missing := m.answeredShards()
	m.transition(now, StateGathered, "")
	merged := make([]Record, 0, m.request.Limit)
	next := make([]int, len(m.shardRequests))
	for len(merged) < m.request.Limit {
		best := -1
		for _, s := range answered {
			if next[s] >= len(m.shardRequests[s].records) {
				continue
			}
			if best < 0 || Before(m.shardRequests[s].records[next[s]], m.shardRequests[best].records[next[best]]) < 0 {
				best = s
			}
		}
		if best < 0 {
			break
		}
		record := m.shardRequests[best].records[next[best]]
		next[best]++
		if len(merged) > 0 && merged[len(merged)-1].ID == record.ID {
			continue
		}
		merged = append(merged, record)
	}
	m.finish(now, StateAnswered, Outcome{Code: CodeOK, Cut: m.shardMap, Shards: answered, Missing: missing, Records: slices.Clip(merged)})
}

// answeredShards returns the shards that have answered and those that have not, each in ascending order.
func (m *StateMachine) answeredShards() (answered, missing []int) {
	answered, missing = []int{}, []int{}
	for i := range m.shardRequests {
		if m.shardRequests[i].answered {
			answered = append(answered, i)
		} else {
			missing = append(missing, i)
		}
	}
	return answered, missing
}
