// Simulated backends with slots, a queue, pauses and faults.

package dispatch

import (
	"encoding/binary"
	"fmt"

	"wallport/runtime/clock"
)

type simBackend struct {
	simulation        *simulation
	id, pool          string
	zone              string
	slots, queueLimit int
	running           int
	queued            []*exchange
	paused            bool
	deferred          []func()
	// workFactor multiplies the time that a request takes. Each rate is the share of requests that fail in the way that
	// its name says.
	workFactor                       float64
	errorRate, invalidRate, lossRate float64
	unresponsive, down               bool
	draining, departed               bool
	warmUntil                        clock.Micros
}

// exchange is an attempt on the side of the backend.
type exchange struct {
	backend  *simBackend
	node     *simNode
	id       string
	route    string
	work     clock.Micros
	sentAt   clock.Micros
	deadline clock.Micros
	canceled bool
	respond  func(Result)
}

// schedulePauses pauses the backend now and every 4 s from now on.
func (b *simBackend) schedulePauses() {
	b.paused = true
	b.simulation.after(b.simulation.pauseLength, func() {
		b.paused = false
		q := b.deferred
		b.deferred = nil
		for _, do := range q {
			do()
		}
	})
	b.simulation.after(4_000_000, b.schedulePauses)
}

// load returns the backend's load report.
func (b *simBackend) load() LoadReport {
	return LoadReport{Running: b.running, Queued: len(b.queued), Slots: b.slots, Known: true}
}

// arrive queues a request, or rejects or fails it.
func (b *simBackend) arrive(x *exchange) {
	if b.paused {
		b.deferred = append(b.deferred, func() { b.arrive(x) })
		return
	}
	w := b.simulation
	a := w.journal.recordArrival(w.now, x)
	switch {
	case b.unresponsive:
		a.ran = true // the node must assume that the request has run
		return
	case b.running >= b.slots && len(b.queued) >= b.queueLimit:
		x.respond(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "full"})
		return
	case w.rnd.Float64() < b.errorRate:
		a.ran = true
		// The backend itself fails: the request ran, even if a status such as 503 suggests that it did not.
		status := []int{500, 500, 503, 429, 504}[w.rnd.IntN(5)]
		x.respond(Result{Class: ClassResponse, Status: status, Seal: w.journal.newSeal(x, false), Load: b.load()})
		return
	case w.rnd.Float64() < b.lossRate:
		a.ran = true
		x.respond(Result{Class: ClassFailed, Reason: "reset"})
		return
	}
	b.queued = append(b.queued, x)
	b.startQueued()
}

// startQueued runs queued requests in free slots.
func (b *simBackend) startQueued() {
	for b.running < b.slots && len(b.queued) > 0 {
		x := b.queued[0]
		b.queued = b.queued[1:]
		if x.canceled {
			continue
		}
		if b.simulation.now >= x.deadline {
			x.respond(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "too late"})
			continue
		}
		b.running++
		b.simulation.journal.recordRun(x)
		work := float64(x.work) * b.workFactor
		if b.simulation.now < b.warmUntil {
			work *= 1.6
		}
		b.simulation.after(int64(work), func() { b.finishWork(x) })
	}
}

// finishWork finishes a request and responds.
func (b *simBackend) finishWork(x *exchange) {
	if b.paused || b.unresponsive {
		if b.paused {
			b.deferred = append(b.deferred, func() { b.finishWork(x) })
		} else {
			b.running--
		}
		return
	}
	b.running--
	defer b.startQueued()
	w := b.simulation
	if w.rnd.Float64() < b.invalidRate {
		x.respond(Result{Class: ClassInvalid, Reason: "not an answer"})
		return
	}
	body := make([]byte, 0, 640)
	for range 12 {
		// Use few distinct values, so that shards return equal records, and append a remainder shorter than a record.
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(400)))
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(2)))
	}
	body = append(body, make([]byte, w.rnd.IntN(16))...)
	seal := w.journal.newSeal(x, true)
	w.journal.bodies[seal] = body
	x.respond(Result{Class: ClassResponse, Status: 200, Seal: seal, Body: body, Load: b.load()})
}

// send delivers an attempt to its backend and calls replied with the result. It returns a function that cancels the
// attempt.
func (n *simNode) send(a Send, replied func(Result)) (cancel func()) {
	w := n.simulation
	b := w.byID[a.Backend.ID]
	link := clock.Micros(100)
	if b.zone != n.zone {
		link = 500
	}
	over := false
	x := &exchange{backend: b, node: n, id: a.Request.ID, route: a.Request.Method, work: w.work[a.Request.ID], sentAt: w.now, deadline: w.now + a.Timeout}
	answer := func(r Result) {
		w.after(link, func() {
			if !over {
				over = true
				replied(r)
			}
		})
	}
	x.respond = answer
	if b.down || b.departed {
		answer(Result{Class: ClassNotSent, Reason: "refused"})
		return func() { over = true }
	}
	w.after(link, func() {
		if b.down || b.departed {
			answer(Result{Class: ClassFailed, Reason: "reset"})
			return
		}
		b.arrive(x)
	})
	// Report the timeout slightly late, since a driver may report it only after the state machine's own timer has fired.
	w.after(a.Timeout+int64(w.rnd.IntN(4_000)), func() {
		if !over {
			over, x.canceled = true, true
			replied(Result{Class: ClassFailed, TimedOut: true, Reason: "silence"})
		}
	})
	return func() { over, x.canceled = true, true }
}

func sealOf(n int, x *exchange) string { return fmt.Sprintf("%s.%s.%d", x.id, x.backend.pool, n) }
