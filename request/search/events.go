package search

// State is a state of the state machine. Operators see its text in traces. The texts do not change,
// so some of them use older terms than the names of the constants.
type State string

// The states of a request.
const (
	StateRead       State = "read"
	StateClassified State = "classified"
	StateAdmitted   State = "let_in"
	StateSelected   State = "picked"
	StateSent       State = "asked"
	StateRetried    State = "re_asked"
	StateGathered   State = "gathered"
	StateAnswered   State = "answered"
	StateRejected   State = "shed"
	StateGivenUp    State = "given_up"
)

// Event is an input of the state machine: one of the types below.
type Event any

type (
	// Begin starts the state machine.
	Begin struct{}
	// KeyChecked answers [AdmitKey].
	KeyChecked struct{ Admission Admission }
	// AttemptDone reports the result of a [Send].
	AttemptDone struct {
		Attempt int
		Result  Result
	}
	// TimerFired reports that the time of the last [SetTimer] has been reached.
	TimerFired struct{}
)

// AdmissionCode is the decision on the admission of an idempotency key.
type AdmissionCode string

// The decisions on an idempotency key.
const (
	// AdmissionGranted permits the request to run.
	AdmissionGranted AdmissionCode = "in"
	// AdmissionInProgress means that a request with this key is still running.
	AdmissionInProgress AdmissionCode = "running"
	// AdmissionCompleted means that a request with this key has run. Admission.Outcome holds its
	// outcome, if it is known.
	AdmissionCompleted AdmissionCode = "done"
	// AdmissionConflict means that the key was used for a different request.
	AdmissionConflict AdmissionCode = "conflict"
	// AdmissionNoQuorum means that too few owners of the key answered.
	AdmissionNoQuorum AdmissionCode = "short"
	// AdmissionStateLost means that too many of the owners that answered may have lost their record
	// of the key.
	AdmissionStateLost AdmissionCode = "unknown"
)

// Admission is the result of asking a key's owners.
type Admission struct {
	Code AdmissionCode
	// Token identifies this admission. Only a release with the same token frees the key.
	Token  string
	Reason string
	// Outcome is the encoded [Outcome] of the earlier request if Code is AdmissionCompleted.
	Outcome []byte
	// Repeat reports that the key was used before by a request for which an attempt was made.
	Repeat bool
}

// Class classifies the result of an attempt. It determines whether the request may be sent again.
type Class string

// The classes of results.
const (
	ClassOK Class = "ok"
	// ClassNotSent means that no byte was written to the backend.
	ClassNotSent Class = "not_written"
	// ClassRejected means that the backend stated that it did not run the request.
	ClassRejected Class = "shed"
	// ClassFailed means that the request was written but got no complete response, or a response
	// with an error status.
	ClassFailed Class = "failed"
	// ClassInvalid means that the response failed the checks of [CheckResponse].
	ClassInvalid Class = "garbage"
	// ClassNotFound means that the backend does not have the record.
	ClassNotFound Class = "absent"
)

// Result is the validated response of a backend, or the reason why there is none.
type Result struct {
	Class       Class
	Reason      string
	Records     []Record
	Incarnation int64
	// Load is the number of requests in progress that the backend reports.
	Load int64
}

// Record is one record of an index.
type Record struct {
	ID    string `json:"id"`
	Score int64  `json:"score"`
	Body  string `json:"body,omitempty"`
}
