package search

// State is a state of the state machine. The texts are those of traces, which operators read and which
// therefore keep older words than the constants.
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
	// AttemptDone gives the result of a [Send].
	AttemptDone struct {
		Attempt int
		Result  Result
	}
	// TimerFired says that the moment of the last [SetTimer] has come.
	TimerFired struct{}
)

// AdmissionCode is what the owners of an idempotency key decided.
type AdmissionCode string

// The decisions on an idempotency key.
const (
	// AdmissionGranted lets the request run.
	AdmissionGranted AdmissionCode = "in"
	// AdmissionInProgress says that a request of this key is running.
	AdmissionInProgress AdmissionCode = "running"
	// AdmissionCompleted says that a request of this key has run; its outcome comes along.
	AdmissionCompleted AdmissionCode = "done"
	// AdmissionConflict says that the key was used for another request.
	AdmissionConflict AdmissionCode = "conflict"
	// AdmissionNoQuorum says that too few owners of the key answered.
	AdmissionNoQuorum AdmissionCode = "short"
	// AdmissionStateLost says that the owners that answered have lost what they knew of the key.
	AdmissionStateLost AdmissionCode = "unknown"
)

// Admission is the answer of a key's owners.
type Admission struct {
	Code AdmissionCode
	// Token names this one admission, for its release.
	Token  string
	Reason string
	// Outcome is the encoded [Outcome] of the earlier request, with AdmissionCompleted.
	Outcome []byte
	// Repeat says that an earlier attempt under the key reached a backend.
	Repeat bool
}

// Class says what is known of an attempt once it has ended, and thereby whether the request may be sent again.
type Class string

// The classes of results.
const (
	ClassOK Class = "ok"
	// ClassNotSent says that not one byte was written to the backend.
	ClassNotSent Class = "not_written"
	// ClassRejected is the backend's statement that it did not run the request.
	ClassRejected Class = "shed"
	// ClassFailed is an attempt that was written and got no response, or a failure.
	ClassFailed Class = "failed"
	// ClassInvalid is a response that failed the checks of [CheckResponse].
	ClassInvalid Class = "garbage"
	// ClassNotFound says that the backend has no such record.
	ClassNotFound Class = "absent"
)

// Result is a checked response of a backend, or why there is none.
type Result struct {
	Class       Class
	Reason      string
	Records     []Record
	Incarnation int64
	// Load is how many requests the backend reports to have under way.
	Load int64
}

// Record is one record.
type Record struct {
	ID    string `json:"id"`
	Score int64  `json:"score"`
	Body  string `json:"body,omitempty"`
}
