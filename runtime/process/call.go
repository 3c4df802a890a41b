package process

import (
	"context"
	"errors"
	"time"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// errStopping is returned for a call while the process is shutting down.
var errStopping = errors.New("process is stopping")

// Call sends a request to a plug-in and waits for its reply. It fails with the context's error when
// the context ends, even if the loop is blocked or its inbox is full. If the request was queued, the
// plug-in is then notified by a kernel.Canceled.
func (p *Process) Call(ctx context.Context, plugin string, request any) (any, error) {
	id := p.nextCall.Add(1)
	ch := make(chan any, 1)
	p.calls.Store(id, ch)
	defer p.calls.Delete(id)
	if err := p.postWithin(ctx, kernel.Call{Plugin: plugin, ID: id, Request: request}); err != nil {
		return nil, err
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		// Post in a goroutine, since the caller must not wait for space in a full inbox.
		go p.Post(kernel.Canceled{Plugin: plugin, ID: id})
		return nil, ctx.Err()
	case <-p.stopping:
		return nil, errStopping
	}
}

// reply passes a plug-in's reply to the caller, if the caller still waits for it.
func (p *Process) reply(r kernel.Reply) {
	ch, ok := p.calls.Load(r.ID)
	if !ok {
		return
	}
	select {
	case ch.(chan any) <- r.Value:
	default:
	}
}

// Post queues an input for the loop. It blocks while the inbox is full.
func (p *Process) Post(in kernel.Input) {
	select {
	case p.inbox <- in:
	case <-p.stopping:
	}
}

// postWithin queues an input as Post does, but fails when the context ends or the process stops.
func (p *Process) postWithin(ctx context.Context, in kernel.Input) error {
	select {
	case p.inbox <- in:
		// If the inbox has space, queue the input even if the context has ended.
		return nil
	default:
	}
	select {
	case p.inbox <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.stopping:
		return errStopping
	}
}

// AwaitThaw waits until the loop has detected a freeze and the plug-ins have handled it, but not longer
// than the timeout. It returns immediately if the process is not frozen.
func (p *Process) AwaitThaw(timeout time.Duration) {
	if !p.Frozen() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for p.Frozen() && ctx.Err() == nil {
		done := make(chan struct{})
		if p.postWithin(ctx, inLoop{run: func(clock.Micros) { close(done) }}) != nil {
			return
		}
		select {
		case <-done:
		case <-ctx.Done():
		case <-p.stopping:
			return
		}
	}
}

// Do runs a function in the loop, between two steps, and waits for it.
func (p *Process) Do(f func(now clock.Micros)) {
	done := make(chan struct{})
	p.Post(inLoop{run: func(now clock.Micros) { f(now); close(done) }})
	select {
	case <-done:
	case <-p.stopping:
	}
}

// inLoop is a function in the inbox that the loop calls itself instead of passing it to the kernel.
type inLoop struct{ run func(now clock.Micros) }
