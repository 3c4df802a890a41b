package gateway

import (
	"context"
	"sync"
	"time"

	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// driver drives the state machine of one request. Whoever has an event steps the machine under the
// lock: the client's own goroutine, workers that run exchanges, and the timer. The client's goroutine
// runs an attempt itself where only its result can end the wait, and returns once there is an outcome.
// Attempts that the machine abandoned run out in the workers, and it is told their results.
type driver struct {
	server *Server
	// done is closed once there is an outcome.
	done    chan struct{}
	mu      sync.Mutex
	machine StateMachine
	timer   *time.Timer
	// timerAt is the moment that the machine set its timer to; 0 is none.
	timerAt  clock.Micros
	attempts []attempt
	// inline is the first storage of attempts, so that most requests allocate no other.
	inline   [4]attempt
	finished bool
	outcome  dispatch.Outcome
}

// attempt is one attempt that was started.
type attempt struct {
	number   int
	exchange *backend.Exchange
	// replyOnly is set where nothing but its result, or its timeout, can advance the request: it is sent at most
	// once, so that no hedged request follows.
	replyOnly bool
}

// drive takes a request through its state machine and returns the outcome.
func (s *Server) drive(ctx context.Context, req dispatch.Request) dispatch.Outcome {
	now := s.config.Now()
	d := &driver{server: s, done: make(chan struct{}), machine: s.config.NewStateMachine(req, now)}
	d.attempts = d.inline[:0]
	d.mu.Lock()
	started := d.execute(d.machine.Step(now, dispatch.Begin{}))
	d.mu.Unlock()
	stopWatching := context.AfterFunc(ctx, func() { d.step(dispatch.ClientGone{}) })
	for len(started) == 1 && started[0].replyOnly {
		started = d.attemptDone(started[0], started[0].exchange.Run())
	}
	d.start(started)
	<-d.done
	stopWatching()
	if d.timer != nil {
		d.timer.Stop()
	}
	return d.outcome
}

// start runs attempts in workers.
func (d *driver) start(attempts []attempt) {
	for _, a := range attempts {
		d.server.workers.submit(task{d, a})
	}
}

// attemptDone steps the machine with the result of an attempt and returns the attempts to start.
func (d *driver) attemptDone(a attempt, result dispatch.Result) []attempt {
	next := d.advance(dispatch.AttemptDone{N: a.number, Result: result})
	d.server.exchanges.Add(-1)
	return next
}

// step steps the machine and starts the attempts that it sends.
func (d *driver) step(ev dispatch.Event) { d.start(d.advance(ev)) }

// advance steps the machine and returns the attempts to start. Where the process has just been frozen it first waits
// for a fresh snapshot, so that nothing is decided by what was true before the freeze.
func (d *driver) advance(ev dispatch.Event) []attempt {
	d.server.config.AwaitThaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.execute(d.machine.Step(d.server.config.Now(), ev))
}

// execute carries out the machine's actions and returns the attempts to start. The lock is held.
func (d *driver) execute(actions []dispatch.Action) []attempt {
	firstNew := len(d.attempts)
	for _, action := range actions {
		switch v := action.(type) {
		case dispatch.Send:
			d.server.exchanges.Add(1)
			d.attempts = append(d.attempts, attempt{v.N, d.server.config.Backends.Start(v), v.AtMostOnce})
		case dispatch.Cancel:
			for _, a := range d.attempts {
				if a.number == v.N {
					a.exchange.Cancel()
				}
			}
		case dispatch.Abandon:
			for _, a := range d.attempts {
				if a.number == v.N {
					a.exchange.Abandon()
				}
			}
		case dispatch.SetTimer:
			d.setTimer(v.At)
		case dispatch.Finish:
			d.finish(v.Outcome)
		}
	}
	return d.attempts[firstNew:]
}

// finish records the first outcome. The lock is held.
func (d *driver) finish(o dispatch.Outcome) {
	if d.finished {
		return
	}
	d.finished, d.outcome = true, o
	close(d.done)
}

// setTimer sets the timer of the machine. The lock is held.
func (d *driver) setTimer(at clock.Micros) {
	d.timerAt = at
	delay := clock.Duration(at - d.server.config.Now())
	if d.timer == nil {
		d.timer = time.AfterFunc(delay, d.timerFired)
		return
	}
	d.timer.Reset(delay)
}

// timerFired steps the machine when its timer is due.
func (d *driver) timerFired() {
	d.mu.Lock()
	if d.finished || d.timerAt == 0 {
		d.mu.Unlock()
		return
	}
	if now := d.server.config.Now(); now < d.timerAt {
		// The machine has set a later moment meanwhile.
		d.setTimer(d.timerAt)
		d.mu.Unlock()
		return
	}
	d.timerAt = 0
	d.mu.Unlock()
	d.step(dispatch.TimerFired{})
}

// task is an attempt for a worker to run.
type task struct {
	driver  *driver
	attempt attempt
}

// maxIdleWorkers bounds the workers that wait for a task.
const maxIdleWorkers = 128

// workers are goroutines that run attempts. Idle ones are kept, since their stacks have grown already.
type workers struct {
	tasks chan task
	mu    sync.Mutex
	idle  int
}

// submit passes a task to an idle worker or starts one.
func (w *workers) submit(t task) {
	select {
	case w.tasks <- t:
	default:
		go w.loop(t)
	}
}

func (w *workers) loop(t task) {
	for {
		t.driver.start(t.driver.attemptDone(t.attempt, t.attempt.exchange.Run()))
		t = task{}
		w.mu.Lock()
		if w.idle >= maxIdleWorkers {
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
