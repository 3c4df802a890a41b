// Traces of the last inquiries, for explain: a ring that costs one slot per
// inquiry and keeps the snapshot each was decided by.

package search

import (
	"strconv"
	"strings"
	"sync/atomic"

	"wallport/request/snapshot"
)

const tracesMost = 2048

// Step is one line of a trace.
type Step struct {
	At    int64  `json:"at_us"`
	State State  `json:"state"`
	Note  string `json:"note,omitempty"`
}

// Pick is one pick of a trace.
type Pick struct {
	At     int64    `json:"at_us"`
	N      int      `json:"n"`
	Shard  int      `json:"shard"`
	Server string   `json:"server"`
	Drawn  []string `json:"drawn"`
	Tier   string   `json:"tier"`
	Cold   bool     `json:"cold,omitempty"`
	Again  bool     `json:"again,omitempty"`
	Reply  string   `json:"reply,omitempty"`
	Took   int64    `json:"took_us,omitempty"`
}

// Trace is what is kept of one inquiry.
type Trace struct {
	ID      string  `json:"inquiry"`
	Kind    string  `json:"kind"`
	Index   string  `json:"index"`
	Record  string  `json:"record,omitempty"`
	Began   int64   `json:"-"`
	Steps   []Step  `json:"steps"`
	Picks   []Pick  `json:"picks"`
	Outcome Outcome `json:"-"`
	Took    int64   `json:"took_us"`
	cp      *snapshot.Snapshot
}

func newTrace(id string, in *Inquiry, now int64) *Trace {
	return &Trace{ID: id, Kind: in.Kind, Index: in.Index, Record: in.Record, Began: now, Steps: make([]Step, 0, 12)}
}

func (t *Trace) add(now int64, s State, note string) {
	t.Steps = append(t.Steps, Step{At: now - t.Began, State: s, Note: note})
}

func (t *Trace) pick(now int64, n, shard int, c Choice, again bool) {
	t.Picks = append(t.Picks, Pick{
		At: now - t.Began, N: n, Shard: shard, Server: c.Server.ID, Drawn: c.Drawn, Tier: c.Tier, Cold: c.Cold, Again: again,
	})
}

func (t *Trace) reply(now int64, n int, r Reply) {
	if n < len(t.Picks) {
		p := &t.Picks[n]
		p.Reply, p.Took = r.Class, now-t.Began-p.At
		if r.Why != "" {
			p.Reply += ": " + r.Why
		}
	}
}

// Traces is the ring.
type Traces struct {
	ring [tracesMost]atomic.Pointer[Trace]
}

func newTraces() *Traces { return &Traces{} }

func slotOf(id string) (uint64, bool) {
	i := strings.LastIndexByte(id, '-')
	n, err := strconv.ParseUint(id[i+1:], 16, 64)
	return n % tracesMost, i >= 0 && err == nil
}

func (r *Traces) put(t *Trace, now int64, o Outcome) {
	t.Took = now - t.Began
	o.Records = nil
	t.Outcome = o
	if i, ok := slotOf(t.ID); ok {
		r.ring[i].Store(t)
	}
}

// Get finds a trace that is still kept.
func (r *Traces) Get(id string) (*Trace, bool) {
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
	Shard   int    `json:"shard"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Verdict string `json:"verdict"`
	Warm    int64  `json:"warm_thousandths"`
	Why     string `json:"why"`
}

// Explained is the answer of explain.
type Explained struct {
	*Trace
	Stamp      string      `json:"stamp"`
	Cut        string      `json:"cut"`
	Outcome    Outcome     `json:"outcome"`
	Candidates []Candidate `json:"candidates"`
}

// Explain tells a trace with the candidates of every shard it picked for.
func Explain(t *Trace, stamp func(*snapshot.Snapshot) string) Explained {
	e := Explained{Trace: t, Outcome: t.Outcome, Candidates: []Candidate{}}
	if t.cp == nil {
		return e
	}
	e.Stamp = stamp(t.cp)
	x := t.cp.Indexes[t.Index]
	if x == nil {
		return e
	}
	e.Cut = x.Cut.Name
	shards := map[int]bool{}
	for _, p := range t.Picks {
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

func candidate(t *Trace, shard int, s *snapshot.Server, x *snapshot.Index) Candidate {
	c := Candidate{Shard: shard, Server: s.ID, Zone: s.Zone, Verdict: snapshot.HealthStateNames[s.Health], Warm: s.SlowStartShare(t.Began, x.Service.RampUs)}
	c.Why = "in the draw, not drawn"
	if s.Health != snapshot.Healthy {
		c.Why = "condition is " + c.Verdict
	}
	for _, p := range t.Picks {
		switch {
		case p.Server == s.ID && p.Again:
			c.Why = "picked for a re-ask"
		case p.Server == s.ID:
			c.Why = "picked"
		case p.Shard == shard && (p.Drawn[0] == s.ID || p.Drawn[1] == s.ID) && c.Why[0] == 'i':
			c.Why = "drawn, the other cost less"
		}
	}
	return c
}
