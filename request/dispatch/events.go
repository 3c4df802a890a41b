package dispatch

import (
	"net/http"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// State is a state of a request. The texts are those of traces, which operators read and which therefore keep older
// words than the constants.
type State string

// The states of a request. The last three are final.
const (
	StateRead      State = "read"
	StateMatched   State = "matched"
	StateAdmitted  State = "admitted"
	StateSent      State = "asked"
	StateRetried   State = "re_asked"
	StateGathered  State = "gathered"
	StateResponded State = "answered"
	StateRejected  State = "refused"
	StateFailed    State = "given_up"
)

// Code names an outcome in logs, traces and counters.
type Code string

// The codes of outcomes.
const (
	CodeOK Code = "ok"
	// CodePassedThrough is a backend's own failure, passed on unchanged.
	CodePassedThrough Code = "passed"
	// CodeNoRoute is a request that the routing table has no route for.
	CodeNoRoute Code = "no_route"
	// CodeRejected is a request that has not run and may be sent again.
	CodeRejected Code = "refused"
	// CodeUnknown is a request that is not idempotent, whose attempt ended without a good response and which may or
	// may not have run. One whose attempt is still in flight at its deadline is a CodeFailed, although it may have
	// run as well.
	CodeUnknown Code = "unknown"
	// CodeFailed is a request without a response in time, or without a good one.
	CodeFailed Code = "given_up"
	// CodeClientGone is a request whose client closed its connection.
	CodeClientGone Code = "client_gone"
)

// Request is one request of a client, read completely. It is not changed.
type Request struct {
	// ID is the client's id of this one attempt of its own; a backend is sent it unchanged.
	ID     string
	Method string
	// Target is the path and query as received, Path the path alone.
	Target, Path, Host string
	// Header holds the header lines that are forwarded to a backend as received, each ended by CR LF, without
	// hop-by-hop fields and without those that the node sets itself.
	Header []byte
	Body   []byte
	// Timeout is how long the client waits, from ReadAt on; 0 is unknown.
	Timeout clock.Micros
	// ReadAt is when the request had been read completely; 0 stands for the moment of NewStateMachine.
	ReadAt clock.Micros
}

// Event is Begin, AttemptDone, TimerFired or ClientGone.
type Event any

type (
	// Begin starts the request.
	Begin struct{}
	// AttemptDone reports the result of the attempt that Send started as number N.
	AttemptDone struct {
		N      int
		Result Result
	}
	// TimerFired reports that the moment of the last SetTimer has come.
	TimerFired struct{}
	// ClientGone reports that the client closed its connection: attempts that may be repeated are cancelled, the
	// others abandoned.
	ClientGone struct{}
)

// Class says what is known of an attempt once it has ended.
type Class uint8

// The classes of results. What may have run decides whether a request may be sent again.
const (
	// ClassResponse is a complete response of the backend that the request was sent to, whatever its status.
	ClassResponse Class = iota
	// ClassNotSent means that not one byte was written: the backend knows nothing of the request.
	ClassNotSent
	// ClassRejected means that the backend vouches that it has not run the request and will not.
	ClassRejected
	// ClassFailed means that bytes were written and no complete response came: the request may have run.
	ClassFailed
	// ClassInvalid is a response that is malformed, unsealed or another request's: the request may have run.
	ClassInvalid
)

// LoadReport is the load that a backend reported with a response. Known is false when it reported none.
type LoadReport struct {
	// Running counts requests being worked on, Queued those that wait, Slots how many can run at once.
	Running, Queued, Slots int
	Known                  bool
}

// Result is the end of an attempt.
type Result struct {
	Class  Class
	Status int
	// Header is the response's header without hop-by-hop fields and without Content-Length; Body is complete.
	Header http.Header
	Body   []byte
	// Seal is the backend's seal of its response, empty when it gave none.
	Seal string
	Load LoadReport
	// Draining is set when the backend said that it closes its connections.
	Draining bool
	// WrongBackend is set when another backend answered at the address.
	WrongBackend bool
	// ReusedConn is set when the connection had served before: a failure may be the end of an idle connection
	// and say nothing of the backend. For the same reason it is set, with ClassNotSent, when this node had no
	// connection free.
	ReusedConn bool
	// WrittenAfter is the time from Send to the first byte written; 0 is never.
	WrittenAfter clock.Micros
	// TimedOut is set when the attempt's Timeout ran out.
	TimedOut bool
	// Reason is the error or the check that failed, for traces and logs; empty for a response that passed them.
	Reason string
}

// Action is Send, Cancel, Abandon, SetTimer or Finish.
type Action any

type (
	// Send starts attempt N: the request is to be sent to one backend.
	Send struct {
		N       int
		Backend *snapshot.Backend
		Pool    *snapshot.Pool
		// Timeout is the time that is left, for the backend and for the driver.
		Timeout clock.Micros
		// AtMostOnce marks a request that must not run twice.
		AtMostOnce bool
		Request    *Request
	}
	// Cancel ends attempt N at once: its connection may be closed. No AttemptDone is needed.
	Cancel struct{ N int }
	// Abandon says that the response of attempt N is no longer wanted, but that the backend is to finish its work
	// undisturbed: the driver lets the exchange go on for its Timeout at most and then reports its AttemptDone,
	// although the request has ended. A driver that must stop sooner cancels it.
	Abandon struct{ N int }
	// SetTimer asks for TimerFired at a moment. It replaces the timer that was set before.
	SetTimer struct{ At clock.Micros }
	// Finish gives the outcome. It comes once.
	Finish struct{ Outcome Outcome }
)

// Outcome is what the client gets.
type Outcome struct {
	// Status is the HTTP status; 0 where there is no client left.
	Status int
	Code   Code
	Reason string
	// RetryAfter says when to come back, if above 0.
	RetryAfter clock.Micros
	// Response is the backend's response to pass on, nil where the outcome is the node's own.
	Response *Result
	// Seals, Missing and Body belong to a gathered response: the seals of its shards, how many shards are
	// missing, and the merged records.
	Seals   []string
	Missing int
	Body    []byte
}
