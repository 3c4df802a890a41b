package search

import (
	"strconv"
	"strings"
	"sync/atomic"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// Trace records the decisions made for one request. The times of its entries count from the start of
// the request.
type Trace struct {
	ID          string         `json:"inquiry"`
	Kind        Kind           `json:"kind"`
	Index       string         `json:"index"`
	Record      string         `json:"record,omitempty"`
	StartedAt   clock.Micros   `json:"-"`
	Transitions []Transition   `json:"steps"`
	Attempts    []AttemptTrace `json:"picks"`
	Outcome     Outcome        `json:"-"`
	Duration    clock.Micros   `json:"took_us"`
	// snapshot is the routing snapshot that the request used at its start.
	snapshot *snapshot.Snapshot
}

// Transition is a state change of the state machine.
type Transition struct {
	At     clock.Micros `json:"at_us"`
	State  State        `json:"state"`
	Detail string       `json:"note,omitempty"`
}

// AttemptTrace records one attempt and how its backend was selected.
type AttemptTrace struct {
	At        clock.Micros `json:"at_us"`
	Attempt   int          `json:"n"`
	Shard     int          `json:"shard"`
	Backend   string       `json:"server"`
	Sampled   []string     `json:"drawn"`
	Tier      string       `json:"tier"`
	WarmingUp bool         `json:"cold,omitempty"`
	Retry     bool         `json:"again,omitempty"`
	Result    string       `json:"reply,omitempty"`
	Duration  clock.Micros `json:"took_us,omitempty"`
}

func newTrace(id string, request *Request, now clock.Micros) *Trace {
	return &Trace{
		ID: id, Kind: request.Kind, Index: request.Index, Record: request.Record,
		StartedAt: now, Transitions: make([]Transition, 0, 12),
	}
}

func (t *Trace) transition(now clock.Micros, s State, detail string) {
	t.Transitions = append(t.Transitions, Transition{At: now - t.StartedAt, State: s, Detail: detail})
}

func (t *Trace) sent(now clock.Micros, attempt, shard int, s Selection, retry bool) {
	t.Attempts = append(t.Attempts, AttemptTrace{
		At: now - t.StartedAt, Attempt: attempt, Shard: shard, Backend: s.Backend.ID,
		Sampled: s.Sampled, Tier: s.Tier, WarmingUp: s.WarmingUp, Retry: retry,
	})
}

func (t *Trace) ended(now clock.Micros, attempt int, r Result) {
	if attempt >= len(t.Attempts) {
		return
	}
	attemptTrace := &t.Attempts[attempt]
	attemptTrace.Result, attemptTrace.Duration = string(r.Class), now-t.StartedAt-attemptTrace.At
	if r.Reason != "" {
		attemptTrace.Result += ": " + r.Reason
	}
}

// traceRingSize is the number of requests whose traces a ring holds.
const traceRingSize = 2048

// TraceRing keeps the traces of a node's most recent requests for the explain API. The slot is derived
// from the request's id, so storing a trace takes a single atomic store.
type TraceRing struct {
	slots [traceRingSize]atomic.Pointer[Trace]
}

func newTraceRing() *TraceRing { return &TraceRing{} }

// slotOf returns the slot for a request id of the form NODE-NUMBER, and whether the id has that form.
func slotOf(id string) (uint64, bool) {
	i := strings.LastIndexByte(id, '-')
	n, err := strconv.ParseUint(id[i+1:], 16, 64)
	return n % traceRingSize, i >= 0 && err == nil
}

// put stores the trace of a finished request, without the records of its outcome.
func (r *TraceRing) put(t *Trace, now clock.Micros, o Outcome) {
	t.Duration = now - t.StartedAt
	o.Records = nil
	t.Outcome = o
	if slot, ok := slotOf(t.ID); ok {
		r.slots[slot].Store(t)
	}
}

// Get returns the trace of a request and reports whether it is still stored.
func (r *TraceRing) Get(id string) (*Trace, bool) {
	slot, ok := slotOf(id)
	if !ok {
		return nil, false
	}
	t := r.slots[slot].Load()
	if t == nil || t.ID != id {
		return nil, false
	}
	return t, true
}
