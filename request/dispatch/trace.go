// Traces of requests that failed or were slow, for explain: a ring, written
// only for those. What a request in order costs is a few words in its chart.

package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"
)

const traceRingSize = 1024

// Transition is one line of a trace.
type Transition struct {
	At     int64  `json:"at_us"`
	State  State  `json:"state"`
	Detail string `json:"note,omitempty"`
}

// AttemptTrace is one ask of a trace.
type AttemptTrace struct {
	At      int64  `json:"at_us"`
	Pool    string `json:"pool"`
	Backend string `json:"server"`
	Cost    int64  `json:"cost_us"`
	Reason  string `json:"why"`
	Result  string `json:"reply,omitempty"`
	// WrittenAt is when the first bytes of the request had been written to the backend; 0 is never.
	WrittenAt int64 `json:"written_us,omitempty"`
	Status    int   `json:"status,omitempty"`
	Duration  int64 `json:"took_us,omitempty"`
	Answers   bool  `json:"-"`
}

// Trace is what is kept of one request.
type Trace struct {
	ID       string `json:"request"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Route    string `json:"route,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	// Term and Seq are of the configuration's version that the request was served by.
	Term        uint64         `json:"term,omitempty"`
	Seq         uint64         `json:"seq,omitempty"`
	Status      int            `json:"status"`
	Code        string         `json:"code"`
	Reason      string         `json:"why,omitempty"`
	Duration    int64          `json:"took_us"`
	Transitions []Transition   `json:"states"`
	Attempts    []AttemptTrace `json:"asks"`
}

type traceBuffer struct {
	transitions []Transition
	attempts    []AttemptTrace
	buf         [6]Transition
}

func (t *traceBuffer) transition(at int64, s State, note string) {
	if t.transitions == nil {
		t.transitions = t.buf[:0]
	}
	t.transitions = append(t.transitions, Transition{At: at, State: s, Detail: note})
}

var sendReasonTexts = []string{"first", "again", "early", "instead"}

func (t *traceBuffer) sent(at int64, n, way int, ch selection, why sendReason) {
	t.attempts = append(t.attempts, AttemptTrace{At: at, Backend: ch.endpoint.server.ID, Cost: ch.cost, Reason: sendReasonTexts[why]})
}

var classTexts = []string{"answer", "not_sent", "not_run", "failed", "garbage"}

func (t *traceBuffer) ended(at int64, n int, result *Result) {
	if n < len(t.attempts) {
		a := &t.attempts[n]
		a.Result, a.Status, a.Duration = classTexts[result.Class], result.Status, at-a.At
		if result.WrittenAfter > 0 {
			a.WrittenAt = a.At + result.WrittenAfter
		}
		if result.Reason != "" {
			a.Result += ": " + result.Reason
		}
	}
}

// TraceRing is the ring.
type TraceRing struct {
	next atomic.Uint64
	ring [traceRingSize]atomic.Pointer[Trace]
}

func newTraceRing() *TraceRing { return &TraceRing{} }

// record keeps the trace of a request that failed or came late.
func (r *TraceRing) record(m *StateMachine, now int64, o *Outcome) {
	if o.Code == "ok" && o.Missing == 0 && now <= m.targetAt || o.Code == "no_route" {
		return
	}
	t := &Trace{
		ID: m.request.ID, Method: m.request.Method, Path: m.request.Path, Status: o.Status, Code: o.Code, Reason: o.Reason, Duration: now - m.startedAt,
		Transitions: append([]Transition(nil), m.trace.transitions...), Attempts: append([]AttemptTrace(nil), m.trace.attempts...),
	}
	if m.route != nil {
		t.Route, t.Revision = m.route.Name, m.view.snapshot.Routing.Revision
		t.Term, t.Seq = m.view.snapshot.Version.Term, m.view.snapshot.Version.Seq
	}
	for i := range t.Attempts {
		t.Attempts[i].Pool = m.shards[m.attempts[i].shard].pool.name
	}
	r.ring[r.next.Add(1)%traceRingSize].Store(t)
	if ended := m.dispatcher.cfg.OnTrace; ended != nil {
		ended(t)
	}
}

// Failed tells that the request ended without a success; otherwise it was late or lacks parts.
func (t *Trace) Failed() bool { return t.Code != "ok" }

// AttemptSummary is the request's asks in one line: each with its backend, when it was asked and written,
// and what came of it.
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

// Get finds the newest trace of a request that is still kept.
func (r *TraceRing) Get(id string) (*Trace, bool) {
	at := r.next.Load()
	for i := range uint64(traceRingSize) {
		if t := r.ring[(at-i)%traceRingSize].Load(); t != nil && t.ID == id {
			return t, true
		}
	}
	return nil, false
}

func (d *Dispatcher) countOutcome(code string) { d.cfg.Counts.Add("forward_"+code, 1) }
