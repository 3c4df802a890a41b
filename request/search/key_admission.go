package search

import (
	"encoding/json"

	"wallport/runtime/clock"
)

const (
	// maxAdmissionWait bounds the wait for the owners of a key. The wait is otherwise half of the
	// time until the deadline.
	maxAdmissionWait = 900 * clock.Millisecond
	// admissionSlack is how much longer the state machine waits than the idempotency coordinator,
	// which asks the owners.
	admissionSlack = 50 * clock.Millisecond
)

const (
	// ReasonRetryBudgetExhausted is the reason for rejecting a repeated request whose first attempts
	// exceed the retry budget.
	ReasonRetryBudgetExhausted = "a repeat, and the pool's budget of repeated tries is used up"
	// ReasonTooFewKeyOwners is the prefix of the reason for rejecting a request because too few
	// owners of its key answered.
	ReasonTooFewKeyOwners = "too few home nodes of the key: "
)

// requestAdmission asks the key's owners to admit the request. For a search or read, which may run
// again, it only asks whether the key was used before.
func (m *StateMachine) requestAdmission(now clock.Micros) {
	if !m.request.AtMostOnce() {
		m.emit(AdmitKey{Key: m.request.Key, OnlyDetectRepeat: true})
		m.emit(SetTimer{At: min(m.deadline, now+admissionSlack)})
		return
	}
	timeout := min((m.deadline-now)/2, maxAdmissionWait)
	m.emit(AdmitKey{
		Key: m.request.Key, Index: m.request.Index, Digest: m.request.Digest,
		FirstAttempt: m.request.FirstAttempt, Timeout: timeout,
	})
	m.emit(SetTimer{At: min(m.deadline, now+timeout+admissionSlack)})
}

// keyChecked sends the request if its key was admitted and finishes it otherwise.
func (m *StateMachine) keyChecked(now clock.Micros, a Admission) {
	if m.state != StateClassified {
		return
	}
	m.trace.transition(now, StateAdmitted, "claim "+string(a.Code))
	switch a.Code {
	case AdmissionGranted:
		m.keyAdmitted, m.keyToken, m.isRepeat = true, a.Token, a.Repeat
		m.sendToShards(now)
	case AdmissionCompleted:
		var o Outcome
		if json.Unmarshal(a.Outcome, &o) != nil {
			o = Outcome{Code: CodeOutcomeUnknown, Ran: ExecutionUnknown, Why: "an earlier inquiry of this key has no known outcome"}
		}
		o.Repeat = true
		m.finish(now, StateAnswered, o)
	case AdmissionInProgress:
		m.finish(now, StateRejected, Outcome{Code: CodeConflict, Why: "an inquiry of this key is under way", Ran: ExecutionUnknown, Retry: 1})
	case AdmissionConflict:
		m.finish(now, StateRejected, Outcome{Code: CodeConflict, Why: "the key was used for another inquiry", Ran: ExecutionNone})
	case AdmissionStateLost:
		m.finish(now, StateAnswered, Outcome{
			Code: CodeOutcomeUnknown, Ran: ExecutionUnknown,
			Why: "so soon after a loss nobody knows whether an earlier inquiry of this key ran",
		})
	default:
		m.dispatcher.Counts.Add("shed_claims", 1)
		m.reject(now, CodeUnavailable, ReasonTooFewKeyOwners+a.Reason, 1)
	}
}

// LateAdmission returns the resolution of an admission that arrived after its request had finished,
// and reports whether the key was admitted. A key that was admitted too late must be released;
// otherwise it would stay in progress.
func LateAdmission(key string, a Admission) (ResolveKey, bool) {
	return ResolveKey{Key: key, Resolution: ResolutionReleased, Token: a.Token}, a.Code == AdmissionGranted
}

// resolveKey emits the resolution of an admitted key for its owners. For a search or read it does so
// only if the request was sent to no backend and the key was not used before.
func (m *StateMachine) resolveKey(o *Outcome) {
	if !m.keyAdmitted {
		return
	}
	r := ResolveKey{
		Key: m.request.Key, Resolution: ResolutionCompleted, Token: m.keyToken,
		Attempted: len(m.attempts) > 0, Outcome: *o,
	}
	switch {
	case !m.request.AtMostOnce() && (r.Attempted || m.isRepeat):
		return
	case !m.request.AtMostOnce():
		r.Resolution = ResolutionNotSent
	case o.Ran == ExecutionNone && o.Code != CodeOK:
		r.Resolution = ResolutionReleased
	}
	m.emit(r)
}
