package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"

	"wallport/runtime/clock"
)

// traceRingSize is how many traces a node keeps.
const traceRingSize = 1024

// Transition is a change of a request's state. Times are relative to the start of the request.
type Transition struct {
	At     clock.Micros `json:"at_us"`
	State  State        `json:"state"`
	Detail string       `json:"note,omitempty"`
}

// AttemptTrace is one attempt of a trace. Times are relative to the start of the request.
type AttemptTrace struct {
	At      clock.Micros `json:"at_us"`
	Pool    string       `json:"pool"`
	Backend string       `json:"server"`
	// Cost is the expected time until a successful response at the time of selection.
	Cost   clock.Micros `json:"cost_us"`
	Reason string       `json:"why"`
	// Result is the class of the attempt's result and the reason; empty if the attempt was still in flight.
	Result string `json:"reply,omitempty"`
	// WrittenAt is when the first byte of the request was written to the backend; 0 if none was.
	WrittenAt clock.Micros `json:"written_us,omitempty"`
	Status    int          `json:"status,omitempty"`
	Duration  clock.Micros `json:"took_us,omitempty"`
	// Answers is unused. It must remain as long as surface/testdata/json_tags.txt counts its tag.
	Answers bool `json:"-"`
}

// Trace records the course of a request.
type Trace struct {
	ID       string `json:"request"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Route    string `json:"route,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	// Term and Seq are the version of the configuration under which the request was served.
	Term        uint64         `json:"term,omitempty"`
	Seq         uint64         `json:"seq,omitempty"`
	Status      int            `json:"status"`
	Code        Code           `json:"code"`
	Reason      string         `json:"why,omitempty"`
	Duration    clock.Micros   `json:"took_us"`
	Transitions []Transition   `json:"states"`
	Attempts    []AttemptTrace `json:"asks"`
}

// Failed reports whether the request ended without a success. Other traced requests exceeded their latency target or
// lack shards.
func (t *Trace) Failed() bool { return t.Code != CodeOK }

// AttemptSummary returns the request's attempts in one line: for each attempt the reason, the backend, the times of its
// start and of the first byte written, and the result.
func (t *Trace) AttemptSummary() string {
	var b strings.Builder
	for i := range t.Attempts {
		a := &t.Attempts[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s %s at=%d written=%d", a.Reason, a.Backend, a.At, a.WrittenAt)
		if a.Result != "" {
			fmt.Fprintf(&b, " after=%d %s %d", a.Duration, a.Result, a.Status)
		}
	}
	return b.String()
}

// TraceRing keeps the newest traces. It is safe for concurrent use.
type TraceRing struct {
	next atomic.Uint64
	ring [traceRingSize]atomic.Pointer[Trace]
}

func (r *TraceRing) add(t *Trace) { r.ring[r.next.Add(1)%traceRingSize].Store(t) }

// Get returns the newest trace of a request and reports whether one is still kept.
func (r *TraceRing) Get(id string) (*Trace, bool) {
	newest := r.next.Load()
	for i := range uint64(traceRingSize) {
		if t := r.ring[(newest-i)%traceRingSize].Load(); t != nil && t.ID == id {
			return t, true
		}
	}
	return nil, false
}

// traceBuffer collects the data of a trace during a request. A Trace is built from it only for requests that failed,
// lacked shards or exceeded their latency target, so that tracing costs other requests little.
type traceBuffer struct {
	transitions   []Transition
	attempts      []AttemptTrace
	transitionBuf [6]Transition
}

func (b *traceBuffer) transition(at clock.Micros, s State, detail string) {
	if b.transitions == nil {
		b.transitions = b.transitionBuf[:0]
	}
	b.transitions = append(b.transitions, Transition{At: at, State: s, Detail: detail})
}

// sendReasonTexts holds the names of send reasons in traces.
var sendReasonTexts = [...]string{sendFirst: "first", sendRetry: "again", sendHedge: "early", sendReplacement: "instead"}

func (b *traceBuffer) sent(at clock.Micros, chosen selection, why sendReason) {
	b.attempts = append(b.attempts, AttemptTrace{At: at, Backend: chosen.endpoint.listed.ID, Cost: chosen.cost, Reason: sendReasonTexts[why]})
}

// classTexts holds the names of result classes in traces.
var classTexts = [...]string{
	ClassResponse: "answer", ClassNotSent: "not_sent", ClassRejected: "not_run", ClassFailed: "failed", ClassInvalid: "garbage",
}

func (b *traceBuffer) ended(at clock.Micros, n int, result *Result) {
	if n >= len(b.attempts) {
		return
	}
	a := &b.attempts[n]
	a.Result, a.Status, a.Duration = classTexts[result.Class], result.Status, at-a.At
	if result.WrittenAfter > 0 {
		a.WrittenAt = a.At + result.WrittenAfter
	}
	if result.Reason != "" {
		a.Result += ": " + result.Reason
	}
}

// recordTrace keeps the trace of a request that failed, lacked shards or exceeded its latency target.
func (m *StateMachine) recordTrace(now clock.Micros, o *Outcome) {
	if o.Code == CodeOK && o.Missing == 0 && now <= m.targetAt || o.Code == CodeNoRoute {
		return
	}
	t := m.makeTrace(now, o)
	m.dispatcher.Traces.add(t)
	if onTrace := m.dispatcher.cfg.OnTrace; onTrace != nil {
		onTrace(t)
	}
}

func (m *StateMachine) makeTrace(now clock.Micros, o *Outcome) *Trace {
	t := &Trace{
		ID: m.request.ID, Method: m.request.Method, Path: m.request.Path,
		Status: o.Status, Code: o.Code, Reason: o.Reason, Duration: now - m.startedAt,
		// Not slices.Clone: an empty list must stay nil, which is null in the JSON that operators read.
		Transitions: append([]Transition(nil), m.trace.transitions...), Attempts: append([]AttemptTrace(nil), m.trace.attempts...),
	}
	if m.route != nil {
		table := m.view.snapshot
		t.Route, t.Revision = m.route.Name, table.Routing.Revision
		t.Term, t.Seq = table.Version.Term, table.Version.Seq
	}
	for i := range t.Attempts {
		t.Attempts[i].Pool = m.shards[m.attempts[i].shard].pool.name
	}
	return t
}
