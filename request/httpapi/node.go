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
	dispatcher *search.Dispatcher
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
	f.dispatcher = search.NewDispatcher(search.Config{
		Snapshots: b, LoadReport: kernel.Find[*loadreport.Reporter](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Settings.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return f
}

// thawTimeout bounds how long an inquiry read right after a freeze waits for a fresh table.
const thawTimeout = 500 * time.Millisecond

// Run takes one inquiry through its chart.
func (f *Node) Run(ctx context.Context, in search.Request) search.Outcome {
	f.process.AwaitThaw(thawTimeout)
	m := search.NewStateMachine(f.dispatcher, in, f.process.Now())
	r := &run{node: f, ctx: ctx, machine: m, events: make(chan search.Event, 8), finished: make(chan struct{}), cancels: map[int]context.CancelFunc{}}
	defer r.drainEvents(in.Key)
	defer close(r.finished)
	return r.loop()
}

type run struct {
	node     *Node
	ctx      context.Context
	machine  *search.StateMachine
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
			if v, ok := ev.(search.KeyChecked); ok {
				r.recordLateAdmission(key, v.Admission)
			}
		default:
			return
		}
	}
}

func (r *run) recordLateAdmission(key string, v search.Admission) {
	if s, in := search.LateAdmission(key, v); in {
		r.recordOutcome(s)
	}
}

func (r *run) recordOutcome(v search.ResolveKey) {
	r.node.process.Post(kernel.Call{Plugin: "idempotency", Request: idempotency.RecordOutcome{Key: v.Key, Code: string(v.Resolution), Token: v.Token, Attempted: v.Attempted, Outcome: v.Outcome}})
}

func (r *run) loop() search.Outcome {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	acts := r.machine.Step(r.node.process.Now(), search.Start{})
	for {
		for _, a := range acts {
			switch v := a.(type) {
			case search.Send:
				r.send(v)
			case search.Cancel:
				if cancel := r.cancels[v.Attempt]; cancel != nil {
					cancel()
				}
			case search.SetTimer:
				wake.Reset(time.Duration(v.At-r.node.process.Now()) * time.Microsecond)
			case search.AdmitKey:
				go r.admit(v)
			case search.ResolveKey:
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
			acts = r.machine.Step(r.node.process.Now(), search.TimerFired{})
		}
	}
}

func (r *run) admit(c search.AdmitKey) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	v, err := r.node.process.Call(ctx, "idempotency", idempotency.Admit{Key: c.Key, Index: c.Index, Digest: c.Digest, FirstAttempt: c.FirstAttempt, Timeout: c.Timeout, Repeatable: c.OnlyDetectRepeat})
	verdict, ok := v.(search.Admission)
	if err != nil || !ok {
		verdict = search.Admission{Code: "short"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.events <- search.KeyChecked{Admission: verdict}
		return
	}
	r.recordLateAdmission(c.Key, verdict)
}

// send sends in a goroutine of its own; an inquiry that must not run twice is
// not cancelled by its caller going away, so that its outcome gets known.
func (r *run) send(a search.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.Timeout)*time.Microsecond)
	r.cancels[a.Attempt] = cancel
	thaws := r.node.process.Thaws()
	go func() {
		defer cancel()
		if r.node.process.Frozen() || r.node.process.Thaws() != thaws {
			r.post(search.ReplyReceived{Attempt: a.Attempt, Reply: search.Reply{Class: search.ReplyNotWritten, Reason: "the node was frozen before it wrote"}})
			return
		}
		r.post(search.ReplyReceived{Attempt: a.Attempt, Reply: r.node.client.send(ctx, &a)})
	}()
}
