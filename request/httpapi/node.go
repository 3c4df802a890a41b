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
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

// Node is the request path of one node. It is safe for concurrent use.
type Node struct {
	process    *process.Process
	dispatcher *search.Dispatcher
	builder    *snapshot.Builder
	client     *backendClient
	authorizer *authorizer
	// platformTrace finds the trace of a request from a platform's client by the request's id.
	platformTrace atomic.Pointer[func(id string) (any, bool)]
}

// NewNode returns the request path of a running process.
func NewNode(p *process.Process) *Node {
	builder := kernel.Find[*snapshot.Builder](p.Kernel)
	n := &Node{process: p, builder: builder, client: newBackendClient()}
	n.dispatcher = search.NewDispatcher(search.Config{
		Snapshots: builder, LoadReport: kernel.Find[*loadreport.Reporter](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Settings.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return n
}

// idempotencyPlugin is the name of the plug-in that asks the owners of keys.
const idempotencyPlugin = "idempotency"

const (
	// thawTimeout bounds how long a request waits for a fresh snapshot after a freeze.
	thawTimeout = 500 * time.Millisecond
	// admitTimeout bounds the wait for the owners of a key. It is longer than the state machine's own time-out, so that
	// an admission that arrives too late for the request is still received and can be released.
	admitTimeout = 2 * time.Second
	// eventBuffer is the number of events of a request that can be queued for its loop.
	eventBuffer = 8
)

// Run runs the state machine of a request and returns the outcome. It continues if the caller disconnects, so that the
// outcome of a request that must not run twice becomes known.
func (n *Node) Run(request search.Request) search.Outcome {
	n.process.AwaitThaw(thawTimeout)
	r := &run{
		node: n, machine: search.NewStateMachine(n.dispatcher, request, n.process.Now()),
		events: make(chan search.Event, eventBuffer), finished: make(chan struct{}), cancels: map[int]context.CancelFunc{},
	}
	defer r.drainEvents(request.Key)
	defer close(r.finished)
	return r.loop()
}

// run drives the state machine of one request.
type run struct {
	node    *Node
	machine *search.StateMachine
	events  chan search.Event
	// finished is closed once the loop has returned and no longer reads events.
	finished chan struct{}
	// cancels holds the functions that cancel the attempts, by attempt number.
	cancels map[int]context.CancelFunc
	// mu guards ended, which is set when events is drained for the last time.
	mu    sync.Mutex
	ended bool
}

// post delivers an event, unless the request has finished.
func (r *run) post(event search.Event) {
	select {
	case r.events <- event:
	case <-r.finished:
	}
}

// drainEvents processes the events that arrived after the state machine finished. An admission of the key must not be
// dropped; otherwise the owners of the key would keep it in progress.
func (r *run) drainEvents(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for {
		select {
		case event := <-r.events:
			if checked, ok := event.(search.KeyChecked); ok {
				r.recordLateAdmission(key, checked.Admission)
			}
		default:
			return
		}
	}
}

// recordLateAdmission releases the key if it was admitted too late, since the request did not run.
func (r *run) recordLateAdmission(key string, admission search.Admission) {
	if resolved, admitted := search.LateAdmission(key, admission); admitted {
		r.recordOutcome(resolved)
	}
}

// recordOutcome records the outcome of the request at the owners of its key, without waiting for a reply.
func (r *run) recordOutcome(resolved search.ResolveKey) {
	outcome := idempotency.RecordOutcome{
		Key: resolved.Key, Code: string(resolved.Resolution), Token: resolved.Token, Attempted: resolved.Attempted, Outcome: resolved.Outcome,
	}
	r.node.process.Post(kernel.Call{Plugin: idempotencyPlugin, Request: outcome})
}

// loop executes the state machine's actions and passes it events until it finishes, and returns the outcome.
func (r *run) loop() search.Outcome {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	actions := r.machine.Step(r.node.process.Now(), search.Begin{})
	for {
		for _, action := range actions {
			switch v := action.(type) {
			case search.Send:
				r.send(v)
			case search.Cancel:
				if cancel := r.cancels[v.Attempt]; cancel != nil {
					cancel()
				}
			case search.SetTimer:
				timer.Reset(clock.Duration(v.At - r.node.process.Now()))
			case search.AdmitKey:
				go r.admit(v)
			case search.ResolveKey:
				r.recordOutcome(v)
			case search.Finish:
				return v.Outcome
			}
		}
		select {
		case event := <-r.events:
			r.node.process.AwaitThaw(thawTimeout)
			actions = r.machine.Step(r.node.process.Now(), event)
		case <-timer.C:
			r.node.process.AwaitThaw(thawTimeout)
			actions = r.machine.Step(r.node.process.Now(), search.TimerFired{})
		}
	}
}

// admit asks the owners of the request's key to admit it and posts the result. If the request has already finished, an
// admitted key is released.
func (r *run) admit(request search.AdmitKey) {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	reply, err := r.node.process.Call(ctx, idempotencyPlugin, idempotency.Admit{
		Key: request.Key, Index: request.Index, Digest: request.Digest,
		FirstAttempt: request.FirstAttempt, Timeout: request.Timeout, Repeatable: request.OnlyDetectRepeat,
	})
	admission, ok := reply.(search.Admission)
	if err != nil || !ok {
		admission = search.Admission{Code: search.AdmissionNoQuorum}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.events <- search.KeyChecked{Admission: admission}
		return
	}
	r.recordLateAdmission(request.Key, admission)
}

// send sends an attempt in a separate goroutine. It is not canceled if the caller disconnects, so that the outcome of a
// request that must not run twice becomes known. After a freeze of the process the attempt is not sent, since its
// time-out may have passed.
func (r *run) send(attempt search.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(attempt.Timeout))
	r.cancels[attempt.Attempt] = cancel
	thaws := r.node.process.Thaws()
	go func() {
		defer cancel()
		if r.node.process.Frozen() || r.node.process.Thaws() != thaws {
			reply := search.Result{Class: search.ClassNotSent, Reason: "the node was frozen before it wrote"}
			r.post(search.AttemptDone{Attempt: attempt.Attempt, Result: reply})
			return
		}
		r.post(search.AttemptDone{Attempt: attempt.Attempt, Result: r.node.client.send(ctx, &attempt)})
	}()
}
