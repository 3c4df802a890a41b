// Package httpapi is a node's HTTP side: the caller and operator APIs, the
// condition and metrics pages, and the driver that carries inquiries' charts
// out over real HTTP.
package httpapi

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wallport/cluster/loadreport"
	"wallport/request/idempotency"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

// Front is the request path of one node.
type Front struct {
	p      *process.Process
	desk   *search.Desk
	table  *snapshot.Table
	asker  *asker
	scopes *scopes
	// platformTrace finds the trace of a request of the platform's clients.
	platformTrace atomic.Pointer[func(id string) (any, bool)]
}

// NewFront makes the request path over a running process.
func NewFront(p *process.Process) *Front {
	b := kernel.Find[*snapshot.Table](p.Kernel)
	f := &Front{p: p, table: b, asker: newAsker()}
	f.desk = search.NewDesk(search.Config{
		Table: b, Usage: kernel.Find[*loadreport.Reporter](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Settings.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return f
}

// thawWait bounds how long an inquiry read right after a freeze waits for a fresh table.
const thawWait = 500 * time.Millisecond

// Run takes one inquiry through its chart.
func (f *Front) Run(ctx context.Context, in search.Inquiry) search.Outcome {
	f.p.AwaitThaw(thawWait)
	c := search.NewChart(f.desk, in, f.p.Now())
	r := &run{f: f, ctx: ctx, chart: c, events: make(chan search.Event, 8), over: make(chan struct{}), cancels: map[int]context.CancelFunc{}}
	defer r.end(in.Key)
	defer close(r.over)
	return r.loop()
}

type run struct {
	f       *Front
	ctx     context.Context
	chart   *search.Chart
	events  chan search.Event
	over    chan struct{}
	cancels map[int]context.CancelFunc
	mu      sync.Mutex
	ended   bool
}

func (r *run) post(ev search.Event) {
	select {
	case r.events <- ev:
	case <-r.over:
	}
}

// end lets no verdict on the key get lost between the chart's end and its driver's.
func (r *run) end(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for {
		select {
		case ev := <-r.events:
			if v, ok := ev.(search.Claimed); ok {
				r.late(key, v.Verdict)
			}
		default:
			return
		}
	}
}

func (r *run) late(key string, v search.Verdict) {
	if s, in := search.LateClaim(key, v); in {
		r.settle(s)
	}
}

func (r *run) settle(v search.Settle) {
	r.f.p.Post(kernel.Call{Plugin: "idempotency", Request: idempotency.RecordOutcome{Key: v.Key, Code: v.Code, Token: v.Token, Attempted: v.Tried, Outcome: v.Outcome}})
}

func (r *run) loop() search.Outcome {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	acts := r.chart.Step(r.f.p.Now(), search.Begin{})
	for {
		for _, a := range acts {
			switch v := a.(type) {
			case search.Ask:
				r.ask(v)
			case search.Cancel:
				if cancel := r.cancels[v.N]; cancel != nil {
					cancel()
				}
			case search.Wake:
				wake.Reset(time.Duration(v.At-r.f.p.Now()) * time.Microsecond)
			case search.Claim:
				go r.claim(v)
			case search.Settle:
				r.settle(v)
			case search.Finish:
				return v.Outcome
			}
		}
		select {
		case ev := <-r.events:
			r.f.p.AwaitThaw(thawWait)
			acts = r.chart.Step(r.f.p.Now(), ev)
		case <-wake.C:
			r.f.p.AwaitThaw(thawWait)
			acts = r.chart.Step(r.f.p.Now(), search.Due{})
		}
	}
}

func (r *run) claim(c search.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	v, err := r.f.p.Call(ctx, "idempotency", idempotency.Admit{Key: c.Key, Index: c.Index, Digest: c.Sum, FirstAttempt: c.First, Timeout: c.Within, Repeatable: c.Again})
	verdict, ok := v.(search.Verdict)
	if err != nil || !ok {
		verdict = search.Verdict{Code: "short"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.events <- search.Claimed{Verdict: verdict}
		return
	}
	r.late(c.Key, verdict)
}

// ask sends in a goroutine of its own; an inquiry that must not run twice is
// not cancelled by its caller going away, so that its outcome gets known.
func (r *run) ask(a search.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Within)*time.Microsecond)
	r.cancels[a.N] = cancel
	thaws := r.f.p.Thaws()
	go func() {
		defer cancel()
		if r.f.p.Frozen() || r.f.p.Thaws() != thaws {
			r.post(search.Replied{N: a.N, Reply: search.Reply{Class: search.ReplyNotWritten, Why: "the node was frozen before it wrote"}})
			return
		}
		r.post(search.Replied{N: a.N, Reply: r.f.asker.ask(ctx, &a)})
	}()
}
