// Package serve is a node's HTTP side: the caller and operator APIs, the
// condition and metrics pages, and the driver that carries inquiries' charts
// out over real HTTP.
package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wallport/cluster/loadreport"
	"wallport/idempotency"
	"wallport/inquiry"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
	"wallport/table"
)

// Front is the request path of one node.
type Front struct {
	p      *process.Process
	desk   *inquiry.Desk
	table  *table.Table
	asker  *asker
	scopes *scopes
	// platformTrace finds the trace of a request of the platform's clients.
	platformTrace atomic.Pointer[func(id string) (any, bool)]
}

// NewFront makes the request path over a running process.
func NewFront(p *process.Process) *Front {
	b := kernel.Find[*table.Table](p.Kernel)
	f := &Front{p: p, table: b, asker: newAsker()}
	f.desk = inquiry.NewDesk(inquiry.Config{
		Table: b, Usage: kernel.Find[*loadreport.Usage](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Env.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return f
}

// thawWait bounds how long an inquiry read right after a freeze waits for a fresh table.
const thawWait = 500 * time.Millisecond

// Run takes one inquiry through its chart.
func (f *Front) Run(ctx context.Context, in inquiry.Inquiry) inquiry.Outcome {
	f.p.AwaitThaw(thawWait)
	c := inquiry.NewChart(f.desk, in, f.p.Now())
	r := &run{f: f, ctx: ctx, chart: c, events: make(chan inquiry.Event, 8), over: make(chan struct{}), cancels: map[int]context.CancelFunc{}}
	defer r.end(in.Key)
	defer close(r.over)
	return r.loop()
}

type run struct {
	f       *Front
	ctx     context.Context
	chart   *inquiry.Chart
	events  chan inquiry.Event
	over    chan struct{}
	cancels map[int]context.CancelFunc
	mu      sync.Mutex
	ended   bool
}

func (r *run) post(ev inquiry.Event) {
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
			if v, ok := ev.(inquiry.Claimed); ok {
				r.late(key, v.Verdict)
			}
		default:
			return
		}
	}
}

func (r *run) late(key string, v inquiry.Verdict) {
	if s, in := inquiry.LateClaim(key, v); in {
		r.settle(s)
	}
}

func (r *run) settle(v inquiry.Settle) {
	r.f.p.Post(kernel.Call{Plugin: "idempotency", Ask: idempotency.Settle{Key: v.Key, Code: v.Code, Token: v.Token, Tried: v.Tried, Outcome: v.Outcome}})
}

func (r *run) loop() inquiry.Outcome {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	acts := r.chart.Step(r.f.p.Now(), inquiry.Begin{})
	for {
		for _, a := range acts {
			switch v := a.(type) {
			case inquiry.Ask:
				r.ask(v)
			case inquiry.Cancel:
				if cancel := r.cancels[v.N]; cancel != nil {
					cancel()
				}
			case inquiry.Wake:
				wake.Reset(time.Duration(v.At-r.f.p.Now()) * time.Microsecond)
			case inquiry.Claim:
				go r.claim(v)
			case inquiry.Settle:
				r.settle(v)
			case inquiry.Finish:
				return v.Outcome
			}
		}
		select {
		case ev := <-r.events:
			r.f.p.AwaitThaw(thawWait)
			acts = r.chart.Step(r.f.p.Now(), ev)
		case <-wake.C:
			r.f.p.AwaitThaw(thawWait)
			acts = r.chart.Step(r.f.p.Now(), inquiry.Due{})
		}
	}
}

func (r *run) claim(c inquiry.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	v, err := r.f.p.Call(ctx, "idempotency", idempotency.Admit{Key: c.Key, Index: c.Index, Sum: c.Sum, First: c.First, Within: c.Within, Again: c.Again})
	verdict, ok := v.(inquiry.Verdict)
	if err != nil || !ok {
		verdict = inquiry.Verdict{Code: "short"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.events <- inquiry.Claimed{Verdict: verdict}
		return
	}
	r.late(c.Key, verdict)
}

// ask sends in a goroutine of its own; an inquiry that must not run twice is
// not cancelled by its caller going away, so that its outcome gets known.
func (r *run) ask(a inquiry.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Within)*time.Microsecond)
	r.cancels[a.N] = cancel
	thaws := r.f.p.Thaws()
	go func() {
		defer cancel()
		if r.f.p.Frozen() || r.f.p.Thaws() != thaws {
			r.post(inquiry.Replied{N: a.N, Reply: inquiry.Reply{Class: inquiry.ReplyNotWritten, Why: "the node was frozen before it wrote"}})
			return
		}
		r.post(inquiry.Replied{N: a.N, Reply: r.f.asker.ask(ctx, &a)})
	}()
}
