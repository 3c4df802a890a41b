// The events a chart takes and the acts it returns.

package search

import "wallport/request/snapshot"

// State is a named state of the chart.
type State string

// The states of an inquiry.
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

// Event is one of the types below.
type Event any

type (
	// Start starts the chart.
	Start struct{}
	// KeyChecked tells what the homes said of the inquiry's key.
	KeyChecked struct{ Admission Admission }
	// ReplyReceived tells what became of an ask.
	ReplyReceived struct {
		Attempt int
		Reply   Reply
	}
	// TimerFired tells that the moment of the last Wake has come.
	TimerFired struct{}
)

// Admission on a claim: in, running, done, conflict, short (too few homes answer) or
// unknown (those that answer have lost what they knew).
type Admission struct {
	Code string
	// Token names this one claim, for its release.
	Token   string
	Reason  string
	Outcome []byte
	// Repeat tells that an earlier try under the key reached a server.
	Repeat bool
}

// Reply classes.
const (
	ReplyOK         = "ok"
	ReplyNotWritten = "not_written"
	ReplyRejected   = "shed"
	ReplyFailed     = "failed"
	ReplyInvalid    = "garbage"
	ReplyNotFound   = "absent"
)

// Reply is a checked answer of a server.
type Reply struct {
	Class       string
	Reason      string
	Records     []Record
	Incarnation int64
	Load        int64
}

// Record is one record.
type Record struct {
	ID    string `json:"id"`
	Score int64  `json:"score"`
	Body  string `json:"body,omitempty"`
}

// Send is a message to a server.
type Send struct {
	Attempt    int
	ID         string
	Server     *snapshot.Backend
	Shard      int
	ShardCount int
	ShardMap   string
	Timeout    int64
	Request    *Request
	// Retry marks a repeated try, which the budget paid for.
	Retry bool
	// Replacement marks one that takes the place of a try that was never written.
	Replacement bool
}

// Action is one of the types below, or an Ask.
type Action any

type (
	// Cancel gives an ask up; its answer is not wanted any more.
	Cancel struct{ Attempt int }
	// AdmitKey asks the homes of a key; First is the caller's word that it never sent it before.
	AdmitKey struct {
		Key          string
		Index        string
		Digest       uint64
		FirstAttempt bool
		Timeout      int64
		// OnlyDetectRepeat asks only whether a search or read was sent before.
		OnlyDetectRepeat bool
	}
	// ResolveKey tells the homes what a claim came to.
	ResolveKey struct {
		Key        string
		Resolution string
		Token      string
		Attempted  bool
		Outcome    Outcome
	}
	// SetTimer asks for a Due at a moment.
	SetTimer struct{ At int64 }
	// Finish gives the final outcome.
	Finish struct{ Outcome Outcome }
)

// Outcome codes beside ok are the names of the API's failures.
const (
	CodeOK             = "ok"
	CodeMalformed      = "malformed"
	CodeNotFound       = "unknown"
	CodeRateLimited    = "over_ceiling"
	CodeUnavailable    = "shed"
	CodeGivenUp        = "given_up"
	CodeOutcomeUnknown = "outcome_unknown"
	CodeConflict       = "conflict"
)

// Outcome is what the caller is told.
type Outcome struct {
	ID      string
	Code    string
	Why     string
	Ran     string
	Retry   int
	Cut     string
	Shard   int
	Shards  []int
	Missing []int
	Records []Record
	Repeat  bool
}
