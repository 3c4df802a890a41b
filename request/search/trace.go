// Traces of the last inquiries, for explain: a ring that costs one slot per
// inquiry and keeps the snapshot each was decided by.

package search

import (
	"strconv"
	"strings"
	"sync/atomic"

	"wallport/request/snapshot"
)

const traceSlots = 2048

// TraceStep is one line of a trace.
type TraceStep struct {
	At     int64  `json:"at_us"`
	State  State  `json:"state"`
	Detail string `json:"note,omitempty"`
}

// TraceSelection is one pick of a trace.
type TraceSelection struct {
	At        int64    `json:"at_us"`
	Attempt   int      `json:"n"`
	Shard     int      `json:"shard"`
	Server    string   `json:"server"`
	Sampled   []string `json:"drawn"`
	Tier      string   `json:"tier"`
	WarmingUp bool     `json:"cold,omitempty"`
	Retry     bool     `json:"again,omitempty"`
	Reply     string   `json:"reply,omitempty"`
	Latency   int64    `json:"took_us,omitempty"`
}

// Trace is what is kept of one inquiry.
type Trace struct {
	ID         string           `json:"inquiry"`
	Kind       string           `json:"kind"`
	Index      string           `json:"index"`
	Record     string           `json:"record,omitempty"`
	StartedAt  int64            `json:"-"`
	Steps      []TraceStep      `json:"steps"`
	Selections []TraceSelection `json:"picks"`
	Outcome    Outcome          `json:"-"`
	Latency    int64            `json:"took_us"`
	snapshot   *snapshot.Snapshot
}

func newTrace(id string, in *Request, now int64) *Trace {
	return &Trace{ID: id, Kind: in.Kind, Index: in.Index, Record: in.Record, StartedAt: now, Steps: make([]TraceStep, 0, 12)}
}

func (t *Trace) add(now int64, s State, note string) {
	t.Steps = append(t.Steps, TraceStep{At: now - t.StartedAt, State: s, Detail: note})
}

func (t *Trace) selected(now int64, n, shard int, c Selection, again bool) {
	t.Selections = append(t.Selections, TraceSelection{
		At: now - t.StartedAt, Attempt: n, Shard: shard, Server: c.Server.ID, Sampled: c.Sampled, Tier: c.Tier, WarmingUp: c.WarmingUp, Retry: again,
	})
}

func (t *Trace) replied(now int64, n int, r Reply) {
	if n < len(t.Selections) {
		p := &t.Selections[n]
		p.Reply, p.Latency = r.Class, now-t.StartedAt-p.At
		if r.Reason != "" {
			p.Reply += ": " + r.Reason
		}
	}
}

// TraceRing is the ring.
type TraceRing struct {
	ring [traceSlots]atomic.Pointer[Trace]
}

func newTraceRing() *TraceRing { return &TraceRing{} }

func slotOf(id string) (uint64, bool) {
	i := strings.LastIndexByte(id, '-')
	n, err := strconv.ParseUint(id[i+1:], 16, 64)
	return n % traceSlots, i >= 0 && err == nil
}

func (r *TraceRing) put(t *Trace, now int64, o Outcome) {
	t.Latency = now - t.StartedAt
	o.Records = nil
	t.Outcome = o
	if i, ok := slotOf(t.ID); ok {
		r.ring[i].Store(t)
	}
}

// Get finds a trace that is still kept.
func (r *TraceRing) Get(id string) (*Trace, bool) {
	i, ok := slotOf(id)
	if !ok {
		return nil, false
	}
	t := r.ring[i].Load()
	if t == nil || t.ID != id {
		return nil, false
	}
	return t, true
}

// Candidate is a server as it stood when the inquiry was decided.
type Candidate struct {
	Shard             int    `json:"shard"`
	Server            string `json:"server"`
	Zone              string `json:"zone"`
	Health            string `json:"verdict"`
	WarmthThousandths int64  `json:"warm_thousandths"`
	Reason            string `json:"why"`
}

// Explanation is the answer of explain.
type Explanation struct {
	*Trace
	Version    string      `json:"stamp"`
	ShardMap   string      `json:"cut"`
	Outcome    Outcome     `json:"outcome"`
	Candidates []Candidate `json:"candidates"`
}

// Explain tells a trace with the candidates of every shard it picked for.
func Explain(t *Trace, stamp func(*snapshot.Snapshot) string) Explanation {
	e := Explanation{Trace: t, Outcome: t.Outcome, Candidates: []Candidate{}}
	if t.snapshot == nil {
		return e
	}
	e.Version = stamp(t.snapshot)
	x := t.snapshot.Indexes[t.Index]
	if x == nil {
		return e
	}
	e.ShardMap = x.ShardMap.Name
	shards := map[int]bool{}
	for _, p := range t.Selections {
		shards[p.Shard] = true
	}
	for shard, servers := range x.Shards {
		if !shards[shard] {
			continue
		}
		for _, s := range servers {
			e.Candidates = append(e.Candidates, candidate(t, shard, s, x))
		}
	}
	return e
}

func candidate(t *Trace, shard int, s *snapshot.Backend, x *snapshot.Index) Candidate {
	c := Candidate{Shard: shard, Server: s.ID, Zone: s.Zone, Health: snapshot.HealthStateNames[s.Health], WarmthThousandths: s.SlowStartShare(t.StartedAt, x.Service.RampUs)}
	c.Reason = "in the draw, not drawn"
	if s.Health != snapshot.Healthy {
		c.Reason = "condition is " + c.Health
	}
	for _, p := range t.Selections {
		switch {
		case p.Server == s.ID && p.Retry:
			c.Reason = "picked for a re-ask"
		case p.Server == s.ID:
			c.Reason = "picked"
		case p.Shard == shard && (p.Sampled[0] == s.ID || p.Sampled[1] == s.ID) && c.Reason[0] == 'i':
			c.Reason = "drawn, the other cost less"
		}
	}
	return c
}
