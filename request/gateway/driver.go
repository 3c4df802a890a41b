// The driver of one request's chart. Whoever has an event for the chart steps
// it, under the request's lock: the client's own goroutine, which carries out
// an ask itself where only its reply can end the wait, workers that carry out the
// others, and the clock. The client's goroutine goes on once there is an
// outcome; asks that the chart leaves behind run out, and it hears of them.

package gateway

import (
	"context"
	"sync"
	"time"

	"wallport/request/backend"
	"wallport/request/dispatch"
)

type driver struct {
	server  *Server
	done    chan struct{}
	mu      sync.Mutex
	machine StateMachine
	timer   *time.Timer
	// wakeAt is when the chart wants to be woken, on the process's clock.
	wakeAt    int64
	exchanges []inFlight
	inline    [4]inFlight
	finished  bool
	outcome   dispatch.Outcome
}

// inFlight is an ask under way.
type inFlight struct {
	number   int
	exchange *backend.Exchange
	// replyOnly is that nothing else can come of it than its reply, or the end of its time.
	replyOnly bool
}

// drive takes a request through its chart.
func (s *Server) drive(ctx context.Context, req dispatch.Request) dispatch.Outcome {
	now := s.config.Now()
	r := &driver{server: s, done: make(chan struct{}), machine: s.config.NewStateMachine(req, now)}
	r.exchanges = r.inline[:0]
	r.mu.Lock()
	asks := r.execute(r.machine.Step(now, dispatch.Begin{}))
	r.mu.Unlock()
	gone := context.AfterFunc(ctx, func() { r.step(dispatch.ClientGone{}) })
	for len(asks) == 1 && asks[0].replyOnly {
		asks = r.replied(asks[0], asks[0].exchange.Run())
	}
	r.start(asks)
	<-r.done
	gone()
	if r.timer != nil {
		r.timer.Stop()
	}
	return r.outcome
}

// start has asks carried out by workers.
func (r *driver) start(asks []inFlight) {
	for _, u := range asks {
		r.server.workers.submit(task{r, u})
	}
}

func (r *driver) replied(u inFlight, rep dispatch.Result) []inFlight {
	asks := r.advance(dispatch.AttemptDone{N: u.number, Result: rep})
	r.server.exchanges.Add(-1)
	return asks
}

func (r *driver) step(ev dispatch.Event) { r.start(r.advance(ev)) }

// advance gives the chart an event, carries out what it asks for and returns the asks to be begun.
func (r *driver) advance(ev dispatch.Event) []inFlight {
	r.server.config.AwaitThaw()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.execute(r.machine.Step(r.server.config.Now(), ev))
}

// execute carries out what the chart asks for, and returns the asks that are to be begun.
func (r *driver) execute(acts []dispatch.Action) []inFlight {
	started := len(r.exchanges)
	for _, a := range acts {
		switch v := a.(type) {
		case dispatch.Send:
			r.server.exchanges.Add(1)
			r.exchanges = append(r.exchanges, inFlight{v.N, r.server.config.Backends.Start(v), v.AtMostOnce})
		case dispatch.Cancel:
			for _, u := range r.exchanges {
				if u.number == v.N {
					u.exchange.Cancel()
				}
			}
		case dispatch.Abandon:
			for _, u := range r.exchanges {
				if u.number == v.N {
					u.exchange.Abandon()
				}
			}
		case dispatch.SetTimer:
			r.wake(v.At)
		case dispatch.Finish:
			r.finish(v.Outcome)
		}
	}
	return r.exchanges[started:]
}

func (r *driver) finish(o dispatch.Outcome) {
	if r.finished {
		return
	}
	r.finished, r.outcome = true, o
	close(r.done)
}

func (r *driver) wake(at int64) {
	r.wakeAt = at
	in := time.Duration(at-r.server.config.Now()) * time.Microsecond
	if r.timer == nil {
		r.timer = time.AfterFunc(in, r.timerFired)
		return
	}
	r.timer.Reset(in)
}

// timerFired is the clock's: it wakes the chart.
func (r *driver) timerFired() {
	r.mu.Lock()
	if r.finished || r.wakeAt == 0 {
		r.mu.Unlock()
		return
	}
	if now := r.server.config.Now(); now < r.wakeAt {
		// The chart has put it off meanwhile.
		r.wake(r.wakeAt)
		r.mu.Unlock()
		return
	}
	r.wakeAt = 0
	r.mu.Unlock()
	r.step(dispatch.TimerFired{})
}

// task is an ask that a worker carries out.
type task struct {
	driver   *driver
	exchange inFlight
}

// workers are goroutines that carry out asks; those that have nothing to do wait, with their stacks grown.
type workers struct {
	tasks chan task
	mu    sync.Mutex
	idle  int
}

// idleWorkers bounds those that wait.
const idleWorkers = 128

func (w *workers) submit(t task) {
	select {
	case w.tasks <- t:
	default:
		go w.loop(t)
	}
}

func (w *workers) loop(t task) {
	for {
		t.driver.start(t.driver.replied(t.exchange, t.exchange.exchange.Run()))
		t = task{}
		w.mu.Lock()
		if w.idle >= idleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle++
		w.mu.Unlock()
		t = <-w.tasks
		w.mu.Lock()
		w.idle--
		w.mu.Unlock()
	}
}
