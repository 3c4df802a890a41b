// What an inquiry under a key waits for before it is let in.

package search

import "encoding/json"

// maxAdmissionWait bounds the wait for the homes of a key, and half of the deadline
// does; admissionSlack is how much longer the chart waits for the homes' verdict.
const (
	maxAdmissionWait = 900_000
	admissionSlack   = 50_000
)

// requestAdmission asks for the key's homes to let it in.
func (m *StateMachine) requestAdmission(now int64) {
	if !m.request.AtMostOnce() {
		m.emit(AdmitKey{Key: m.request.Key, OnlyDetectRepeat: true})
		m.emit(SetTimer{At: min(m.deadline, now+admissionSlack)})
		return
	}
	within := min((m.deadline-now)/2, maxAdmissionWait)
	m.emit(AdmitKey{Key: m.request.Key, Index: m.request.Index, Digest: m.request.Digest, FirstAttempt: m.request.FirstAttempt, Timeout: within})
	m.emit(SetTimer{At: min(m.deadline, now+within+admissionSlack)})
}

// LateAdmission is what is to be done about a verdict that came when its inquiry was
// over: a key that was let in for nothing must not stay under way.
func LateAdmission(key string, v Admission) (ResolveKey, bool) {
	return ResolveKey{Key: key, Resolution: "released", Token: v.Token}, v.Code == "in"
}

// resolveKey tells the homes what came of the key that this inquiry was let in with.
func (m *StateMachine) resolveKey(o *Outcome) {
	if !m.holdsKey {
		return
	}
	s := ResolveKey{Key: m.request.Key, Resolution: "done", Token: m.keyToken, Attempted: len(m.attempts) > 0, Outcome: *o}
	switch {
	case !m.request.AtMostOnce() && (s.Attempted || m.isRepeat):
		return
	case !m.request.AtMostOnce():
		s.Resolution = "unseen"
	case o.Ran == "no" && o.Code != CodeOK:
		s.Resolution = "released"
	}
	m.emit(s)
}

// ReasonRetryBudgetExhausted begins the reason of a refusal because a repeat found the budget used up.
const ReasonRetryBudgetExhausted = "a repeat, and the pool's budget of repeated tries is used up"

// ReasonTooFewKeyOwners begins the reason of a refusal because too few homes of a key answer.
const ReasonTooFewKeyOwners = "too few home nodes of the key: "

func (m *StateMachine) keyChecked(now int64, v Admission) {
	if m.state != StateClassified {
		return
	}
	m.trace.add(now, StateAdmitted, "claim "+v.Code)
	switch v.Code {
	case "in":
		m.holdsKey, m.keyToken, m.isRepeat = true, v.Token, v.Repeat
		m.admit(now)
	case "done":
		var o Outcome
		if json.Unmarshal(v.Outcome, &o) != nil {
			o = Outcome{Code: CodeOutcomeUnknown, Ran: "unknown", Why: "an earlier inquiry of this key has no known outcome"}
		}
		o.Repeat = true
		m.finish(now, StateAnswered, o)
	case "running":
		m.finish(now, StateRejected, Outcome{Code: CodeConflict, Why: "an inquiry of this key is under way", Ran: "unknown", Retry: 1})
	case "conflict":
		m.finish(now, StateRejected, Outcome{Code: CodeConflict, Why: "the key was used for another inquiry", Ran: "no"})
	case "unknown":
		m.finish(now, StateAnswered, Outcome{Code: CodeOutcomeUnknown, Ran: "unknown", Why: "so soon after a loss nobody knows whether an earlier inquiry of this key ran"})
	default:
		m.dispatcher.Counts.Add("shed_claims", 1)
		m.reject(now, CodeUnavailable, ReasonTooFewKeyOwners+v.Reason, 1)
	}
}
