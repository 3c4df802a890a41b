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
	StRead     State = "read"
	StMatched  State = "matched"
	StAdmitted State = "admitted"
	StAsked    State = "asked"
	StReAsked  State = "re_asked"
	StGathered State = "gathered"
	StAnswered State = "answered"
	StRefused  State = "refused"
	StGivenUp  State = "given_up"
)

// Request is one request of a client, read whole. It is not changed.
type Request struct {
	// ID is the client's id of this one try; a backend is sent it unchanged.
	ID     string
	Method string
	// Target is the path and query as they came, Path the path alone.
	Target, Path, Host string
	// Head is the header lines that go on to a backend as they came, each ended by CR LF: without
	// what concerns one connection only and without what the node sets itself.
	Head []byte
	Body []byte
	// BudgetUs is how long the client waits, in microseconds from when it was read; 0 is unknown.
	BudgetUs int64
	// ReadUs is when it had been read whole, on the process's clock; 0 is the moment of NewChart.
	ReadUs int64
}

// Event is one of the types below.
type Event any

type (
	// Begin starts the chart.
	Begin struct{}
	// Replied tells what became of an ask.
	Replied struct {
		N     int
		Reply Reply
	}
	// Due tells that the moment of the last Wake has come.
	Due struct{}
	// Gone tells that the client waits no more: asks that may be repeated are broken off, others left.
	Gone struct{}
)

// Class is what became of an ask.
type Class uint8

const (
	// ClassAnswer is a whole answer of the backend that was asked, whatever its status.
	ClassAnswer Class = iota
	// ClassNotSent is that not one byte was written: the backend knows nothing of it.
	ClassNotSent
	// ClassNotRun is the backend's own word that it has not run the request and will not.
	ClassNotRun
	// ClassFailed is that bytes were written and no whole answer came: it may have run.
	ClassFailed
	// ClassGarbage is an answer that is none, or another request's.
	ClassGarbage
)

// Load is what a backend tells of itself with an answer; Known is false when it told nothing.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Reply is what became of an ask.
type Reply struct {
	Class  Class
	Status int
	// Head is the header to pass on, without what concerns one connection only and without the
	// body's length; Body is whole.
	Head http.Header
	Body []byte
	// Seal is the backend's seal of its answer, empty when it gave none.
	Seal string
	Load Load
	// Leaving is the backend's word that it closes its connections.
	Leaving bool
	// WrongBackend is that another backend has the address now.
	WrongBackend bool
	// Reused tells that the connection had served before: a failure may be an idle connection's
	// end and not the backend's.
	Reused bool
	// WrittenUs is how long after the ask the first bytes of the request had been written; 0 is never.
	WrittenUs int64
	// Silent tells that the time given to the ask ran out.
	Silent bool
	Why    string
}

// Ask is a request to one backend.
type Ask struct {
	N      int
	Server *snapshot.Server
	Pool   *snapshot.Pool
	// WithinUs is what is left of the time, for the backend and for the driver.
	WithinUs int64
	// Once marks a request that must not run twice.
	Once    bool
	Request *Request
}

// Act is one of the types below, or an Ask.
type Act any

type (
	// Cancel gives an ask up at once: its connection may be closed. No Replied is needed.
	Cancel struct{ N int }
	// Leave tells that an ask's answer is not wanted any more, but that the backend is to end its
	// work undisturbed: the driver lets the exchange run out, for its WithinUs at most, and then
	// gives its Replied to the chart though that is done. A driver that must end sooner cancels it.
	Leave struct{ N int }
	// Wake asks for a Due at a moment of the process's clock, in microseconds.
	Wake struct{ At int64 }
	// Finish gives the final outcome.
	Finish struct{ Outcome Outcome }
)

// Outcome is what the client is told.
type Outcome struct {
	// Status is the answer's; Code is a word for logs and counters: ok, passed (a backend's
	// own failure), no_route, refused, unknown, given_up.
	Status int
	Code   string
	Why    string
	// RetryAfterUs, when above 0, says when to come back.
	RetryAfterUs int64
	// Answer is the backend's answer to pass on, nil where the outcome is the node's own.
	Answer *Reply
	// Seals and Missing are of a gathered answer, Body its merged records.
	Seals   []string
	Missing int
	Body    []byte
}
