package search

import (
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// Action is an instruction of the state machine to its driver: one of the types below.
type Action any

// Send sends an attempt to a backend.
type Send struct {
	// Attempt is the number by which [AttemptDone] and [Cancel] refer to the attempt.
	Attempt    int
	ID         string
	Backend    *snapshot.Backend
	Shard      int
	ShardCount int
	// ShardMap is the name of the shard map that the shard belongs to.
	ShardMap string
	// Timeout is the time that is left until the request's deadline.
	Timeout clock.Micros
	Request *Request
	// Retry marks an attempt that was charged to the retry budget: a retry, a hedged request, or a
	// first attempt of a request that the caller has repeated.
	Retry bool
	// Replacement marks an attempt that replaces an earlier attempt of which no byte was written.
	Replacement bool
}

type (
	// Cancel cancels an attempt whose result is no longer needed.
	Cancel struct{ Attempt int }
	// AdmitKey asks the owners of an idempotency key to admit the request.
	AdmitKey struct {
		Key    string
		Index  string
		Digest uint64
		// FirstAttempt is the caller's assertion that it has never sent the key before.
		FirstAttempt bool
		// Timeout bounds the wait for the owners. It is 0 if OnlyDetectRepeat is set, because the
		// idempotency coordinator has its own time-out for that check.
		Timeout clock.Micros
		// OnlyDetectRepeat asks only whether the key of a search or read was used before.
		OnlyDetectRepeat bool
	}
	// ResolveKey reports the resolution of an admitted request to the owners of its key.
	ResolveKey struct {
		Key        string
		Resolution Resolution
		Token      string
		// Attempted reports whether an attempt was made. If so, the next request with the key is
		// charged to the retry budget.
		Attempted bool
		Outcome   Outcome
	}
	// SetTimer requests a [TimerFired] event at the given time. It replaces the previous timer.
	SetTimer struct{ At clock.Micros }
	// Finish ends the request with its outcome.
	Finish struct{ Outcome Outcome }
)

// Resolution states how the admission of a key ended.
type Resolution string

// The resolutions of a key.
const (
	// ResolutionCompleted makes the owners store the outcome and return it to later requests with
	// the key.
	ResolutionCompleted Resolution = "done"
	// ResolutionReleased frees the key, because the request did not run.
	ResolutionReleased Resolution = "released"
	// ResolutionNotSent makes the owner forget the key of a search or read that was not sent to
	// any backend.
	ResolutionNotSent Resolution = "unseen"
)

// Code is the result code of a request: ok, or the name of a failure of the caller API.
type Code string

// The codes of outcomes.
const (
	CodeOK             Code = "ok"
	CodeMalformed      Code = "malformed"
	CodeNotFound       Code = "unknown"
	CodeRateLimited    Code = "over_ceiling"
	CodeUnavailable    Code = "shed"
	CodeGivenUp        Code = "given_up"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeConflict       Code = "conflict"
)

// Execution states whether a failed request ran.
type Execution string

// The values of Execution.
const (
	// ExecutionNone means that the request did not run and will not run.
	ExecutionNone Execution = "no"
	// ExecutionUnknown means that the request may have run.
	ExecutionUnknown Execution = "unknown"
)

// Outcome is the result of a request as the caller receives it. The owners of a key store its JSON
// encoding and return it to repeated requests, so the field names must not change.
type Outcome struct {
	ID   string
	Code Code
	// Why is the reason for a failure.
	Why string
	// Ran is empty for a success.
	Ran Execution
	// Retry is the number of seconds after which the caller may retry; 0 means that it should not.
	Retry int
	// Cut is the name of the shard map that served the request.
	Cut   string
	Shard int
	// Shards lists the shards that answered a search, Missing those that did not.
	Shards  []int
	Missing []int
	Records []Record
	// Repeat marks the stored outcome of an earlier request under the same key.
	Repeat bool
}
