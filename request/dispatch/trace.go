// Traces of requests that failed or were slow, for explain: a ring, written
// only for those. What a request in order costs is a few words in its chart.

package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"
)

const tracesMost = 1024

// Line is one line of a trace.
type Line struct {
	AtUs  int64  `json:"at_us"`
	State State  `json:"state"`
	Note  string `json:"note,omitempty"`
}

// AskLine is one ask of a trace.
type AskLine struct {
	AtUs   int64  `json:"at_us"`
	Pool   string `json:"pool"`
	Server string `json:"server"`
	CostUs int64  `json:"cost_us"`
	Why    string `json:"why"`
	Reply  string `json:"reply,omitempty"`
	// WrittenUs is when the first bytes of the request had been written to the backend; 0 is never.
	WrittenUs int64 `json:"written_us,omitempty"`
	Status    int   `json:"status,omitempty"`
	TookUs    int64 `json:"took_us,omitempty"`
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
	Term   uint64    `json:"term,omitempty"`
	Seq    uint64    `json:"seq,omitempty"`
	Status int       `json:"status"`
	Code   string    `json:"code"`
	Why    string    `json:"why,omitempty"`
	TookUs int64     `json:"took_us"`
	Lines  []Line    `json:"states"`
	Asks   []AskLine `json:"asks"`
}

type trace struct {
	lines []Line
	asks  []AskLine
	buf   [6]Line
}

func (t *trace) add(at int64, s State, note string) {
	if t.lines == nil {
		t.lines = t.buf[:0]
	}
	t.lines = append(t.lines, Line{AtUs: at, State: s, Note: note})
}

var reasons = []string{"first", "again", "early", "instead"}

func (t *trace) ask(at int64, n, way int, ch choice, why reason) {
	t.asks = append(t.asks, AskLine{AtUs: at, Server: ch.seat.server.ID, CostUs: ch.cost, Why: reasons[why]})
}

var classes = []string{"answer", "not_sent", "not_run", "failed", "garbage"}

func (t *trace) reply(at int64, n int, r *Reply) {
	if n < len(t.asks) {
		a := &t.asks[n]
		a.Reply, a.Status, a.TookUs = classes[r.Class], r.Status, at-a.AtUs
		if r.WrittenUs > 0 {
			a.WrittenUs = a.AtUs + r.WrittenUs
		}
		if r.Why != "" {
			a.Reply += ": " + r.Why
		}
	}
}

// Traces is the ring.
type Traces struct {
	next atomic.Uint64
	ring [tracesMost]atomic.Pointer[Trace]
}

func newTraces() *Traces { return &Traces{} }

// keep keeps the trace of a request that failed or came late.
func (r *Traces) keep(c *Chart, now int64, o *Outcome) {
	if o.Code == "ok" && o.Missing == 0 && now <= c.aim || o.Code == "no_route" {
		return
	}
	t := &Trace{
		ID: c.req.ID, Method: c.req.Method, Path: c.req.Path, Status: o.Status, Code: o.Code, Why: o.Why, TookUs: now - c.began,
		Lines: append([]Line(nil), c.trace.lines...), Asks: append([]AskLine(nil), c.trace.asks...),
	}
	if c.route != nil {
		t.Route, t.Revision = c.route.Name, c.view.cp.Routing.Revision
		t.Term, t.Seq = c.view.cp.Version.Term, c.view.cp.Version.Seq
	}
	for i := range t.Asks {
		t.Asks[i].Pool = c.ways[c.tries[i].way].pool.name
	}
	r.ring[r.next.Add(1)%tracesMost].Store(t)
	if ended := c.desk.cfg.Ended; ended != nil {
		ended(t)
	}
}

// Failed tells that the request ended without a success; otherwise it was late or lacks parts.
func (t *Trace) Failed() bool { return t.Code != "ok" }

// AskText is the request's asks in one line: each with its backend, when it was asked and written,
// and what came of it.
func (t *Trace) AskText() string {
	var b strings.Builder
	for i := range t.Asks {
		a := &t.Asks[i]
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s %s at=%d written=%d", a.Why, a.Server, a.AtUs, a.WrittenUs)
		if a.Reply != "" {
			fmt.Fprintf(&b, " after=%d %s %d", a.TookUs, a.Reply, a.Status)
		}
	}
	return b.String()
}

// Get finds the newest trace of a request that is still kept.
func (r *Traces) Get(id string) (*Trace, bool) {
	at := r.next.Load()
	for i := range uint64(tracesMost) {
		if t := r.ring[(at-i)%tracesMost].Load(); t != nil && t.ID == id {
			return t, true
		}
	}
	return nil, false
}

func (d *Desk) outcome(code string) { d.cfg.Counts.Add("forward_"+code, 1) }
