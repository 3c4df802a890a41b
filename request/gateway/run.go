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

type run struct {
	s     *Server
	over  chan struct{}
	mu    sync.Mutex
	chart Chart
	timer *time.Timer
	// woke is when the chart wants to be woken, on the process's clock.
	woke     int64
	open     []under
	few      [4]under
	finished bool
	out      dispatch.Outcome
}

// under is an ask under way.
type under struct {
	n int
	x *backend.Exchange
	// once is that nothing else can come of it than its reply, or the end of its time.
	once bool
}

// run takes a request through its chart.
func (s *Server) run(ctx context.Context, req dispatch.Request) dispatch.Outcome {
	now := s.c.Now()
	r := &run{s: s, over: make(chan struct{}), chart: s.c.Chart(req, now)}
	r.open = r.few[:0]
	r.mu.Lock()
	asks := r.carry(r.chart.Step(now, dispatch.Begin{}))
	r.mu.Unlock()
	gone := context.AfterFunc(ctx, func() { r.step(dispatch.ClientGone{}) })
	for len(asks) == 1 && asks[0].once {
		asks = r.replied(asks[0], asks[0].x.Run())
	}
	r.begin(asks)
	<-r.over
	gone()
	if r.timer != nil {
		r.timer.Stop()
	}
	return r.out
}

// begin has asks carried out by workers.
func (r *run) begin(asks []under) {
	for _, u := range asks {
		r.s.workers.do(task{r, u})
	}
}

func (r *run) replied(u under, rep dispatch.Result) []under {
	asks := r.advance(dispatch.AttemptDone{N: u.n, Result: rep})
	r.s.asks.Add(-1)
	return asks
}

func (r *run) step(ev dispatch.Event) { r.begin(r.advance(ev)) }

// advance gives the chart an event, carries out what it asks for and returns the asks to be begun.
func (r *run) advance(ev dispatch.Event) []under {
	r.s.c.Refresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carry(r.chart.Step(r.s.c.Now(), ev))
}

// carry carries out what the chart asks for, and returns the asks that are to be begun.
func (r *run) carry(acts []dispatch.Action) []under {
	first := len(r.open)
	for _, a := range acts {
		switch v := a.(type) {
		case dispatch.Send:
			r.s.asks.Add(1)
			r.open = append(r.open, under{v.N, r.s.c.Backends.Start(v), v.AtMostOnce})
		case dispatch.Cancel:
			for _, u := range r.open {
				if u.n == v.N {
					u.x.Cancel()
				}
			}
		case dispatch.Abandon:
			for _, u := range r.open {
				if u.n == v.N {
					u.x.Leave()
				}
			}
		case dispatch.SetTimer:
			r.wake(v.At)
		case dispatch.Finish:
			r.finish(v.Outcome)
		}
	}
	return r.open[first:]
}

func (r *run) finish(o dispatch.Outcome) {
	if r.finished {
		return
	}
	r.finished, r.out = true, o
	close(r.over)
}

func (r *run) wake(at int64) {
	r.woke = at
	in := time.Duration(at-r.s.c.Now()) * time.Microsecond
	if r.timer == nil {
		r.timer = time.AfterFunc(in, r.due)
		return
	}
	r.timer.Reset(in)
}

// due is the clock's: it wakes the chart.
func (r *run) due() {
	r.mu.Lock()
	if r.finished || r.woke == 0 {
		r.mu.Unlock()
		return
	}
	if now := r.s.c.Now(); now < r.woke {
		// The chart has put it off meanwhile.
		r.wake(r.woke)
		r.mu.Unlock()
		return
	}
	r.woke = 0
	r.mu.Unlock()
	r.step(dispatch.TimerFired{})
}

// task is an ask that a worker carries out.
type task struct {
	r *run
	u under
}

// workers are goroutines that carry out asks; those that have nothing to do wait, with their stacks grown.
type workers struct {
	wait chan task
	mu   sync.Mutex
	idle int
}

// idleWorkers bounds those that wait.
const idleWorkers = 128

func (w *workers) do(t task) {
	select {
	case w.wait <- t:
	default:
		go w.work(t)
	}
}

func (w *workers) work(t task) {
	for {
		t.r.begin(t.r.replied(t.u, t.u.x.Run()))
		t = task{}
		w.mu.Lock()
		if w.idle >= idleWorkers {
			w.mu.Unlock()
			return
		}
		w.idle++
		w.mu.Unlock()
		t = <-w.wait
		w.mu.Lock()
		w.idle--
		w.mu.Unlock()
	}
}
