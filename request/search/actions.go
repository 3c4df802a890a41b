package search

import (
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// Action is an output of the state machine for its driver: one of the types below.
type Action any

// Send sends an attempt to a backend.
type Send struct {
	// Attempt is the number by which [AttemptDone] and [Cancel] name the attempt.
	Attempt    int
	ID         string
	Backend    *snapshot.Backend
	Shard      int
	ShardCount int
	// ShardMap is the name of the shard map that the shard belongs to.
	ShardMap string
	// Timeout is the time left until the request's deadline.
	Timeout clock.Micros
	Request *Request
	// Retry marks a retry or hedged request, which the retry budget paid for.
	Retry bool
	// Replacement marks an attempt that replaces one of which nothing was written.
	Replacement bool
}

type (
	// Cancel cancels an attempt, whose result is not wanted any more.
	Cancel struct{ Attempt int }
	// AdmitKey asks the owners of an idempotency key whether the request may run.
	AdmitKey struct {
		Key    string
		Index  string
		Digest uint64
		// FirstAttempt is the caller's statement that it never sent the key before.
		FirstAttempt bool
		// Timeout bounds the wait for the owners. It is 0 with OnlyDetectRepeat, for which the
		// coordinator has a bound of its own.
		Timeout clock.Micros
		// OnlyDetectRepeat asks only whether a search or read was sent before.
		OnlyDetectRepeat bool
	}
	// ResolveKey tells the owners of a key what became of the request that they admitted.
	ResolveKey struct {
		Key        string
		Resolution Resolution
		Token      string
		// Attempted says that an attempt was made, so that a repeat of the key costs the retry budget.
		Attempted bool
		Outcome   Outcome
	}
	// SetTimer asks for [TimerFired] at a moment; it replaces the timer set before.
	SetTimer struct{ At clock.Micros }
	// Finish gives the final outcome.
	Finish struct{ Outcome Outcome }
)

// Resolution is what became of an admitted key.
type Resolution string

// The resolutions of a key.
const (
	// ResolutionCompleted has the owners keep the outcome for repeats.
	ResolutionCompleted Resolution = "done"
	// ResolutionReleased frees the key: the request did not run.
	ResolutionReleased Resolution = "released"
	// ResolutionNotSent has the owners forget a search or read that was sent to no backend.
	ResolutionNotSent Resolution = "unseen"
)

// Code is the code of an outcome: ok or the name of a failure of the caller API.
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

// Execution says, of a failed request, whether it ran.
type Execution string

// What is known of the execution of a request without a successful response.
const (
	// ExecutionNone says that the request did not run and will not.
	ExecutionNone Execution = "no"
	// ExecutionUnknown says that it may have run.
	ExecutionUnknown Execution = "unknown"
)

// Outcome is what the caller is told. The owners of a key store it encoded and return it to
// repeats, so that its fields keep their names.
type Outcome struct {
	ID   string
	Code Code
	// Why is the reason of a failure.
	Why string
	// Ran is empty for a success.
	Ran Execution
	// Retry is after how many seconds the caller may retry; 0 is not at all.
	Retry int
	// Cut is the name of the shard map that the request was served by.
	Cut   string
	Shard int
	// Shards and Missing are the shards of a search that answered and that did not.
	Shards  []int
	Missing []int
	Records []Record
	// Repeat marks the outcome of an earlier request under the same key.
	Repeat bool
}
