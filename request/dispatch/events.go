// Package dispatch is the way of one request of the routing table through a
// node, as a state chart: read, matched, admitted, asked, re-asked, gathered,
// and then answered, refused or given up. A chart takes events and returns
// acts; a driver carries them out over real HTTP or in the simulator. Acts are
// in the order in which they are to be carried out and hold until the next Step.
package dispatch

import (
	"net/http"

	"wallport/request/snapshot"
)

// State is a named state of the chart.
type State string

// The states of a request.
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

// Request is one request of a client, read whole. It is not changed.
type Request struct {
	// ID is the client's id of this one try; a backend is sent it unchanged.
	ID     string
	Method string
	// Target is the path and query as they came, Path the path alone.
	Target, Path, Host string
	// Header is the header lines that go on to a backend as they came, each ended by CR LF: without
	// what concerns one connection only and without what the node sets itself.
	Header []byte
	Body   []byte
	// Timeout is how long the client waits, in microseconds from when it was read; 0 is unknown.
	Timeout int64
	// ReadAt is when it had been read whole, on the process's clock; 0 is the moment of NewStateMachine.
	ReadAt int64
}

// Event is one of the types below.
type Event any

type (
	// Begin starts the chart.
	Begin struct{}
	// AttemptDone tells what became of an ask.
	AttemptDone struct {
		N      int
		Result Result
	}
	// TimerFired tells that the moment of the last Wake has come.
	TimerFired struct{}
	// ClientGone tells that the client waits no more: asks that may be repeated are broken off, others left.
	ClientGone struct{}
)

// Class is what became of an ask.
type Class uint8

const (
	// ClassResponse is a whole answer of the backend that was asked, whatever its status.
	ClassResponse Class = iota
	// ClassNotSent is that not one byte was written: the backend knows nothing of it.
	ClassNotSent
	// ClassRejected is the backend's own word that it has not run the request and will not.
	ClassRejected
	// ClassFailed is that bytes were written and no whole answer came: it may have run.
	ClassFailed
	// ClassInvalid is an answer that is none, or another request's.
	ClassInvalid
)

// LoadReport is what a backend tells of itself with an answer; Known is false when it told nothing.
type LoadReport struct {
	Running, Queued, Slots int
	Known                  bool
}

// Result is what became of an ask.
type Result struct {
	Class  Class
	Status int
	// Header is the header to pass on, without what concerns one connection only and without the
	// body's length; Body is whole.
	Header http.Header
	Body   []byte
	// Seal is the backend's seal of its answer, empty when it gave none.
	Seal string
	Load LoadReport
	// Draining is the backend's word that it closes its connections.
	Draining bool
	// WrongBackend is that another backend has the address now.
	WrongBackend bool
	// ReusedConn tells that the connection had served before: a failure may be an idle connection's
	// end and not the backend's.
	ReusedConn bool
	// WrittenAfter is how long after the ask the first bytes of the request had been written; 0 is never.
	WrittenAfter int64
	// TimedOut tells that the time given to the ask ran out.
	TimedOut bool
	Reason   string
}

// Send is a request to one backend.
type Send struct {
	N      int
	Server *snapshot.Backend
	Pool   *snapshot.Pool
	// Timeout is what is left of the time, for the backend and for the driver.
	Timeout int64
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
	Request    *Request
}

// Action is one of the types below, or an Ask.
type Action any

type (
	// Cancel gives an ask up at once: its connection may be closed. No Replied is needed.
	Cancel struct{ N int }
	// Abandon tells that an ask's answer is not wanted any more, but that the backend is to end its
	// work undisturbed: the driver lets the exchange run out, for its Timeout at most, and then
	// gives its Replied to the chart though that is done. A driver that must end sooner cancels it.
	Abandon struct{ N int }
	// SetTimer asks for a Due at a moment of the process's clock, in microseconds.
	SetTimer struct{ At int64 }
	// Finish gives the final outcome.
	Finish struct{ Outcome Outcome }
)

// Outcome is what the client is told.
type Outcome struct {
	// Status is the answer's; Code is a word for logs and counters: ok, passed (a backend's
	// own failure), no_route, refused, unknown, given_up.
	Status int
	Code   string
	Reason string
	// RetryAfter, when above 0, says when to come back.
	RetryAfter int64
	// Response is the backend's answer to pass on, nil where the outcome is the node's own.
	Response *Result
	// Seals and Missing are of a gathered answer, Body its merged records.
	Seals   []string
	Missing int
	Body    []byte
}
