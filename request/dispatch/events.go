package dispatch

import (
	"net/http"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// State is a state of a request. Its text appears in traces, which operators read; some texts therefore keep older
// names than the constants.
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
	// CodePassedThrough means that a backend's error response is passed on unchanged.
	CodePassedThrough Code = "passed"
	// CodeNoRoute means that the routing table has no route for the request.
	CodeNoRoute Code = "no_route"
	// CodeRejected means that the request has not run and may be sent again.
	CodeRejected Code = "refused"
	// CodeUnknown means that a request that is not idempotent may or may not have run: its attempt ended without a
	// valid response. If the attempt is still in flight at the deadline, the code is CodeFailed, although the
	// request may have run in that case too.
	CodeUnknown Code = "unknown"
	// CodeFailed means that no valid response arrived before the deadline.
	CodeFailed Code = "given_up"
	// CodeClientGone means that the client closed its connection.
	CodeClientGone Code = "client_gone"
)

// Request is one client request, read completely. It is not modified.
type Request struct {
	// ID is the id that the client gave to this attempt. It is forwarded to backends unchanged.
	ID     string
	Method string
	// Target is the path and query as received, Path the path alone.
	Target, Path, Host string
	// Header holds the header lines that are forwarded to a backend as received, each terminated by CR LF, without
	// hop-by-hop fields and without the fields that the node sets itself.
	Header []byte
	Body   []byte
	// Timeout is how long the client waits, counted from ReadAt; 0 if unknown.
	Timeout clock.Micros
	// ReadAt is when the request had been read completely; 0 means the time passed to NewStateMachine.
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
	// TimerFired reports that the time of the last SetTimer has come.
	TimerFired struct{}
	// ClientGone reports that the client closed its connection. The attempts of a request that may run twice are
	// cancelled, those of other requests abandoned.
	ClientGone struct{}
)

// Class classifies the result of an attempt.
type Class uint8

// The classes of results. They determine whether the request may have run and so whether it may be sent again.
const (
	// ClassResponse means that the backend that the request was sent to returned a complete response, of any status.
	ClassResponse Class = iota
	// ClassNotSent means that no byte was written: the backend has not seen the request.
	ClassNotSent
	// ClassRejected means that the backend stated that it has not run the request and never will.
	ClassRejected
	// ClassFailed means that bytes were written and no complete response was received: the request may have run.
	ClassFailed
	// ClassInvalid means that the response is malformed, lacks its seal or belongs to another request: the request
	// may have run.
	ClassInvalid
)

// LoadReport is the load that a backend reported with a response. Known is false if it reported none.
type LoadReport struct {
	// Running is the number of requests being processed, Queued the number waiting, Slots the number that can run
	// concurrently.
	Running, Queued, Slots int
	Known                  bool
}

// maxConcurrency bounds the numbers of requests and slots that a backend or the platform's list reports, so that the
// products in which they occur do not overflow.
const maxConcurrency = 1_000_000

func boundedConcurrency(n int) int64 { return int64(min(max(0, n), maxConcurrency)) }

// total returns the number of requests that the backend is handling, in thousandths of requests.
func (r LoadReport) total() int64 {
	return unit * (boundedConcurrency(r.Running) + boundedConcurrency(r.Queued))
}

// slots returns the number of slots.
func (r LoadReport) slots() int64 { return boundedConcurrency(r.Slots) }

// Result is the result of an attempt.
type Result struct {
	Class  Class
	Status int
	// Header is the response's header without hop-by-hop fields and without Content-Length; Body is complete.
	Header http.Header
	Body   []byte
	// Seal is the backend's seal of its response, empty if the response has none.
	Seal string
	Load LoadReport
	// Draining is set if the backend announced that it will close its connections.
	Draining bool
	// WrongBackend is set if another backend responded at the address.
	WrongBackend bool
	// ReusedConn is set if the connection had been used before: a failure may only mean that the backend closed an
	// idle connection, which says nothing about its health. For the same reason it is also set, with ClassNotSent, if
	// this node had no free connection.
	ReusedConn bool
	// WrittenAfter is the time from Send to the first byte written; 0 if none was.
	WrittenAfter clock.Micros
	// TimedOut is set if the attempt's Timeout expired.
	TimedOut bool
	// Reason is the error or the failed check, for traces and logs; empty for a valid response.
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
		// Timeout is the time until the request's deadline. It applies to the backend and to the driver.
		Timeout clock.Micros
		// AtMostOnce marks a request that must not run twice.
		AtMostOnce bool
		Request    *Request
	}
	// Cancel ends attempt N immediately: its connection may be closed. No AttemptDone is needed.
	Cancel struct{ N int }
	// Abandon states that the response of attempt N is no longer needed, but that the backend should be able to
	// finish its work. The driver lets the exchange continue for at most its Timeout and then reports AttemptDone,
	// although the request has ended. A driver that must stop sooner cancels the attempt.
	Abandon struct{ N int }
	// SetTimer requests a TimerFired event at the given time. It replaces the previous timer.
	SetTimer struct{ At clock.Micros }
	// Finish returns the outcome. It is emitted once.
	Finish struct{ Outcome Outcome }
)

// Outcome is the response to the client.
type Outcome struct {
	// Status is the HTTP status; 0 if the client has closed its connection.
	Status int
	Code   Code
	Reason string
	// RetryAfter is the time after which the client may retry, if above 0.
	RetryAfter clock.Micros
	// Response is the backend's response to pass on, nil if the node generates the response itself.
	Response *Result
	// Seals, Missing and Body describe a gathered response: the seals of its shards, the number of missing shards
	// and the merged records.
	Seals   []string
	Missing int
	Body    []byte
}
