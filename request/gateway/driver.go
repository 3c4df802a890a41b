package gateway

import (
	"context"
	"sync"
	"time"

	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/runtime/clock"
)

// driver drives the state machine of one request. The goroutine of the client's connection, the workers
// that run exchanges, and the timer step the machine with their events under the lock. The connection's
// goroutine runs an attempt itself if only the attempt's result can advance the request, and returns once
// there is an outcome. Workers finish the attempts that the machine has abandoned and deliver their results
// to it.
type driver struct {
	server *Server
	// done is closed once there is an outcome.
	done    chan struct{}
	mu      sync.Mutex
	machine StateMachine
	timer   *time.Timer
	// timerAt is the time to which the machine set its timer; 0 means that no timer is set.
	timerAt  clock.Micros
	attempts []attempt
	// inline is the initial storage of attempts, which saves most requests an allocation.
	inline   [4]attempt
	finished bool
	outcome  dispatch.Outcome
}

// attempt is an attempt that was started.
type attempt struct {
	number   int
	exchange *backend.Exchange
	// replyOnly is set if only the attempt's result or its time-out can advance the request. This is so for a
	// request that must be sent at most once, since it is never hedged.
	replyOnly bool
}

// drive runs the state machine of a request and returns the outcome.
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

// attemptDone steps the machine with the result of an attempt and returns the attempts to start next.
func (d *driver) attemptDone(a attempt, result dispatch.Result) []attempt {
	next := d.advance(dispatch.AttemptDone{N: a.number, Result: result})
	d.server.exchanges.Add(-1)
	return next
}

// step steps the machine and starts the attempts that it requests.
func (d *driver) step(ev dispatch.Event) { d.start(d.advance(ev)) }

// advance steps the machine and returns the attempts to start. After a freeze of the process it first waits for a
// fresh snapshot, so that the machine does not decide on stale state.
func (d *driver) advance(ev dispatch.Event) []attempt {
	d.server.config.AwaitThaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.execute(d.machine.Step(d.server.config.Now(), ev))
}

// execute executes the machine's actions and returns the attempts to start. The caller holds the lock.
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

// finish records the outcome. Only the first call has an effect. The caller holds the lock.
func (d *driver) finish(o dispatch.Outcome) {
	if d.finished {
		return
	}
	d.finished, d.outcome = true, o
	close(d.done)
}

// setTimer sets the timer of the machine. The caller holds the lock.
func (d *driver) setTimer(at clock.Micros) {
	d.timerAt = at
	delay := clock.Duration(at - d.server.config.Now())
	if d.timer == nil {
		d.timer = time.AfterFunc(delay, d.timerFired)
		return
	}
	d.timer.Reset(delay)
}

// timerFired steps the machine if its timer is due.
func (d *driver) timerFired() {
	d.mu.Lock()
	if d.finished || d.timerAt == 0 {
		d.mu.Unlock()
		return
	}
	if now := d.server.config.Now(); now < d.timerAt {
		// The machine has set its timer to a later time since this timer was started.
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

// maxIdleWorkers bounds the number of workers that wait for a task.
const maxIdleWorkers = 128

// workers is a pool of goroutines that run attempts. Idle goroutines are reused because their stacks have
// already grown.
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
