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

// Node is the request path of one node.
type Node struct {
	process    *process.Process
	dispatcher *search.Desk
	table      *snapshot.Table
	client     *backendClient
	authorizer *authorizer
	// platformTrace finds the trace of a request of the platform's clients.
	platformTrace atomic.Pointer[func(id string) (any, bool)]
}

// NewNode makes the request path over a running process.
func NewNode(p *process.Process) *Node {
	b := kernel.Find[*snapshot.Table](p.Kernel)
	f := &Node{process: p, table: b, client: newBackendClient()}
	f.dispatcher = search.NewDesk(search.Config{
		Table: b, Usage: kernel.Find[*loadreport.Reporter](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Settings.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return f
}

// thawTimeout bounds how long an inquiry read right after a freeze waits for a fresh table.
const thawTimeout = 500 * time.Millisecond

// Run takes one inquiry through its chart.
func (f *Node) Run(ctx context.Context, in search.Inquiry) search.Outcome {
	f.process.AwaitThaw(thawTimeout)
	c := search.NewChart(f.dispatcher, in, f.process.Now())
	r := &run{node: f, ctx: ctx, machine: c, events: make(chan search.Event, 8), finished: make(chan struct{}), cancels: map[int]context.CancelFunc{}}
	defer r.drainEvents(in.Key)
	defer close(r.finished)
	return r.loop()
}

type run struct {
	node     *Node
	ctx      context.Context
	machine  *search.Chart
	events   chan search.Event
	finished chan struct{}
	cancels  map[int]context.CancelFunc
	mu       sync.Mutex
	ended    bool
}

func (r *run) post(ev search.Event) {
	select {
	case r.events <- ev:
	case <-r.finished:
	}
}

// drainEvents lets no verdict on the key get lost between the chart's end and its driver's.
func (r *run) drainEvents(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for {
		select {
		case ev := <-r.events:
			if v, ok := ev.(search.Claimed); ok {
				r.recordLateAdmission(key, v.Verdict)
			}
		default:
			return
		}
	}
}

func (r *run) recordLateAdmission(key string, v search.Verdict) {
	if s, in := search.LateClaim(key, v); in {
		r.recordOutcome(s)
	}
}

func (r *run) recordOutcome(v search.Settle) {
	r.node.process.Post(kernel.Call{Plugin: "idempotency", Request: idempotency.RecordOutcome{Key: v.Key, Code: v.Code, Token: v.Token, Attempted: v.Tried, Outcome: v.Outcome}})
}

func (r *run) loop() search.Outcome {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	acts := r.machine.Step(r.node.process.Now(), search.Begin{})
	for {
		for _, a := range acts {
			switch v := a.(type) {
			case search.Ask:
				r.send(v)
			case search.Cancel:
				if cancel := r.cancels[v.N]; cancel != nil {
					cancel()
				}
			case search.Wake:
				wake.Reset(time.Duration(v.At-r.node.process.Now()) * time.Microsecond)
			case search.Claim:
				go r.admit(v)
			case search.Settle:
				r.recordOutcome(v)
			case search.Finish:
				return v.Outcome
			}
		}
		select {
		case ev := <-r.events:
			r.node.process.AwaitThaw(thawTimeout)
			acts = r.machine.Step(r.node.process.Now(), ev)
		case <-wake.C:
			r.node.process.AwaitThaw(thawTimeout)
			acts = r.machine.Step(r.node.process.Now(), search.Due{})
		}
	}
}

func (r *run) admit(c search.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	v, err := r.node.process.Call(ctx, "idempotency", idempotency.Admit{Key: c.Key, Index: c.Index, Digest: c.Sum, FirstAttempt: c.First, Timeout: c.Within, Repeatable: c.Again})
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
	r.recordLateAdmission(c.Key, verdict)
}

// send sends in a goroutine of its own; an inquiry that must not run twice is
// not cancelled by its caller going away, so that its outcome gets known.
func (r *run) send(a search.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Within)*time.Microsecond)
	r.cancels[a.N] = cancel
	thaws := r.node.process.Thaws()
	go func() {
		defer cancel()
		if r.node.process.Frozen() || r.node.process.Thaws() != thaws {
			r.post(search.Replied{N: a.N, Reply: search.Reply{Class: search.ReplyNotWritten, Why: "the node was frozen before it wrote"}})
			return
		}
		r.post(search.Replied{N: a.N, Reply: r.node.client.send(ctx, &a)})
	}()
}
