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

// Node is the request path of one node. Its methods may be called by many goroutines.
type Node struct {
	process    *process.Process
	dispatcher *search.Dispatcher
	table      *snapshot.Table
	client     *backendClient
	authorizer *authorizer
	// platformTrace finds the trace of a request of the platform's clients.
	platformTrace atomic.Pointer[func(id string) (any, bool)]
}

// NewNode returns the request path of a running process.
func NewNode(p *process.Process) *Node {
	table := kernel.Find[*snapshot.Table](p.Kernel)
	n := &Node{process: p, table: table, client: newBackendClient()}
	n.dispatcher = search.NewDispatcher(search.Config{
		Snapshots: table, LoadReport: kernel.Find[*loadreport.Reporter](p.Kernel), Counts: p.Kernel.Counts,
		Name: p.Kernel.Boot.Settings.Name, Seed: p.Kernel.Boot.Seed, Now: p.Now(),
	})
	return n
}

// idempotencyPlugin names the plug-in that asks the owners of keys.
const idempotencyPlugin = "idempotency"

const (
	// thawTimeout bounds how long a request that is read right after a freeze waits for a fresh snapshot.
	thawTimeout = 500 * time.Millisecond
	// admitTimeout bounds the wait for the owners of a key. It is longer than the state machine's own, so that an
	// admission that comes too late for the request is still seen and can be released.
	admitTimeout = 2 * time.Second
	// eventBuffer is how many events of a request may wait for its loop.
	eventBuffer = 8
)

// Run takes one request through its state machine and returns the outcome. It does not end when the caller goes away: the outcome of
// a request that must not run twice is to become known.
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
	// finished is closed once the loop has returned; nothing reads events any more.
	finished chan struct{}
	// cancels ends the attempts, by their numbers.
	cancels map[int]context.CancelFunc
	// mu guards ended, which is set once events was drained for the last time.
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

// drainEvents takes the events that arrived after the state machine finished. The admission of a key among them must not
// be lost, since its owners wait for the outcome.
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

// recordLateAdmission tells the owners of a key that the request they admitted too late did not run.
func (r *run) recordLateAdmission(key string, admission search.Admission) {
	if resolved, admitted := search.LateAdmission(key, admission); admitted {
		r.recordOutcome(resolved)
	}
}

// recordOutcome tells the owners of a key what became of the request. Nobody waits for their reply.
func (r *run) recordOutcome(resolved search.ResolveKey) {
	outcome := idempotency.RecordOutcome{
		Key: resolved.Key, Code: string(resolved.Resolution), Token: resolved.Token, Attempted: resolved.Attempted, Outcome: resolved.Outcome,
	}
	r.node.process.Post(kernel.Call{Plugin: idempotencyPlugin, Request: outcome})
}

// loop carries out the state machine's actions and feeds it events until it finishes.
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

// admit asks the owners of the request's key. An admission that comes after the request has finished is resolved here.
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

// send sends an attempt in a goroutine of its own. A caller that goes away does not cancel it, so that the outcome of
// a request that must not run twice becomes known. Nothing is sent once the process was frozen: the attempt's
// time may be over.
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
