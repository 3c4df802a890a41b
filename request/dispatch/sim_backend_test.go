// Backends of the world: slots and a queue, pauses, and troubles.

package dispatch

import (
	"encoding/binary"
	"fmt"
)

type simBackend struct {
	w            *world
	id, pool     string
	zone         string
	slots, limit int
	running      int
	waiting      []*visit
	paused       bool
	queue        []func()
	// times multiplies the work; grey, garble and lost are shares of asks that fail so.
	times              float64
	grey, garble, lost float64
	dark, down         bool
	leaving, gone      bool
	cold               int64
}

// visit is an ask at a backend.
type visit struct {
	b     *simBackend
	n     *simNode
	id    string
	route string
	work  int64
	sent  int64
	end   int64
	dead  bool
	reply func(Result)
}

func (b *simBackend) pauses() {
	b.paused = true
	b.w.after(b.w.pause, func() {
		b.paused = false
		q := b.queue
		b.queue = nil
		for _, do := range q {
			do()
		}
	})
	b.w.after(4_000_000, b.pauses)
}

// load is what the backend tells of itself.
func (b *simBackend) load() LoadReport {
	return LoadReport{Running: b.running, Queued: len(b.waiting), Slots: b.slots, Known: true}
}

// arrive takes an ask in.
func (b *simBackend) arrive(v *visit) {
	if b.paused {
		b.queue = append(b.queue, func() { b.arrive(v) })
		return
	}
	w := b.w
	a := w.log.arrived(w.now, v)
	switch {
	case b.dark:
		a.ran = true // nobody can know that it has not
		return
	case b.running >= b.slots && len(b.waiting) >= b.limit:
		v.reply(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "full"})
		return
	case w.rnd.Float64() < b.grey:
		a.ran = true
		// Its own failure, whatever its status seems to promise.
		status := []int{500, 500, 503, 429, 504}[w.rnd.IntN(5)]
		v.reply(Result{Class: ClassResponse, Status: status, Seal: w.log.seal(v, false), Load: b.load()})
		return
	case w.rnd.Float64() < b.lost:
		a.ran = true
		v.reply(Result{Class: ClassFailed, Reason: "reset"})
		return
	}
	b.waiting = append(b.waiting, v)
	b.next()
}

func (b *simBackend) next() {
	for b.running < b.slots && len(b.waiting) > 0 {
		v := b.waiting[0]
		b.waiting = b.waiting[1:]
		if v.dead {
			continue
		}
		if b.w.now >= v.end {
			v.reply(Result{Class: ClassRejected, Status: 503, Load: b.load(), Reason: "too late"})
			continue
		}
		b.running++
		b.w.log.ran(v)
		work := float64(v.work) * b.times
		if b.w.now < b.cold {
			work *= 1.6
		}
		b.w.after(int64(work), func() { b.done(v) })
	}
}

func (b *simBackend) done(v *visit) {
	if b.paused || b.dark {
		if b.paused {
			b.queue = append(b.queue, func() { b.done(v) })
		} else {
			b.running--
		}
		return
	}
	b.running--
	defer b.next()
	w := b.w
	if w.rnd.Float64() < b.garble {
		v.reply(Result{Class: ClassInvalid, Reason: "not an answer"})
		return
	}
	body := make([]byte, 0, 640)
	for range 12 {
		// Few distinct records, so that equal ones meet; a remainder now and then.
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(400)))
		body = binary.BigEndian.AppendUint64(body, uint64(w.rnd.IntN(2)))
	}
	body = append(body, make([]byte, w.rnd.IntN(16))...)
	seal := w.log.seal(v, true)
	w.log.bodies[seal] = body
	v.reply(Result{Class: ClassResponse, Status: 200, Seal: seal, Body: body, Load: b.load()})
}

// send is one exchange of a node with a backend.
func (n *simNode) send(a Send, replied func(Result)) (cancel func()) {
	w := n.w
	b := w.byID[a.Server.ID]
	link := int64(100)
	if b.zone != n.zone {
		link = 500
	}
	over := false
	v := &visit{b: b, n: n, id: a.Request.ID, route: a.Request.Method, work: w.works[a.Request.ID], sent: w.now, end: w.now + a.Timeout}
	answer := func(r Result) {
		w.after(link, func() {
			if !over {
				over = true
				replied(r)
			}
		})
	}
	v.reply = answer
	if b.down || b.gone {
		answer(Result{Class: ClassNotSent, Reason: "refused"})
		return func() { over = true }
	}
	w.after(link, func() {
		if b.down || b.gone {
			answer(Result{Class: ClassFailed, Reason: "reset"})
			return
		}
		b.arrive(v)
	})
	// A driver may tell of the end of the time a little later than the chart sees it itself.
	w.after(a.Timeout+int64(w.rnd.IntN(4_000)), func() {
		if !over {
			over, v.dead = true, true
			replied(Result{Class: ClassFailed, TimedOut: true, Reason: "silence"})
		}
	})
	return func() { over, v.dead = true, true }
}

func sealOf(n int, v *visit) string { return fmt.Sprintf("%s.%s.%d", v.id, v.b.pool, n) }
