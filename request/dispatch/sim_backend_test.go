// Backends of the world: slots and a queue, pauses, and troubles.

package dispatch

import (
	"encoding/binary"
	"fmt"
)

type simBackend struct {
	world             *world
	id, pool          string
	zone              string
	slots, queueLimit int
	running           int
	queued            []*exchange
	paused            bool
	deferred          []func()
	// workFactor multiplies the work; grey, garble and lost are shares of asks that fail so.
	workFactor                      float64
	errorRate, garbleRate, lossRate float64
	unresponsive, down              bool
	draining, departed              bool
	warmUntil                       int64
}

// exchange is an ask at a backend.
type exchange struct {
	backend  *simBackend
	node     *simNode
	id       string
	route    string
	work     int64
	sentAt   int64
	deadline int64
	canceled bool
	respond  func(Result)
}

func (b *simBackend) schedulePauses() {
	b.paused = true
	b.world.after(b.world.pause, func() {
		b.paused = false
		q := b.deferred
		b.deferred = nil
		for _, do := range q {
			do()
		}
	})
	b.world.after(4_000_000, b.schedulePauses)
}

// load is what the backend tells of itself.
func (b *simBackend) load() LoadReport {
	return LoadReport{Running: b.running, Queued: len(b.queued), Slots: b.slots, Known: true}
}

// arrive takes an ask in.
func (b *simBackend) arrive(v *exchange) {
	if b.paused {
		b.deferred = append(b.deferred, func() { b.arrive(v) })
		return
	}
	w := b.world
	a := w.journal.recordArrival(w.now, v)
	switch {
	case b.unresponsive:
		a.ran = true // nobody can know that it has not
		return
	case b.running >= b.slots && len(b.queued) >= b.queueLimit:
		v.respond(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "full"})
		return
	case w.rnd.Float64() < b.errorRate:
		a.ran = true
		// Its own failure, whatever its status seems to promise.
		status := []int{500, 500, 503, 429, 504}[w.rnd.IntN(5)]
		v.respond(Result{Class: ClassResponse, Status: status, Seal: w.journal.newSeal(v, false), Load: b.load()})
		return
	case w.rnd.Float64() < b.lossRate:
		a.ran = true
		v.respond(Result{Class: ClassFailed, Reason: "reset"})
		return
	}
	b.queued = append(b.queued, v)
	b.startQueued()
}

func (b *simBackend) startQueued() {
	for b.running < b.slots && len(b.queued) > 0 {
		v := b.queued[0]
		b.queued = b.queued[1:]
		if v.canceled {
			continue
		}
		if b.world.now >= v.deadline {
			v.respond(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "too late"})
			continue
		}
		b.running++
		b.world.journal.recordRun(v)
		work := float64(v.work) * b.workFactor
		if b.world.now < b.warmUntil {
			work *= 1.6
		}
		b.world.after(int64(work), func() { b.finishWork(v) })
	}
}

func (b *simBackend) finishWork(v *exchange) {
	if b.paused || b.unresponsive {
		if b.paused {
			b.deferred = append(b.deferred, func() { b.finishWork(v) })
		} else {
			b.running--
		}
		return
	}
	b.running--
	defer b.startQueued()
	w := b.world
	if w.rnd.Float64() < b.garbleRate {
		v.respond(Result{Class: ClassInvalid, Reason: "not an answer"})
		return
	}
	body := make([]byte, 0, 640)
	for range 12 {
		// Few distinct records, so that equal ones meet; a remainder now and then.
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(400)))
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(2)))
	}
	body = append(body, make([]byte, w.rnd.IntN(16))...)
	seal := w.journal.newSeal(v, true)
	w.journal.bodies[seal] = body
	v.respond(Result{Class: ClassResponse, Status: 200, Seal: seal, Body: body, Load: b.load()})
}

// send is one exchange of a node with a backend.
func (n *simNode) send(a Send, replied func(Result)) (cancel func()) {
	w := n.world
	b := w.byID[a.Backend.ID]
	link := int64(100)
	if b.zone != n.zone {
		link = 500
	}
	over := false
	v := &exchange{backend: b, node: n, id: a.Request.ID, route: a.Request.Method, work: w.work[a.Request.ID], sentAt: w.now, deadline: w.now + a.Timeout}
	answer := func(r Result) {
		w.after(link, func() {
			if !over {
				over = true
				replied(r)
			}
		})
	}
	v.respond = answer
	if b.down || b.departed {
		answer(Result{Class: ClassNotSent, Reason: "refused"})
		return func() { over = true }
	}
	w.after(link, func() {
		if b.down || b.departed {
			answer(Result{Class: ClassFailed, Reason: "reset"})
			return
		}
		b.arrive(v)
	})
	// A driver may tell of the end of the time a little later than the chart sees it itself.
	w.after(a.Timeout+int64(w.rnd.IntN(4_000)), func() {
		if !over {
			over, v.canceled = true, true
			replied(Result{Class: ClassFailed, TimedOut: true, Reason: "silence"})
		}
	})
	return func() { over, v.canceled = true, true }
}

func sealOf(n int, v *exchange) string { return fmt.Sprintf("%s.%s.%d", v.id, v.backend.pool, n) }
