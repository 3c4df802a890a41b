// Calls into the loop from other threads: each ends with its caller's time, also
// where the loop is held up or its inbox is full.

package process

import (
	"context"
	"errors"
	"time"

	"wallport/runtime/kernel"
)

// Call asks a plug-in and waits for its answer. The plug-in is told when nobody waits any more.
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
		// Not here: whoever called does not wait for room in the inbox.
		go p.Post(kernel.Canceled{Plugin: plugin, ID: id})
		return nil, ctx.Err()
	case <-p.stopping:
		return nil, errStopping
	}
}

// errStopping is that the process is about to end.
var errStopping = errors.New("process is stopping")

// postWithin feeds an input, unless there is no room for it until the context ends.
func (p *Process) postWithin(ctx context.Context, in kernel.Input) error {
	select {
	case p.inbox <- in:
		// Where there is room it is fed, whatever the context says.
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

// AwaitThaw waits, after a freeze, until the loop has noticed it and judged anew, or until a time is
// over: what waits here must be answered, also where the loop is held up.
func (p *Process) AwaitThaw(timeout time.Duration) {
	if !p.Frozen() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for p.Frozen() && ctx.Err() == nil {
		done := make(chan struct{})
		if p.postWithin(ctx, inLoop{run: func(int64) { close(done) }}) != nil {
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

// Do runs a function inside the loop, between two steps, and waits for it.
func (p *Process) Do(f func(now int64)) {
	done := make(chan struct{})
	p.Post(inLoop{run: func(now int64) { f(now); close(done) }})
	select {
	case <-done:
	case <-p.stopping:
	}
}

type inLoop struct{ run func(now int64) }
