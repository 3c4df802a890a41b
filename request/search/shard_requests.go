// What happens as answers come or fail to come: re-asking, hedging, gathering,
// merging, and giving up at once when nothing more can come of it.

package search

import (
	"cmp"
	"fmt"
	"slices"
)

func (m *StateMachine) replyReceived(now int64, v ReplyReceived) {
	if v.Attempt >= len(m.attempts) || !m.attempts[v.Attempt].open {
		return
	}
	t := m.attempts[v.Attempt]
	w := &m.shardRequests[t.shard]
	m.closeAttempt(now, v.Attempt, v.Reply)
	m.trace.replied(now, v.Attempt, v.Reply)
	if w.answered || w.missing {
		return
	}
	switch v.Reply.Class {
	case ReplyOK:
		w.answered, w.records = true, v.Reply.Records
		m.cancelShard(now, t.shard)
	case ReplyNotFound:
		m.finish(now, StateAnswered, Outcome{Code: CodeNotFound, Why: "no such record", Ran: "no", Cut: m.shardMap, Shard: t.shard})
		return
	case ReplyNotWritten:
		w.reason = v.Reply.Class
		w.unwritten++
		m.retry(now, t.shard, replacement)
	case ReplyRejected:
		w.reason = v.Reply.Class
		m.retry(now, t.shard, budgetedRetry)
	default:
		w.reason = v.Reply.Class + ": " + v.Reply.Reason
		if m.request.AtMostOnce() {
			m.finish(now, StateGivenUp, Outcome{Code: CodeOutcomeUnknown, Ran: "unknown", Why: "the server was written to and gave no whole answer: " + v.Reply.Reason, Shard: t.shard})
			return
		}
		m.retry(now, t.shard, budgetedRetry)
	}
	m.finishIfDecided(now)
	m.armTimer(now)
}

// retry re-asks a shard elsewhere if tries, time and budget allow.
func (m *StateMachine) retry(now int64, shard int, why sendReason) {
	w := &m.shardRequests[shard]
	m.refreshSnapshot()
	if w.attempts-w.unwritten >= maxAttempts || now >= m.deadline {
		w.missing = w.openAttempts == 0
		return
	}
	m.send(now, shard, why)
}

// cancelShard cancels what is still out for a shard that has its answer.
func (m *StateMachine) cancelShard(now int64, shard int) {
	for n := range m.attempts {
		if t := &m.attempts[n]; t.shard == shard && t.open {
			m.penalizeLatency(now, t)
			m.closeAttempt(now, n, Reply{})
			m.emit(Cancel{Attempt: n})
		}
	}
}

func (m *StateMachine) timerFired(now int64) {
	if m.state == StateRead {
		m.start(now)
		return
	}
	if m.state == StateClassified {
		m.dispatcher.Counts.Add("shed_claims", 1)
		m.reject(now, CodeUnavailable, ReasonTooFewKeyOwners+"no verdict in time", 1)
		return
	}
	m.refreshSnapshot()
	for i := range m.shardRequests {
		w := &m.shardRequests[i]
		if w.openAttempts > 0 && !w.answered && m.mayHedge(w) && now >= w.hedgeAt && now < m.deadline {
			w.reason = "no answer yet"
			before := w.attempts
			m.send(now, i, budgetedRetry)
			if w.attempts == before {
				w.hedgeAt = m.deadline
			}
		}
	}
	m.finishIfDecided(now)
	m.armTimer(now)
}

// finishIfDecided ends the chart once it is known how.
func (m *StateMachine) finishIfDecided(now int64) {
	if m.finished {
		return
	}
	if m.request.Kind == KindSearch {
		m.finishSearchIfDecided(now)
		return
	}
	w := &m.shardRequests[m.recordShard]
	switch {
	case w.answered:
		m.transition(now, StateGathered, "")
		m.finish(now, StateAnswered, Outcome{Code: CodeOK, Cut: m.shardMap, Shard: m.recordShard, Records: w.records})
	case w.missing && w.attempts == 0:
		m.reject(now, CodeUnavailable, w.reason, 1)
	case w.missing && m.request.AtMostOnce():
		// Nothing was written in any of the tries, or it would have ended above.
		m.reject(now, CodeUnavailable, "no server could be reached: "+w.reason, 1)
	case w.missing:
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: "unknown", Why: w.reason, Retry: 1})
	case now >= m.deadline && m.request.AtMostOnce():
		m.finish(now, StateGivenUp, Outcome{Code: CodeOutcomeUnknown, Ran: "unknown", Why: "no answer within the deadline"})
	case now >= m.deadline:
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: "unknown", Why: "no answer within the deadline", Retry: 1})
	}
}

func (m *StateMachine) finishSearchIfDecided(now int64) {
	done, left, asked := 0, 0, 0
	why := ""
	for i := range m.shardRequests {
		w := &m.shardRequests[i]
		asked += w.attempts
		switch {
		case w.answered:
			done++
		case w.missing:
			why = w.reason
		default:
			left++
		}
	}
	need := int(m.index.Service.RequiredShare) * len(m.shardRequests)
	enough := done > 0 && done*100 >= need
	switch {
	case left == 0 && enough, enough && now >= m.partialAt():
		m.merge(now)
	case (done+left)*100 < need || len(m.shardRequests) == 0:
		if asked == 0 || len(m.shardRequests) == 0 {
			m.reject(now, CodeUnavailable, "too few shards have a server: "+why, 1)
			return
		}
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: "unknown", Why: "too many shards failed: " + why, Retry: 1})
	case now >= m.deadline:
		m.finish(now, StateGivenUp, Outcome{Code: CodeGivenUp, Ran: "unknown", Why: fmt.Sprintf("%d of %d shards within the deadline", done, len(m.shardRequests)), Retry: 1})
	}
}

// Before orders records of a merged answer.
func Before(a, b Record) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(a.ID, b.ID)
}

// merge takes the heads of the shards' sorted lists, one cut, each shard once.
func (m *StateMachine) merge(now int64) {
	done, missing := m.answeredShards()
	m.transition(now, StateGathered, "")
	at := make([]int, len(m.shardRequests))
	out := make([]Record, 0, m.request.Limit)
	for len(out) < m.request.Limit {
		best := -1
		for _, s := range done {
			if at[s] >= len(m.shardRequests[s].records) {
				continue
			}
			if best < 0 || Before(m.shardRequests[s].records[at[s]], m.shardRequests[best].records[at[best]]) < 0 {
				best = s
			}
		}
		if best < 0 {
			break
		}
		r := m.shardRequests[best].records[at[best]]
		at[best]++
		if len(out) > 0 && out[len(out)-1].ID == r.ID {
			continue
		}
		out = append(out, r)
	}
	m.finish(now, StateAnswered, Outcome{Code: CodeOK, Cut: m.shardMap, Shards: done, Missing: missing, Records: slices.Clip(out)})
}
