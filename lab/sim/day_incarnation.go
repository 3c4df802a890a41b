// One incarnation of a backend: slots, a queue, pauses, and the faults of its responses.

package sim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"wallport/lab/rules"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

type incarnation struct {
	day    *day
	shape  *poolShape
	row    wire.Backend
	record *rules.Backend

	up, silent, draining, listed bool
	// partialFailure is how a share of its requests fail; reportsUnhealthy makes its health checks fail; connections that
	// were idle for longer than connTimeout are dropped without notice, 0 for never.
	partialFailure   partialFailure
	reportsUnhealthy bool
	connTimeout      clock.Micros
	// unreachable reports whether nothing gets from a machine to a backend.
	unreachable  bool
	warmAt       clock.Micros
	speed, phase int64
	running      int
	queue        []*job
	conns        int64
	// slowdown multiplies the work, in thousandths, 0 for none; garbledShare and surplusShare are the shares of
	// responses that are garbled or followed by another one, lostShare of those that are never sent.
	slowdown                              int64
	garbledShare, surplusShare, lostShare float64
}

// job is a request at a backend.
type job struct {
	backend  *incarnation
	exchange *exchange
	arrival  *rules.Arrival
	until    clock.Micros
	started  bool
	ended    bool
	work     clock.Micros
	// mode is how a grey backend fails it.
	mode failureMode
}

func (inc *incarnation) now() clock.Micros { return inc.day.sim.now }

// pauseLeft returns how much of the current pause is left.
func (inc *incarnation) pauseLeft() clock.Micros {
	if inc.shape.pauseUs == 0 {
		return 0
	}
	at := (inc.now() + inc.phase) % pausePeriod
	return max(0, inc.shape.pauseUs-at)
}

// arrive is called when a request's last byte is there. The exchange carries the response back.
func (inc *incarnation) arrive(x *exchange, target string, a *rules.Arrival, work, within clock.Micros) {
	d := inc.day
	d.journal.Arrivals = append(d.journal.Arrivals, a)
	switch {
	case target != inc.row.ID:
		a.Wrong, a.Status = true, 421
		x.rejected(inc, 421, "another backend has the address")
		return
	case inc.running >= inc.shape.slots && len(inc.queue) >= inc.shape.queue:
		d.sim.Checker.Count("backend_full", 1)
		x.rejected(inc, 503, "full")
		return
	}
	j := &job{backend: inc, exchange: x, arrival: a, until: inc.now() + within, work: work}
	if inc.partialFailure.drawFails(d, x.gateway.process.settings.Zone) {
		j.mode = inc.partialFailure.mode
		if inc.rejectsEarly(x, j) {
			return
		}
	}
	x.job = j
	inc.queue = append(inc.queue, j)
	d.sim.after(within, func() { j.expire() })
	inc.startNext()
}

// startNext starts queued requests while slots are free.
func (inc *incarnation) startNext() {
	for inc.up && inc.running < inc.shape.slots && len(inc.queue) > 0 {
		j := inc.queue[0]
		inc.queue = inc.queue[1:]
		if j.ended {
			continue
		}
		j.started = true
		j.arrival.Ran = true
		inc.running++
		us := j.work * inc.speed / 100 * inc.partialFailure.factor(j)
		if inc.slowdown > 0 {
			us = us * inc.slowdown / 1000
		}
		if inc.now() < inc.warmAt {
			us = us * coldWorkFactor / 1000
		}
		inc.day.sim.after(us+inc.pauseLeft(), j.finishWork)
	}
}

func (j *job) finishWork() {
	if j.ended || !j.backend.up {
		return
	}
	if left := j.backend.pauseLeft(); left > 0 {
		j.backend.day.sim.after(left, j.finishWork)
		return
	}
	if j.mode == failByHanging {
		// It keeps the slot and never answers.
		return
	}
	j.end()
	switch j.mode {
	case failWithErrors:
		j.respond(500)
	case failByReset:
		j.exchange.failed("reset")
	default:
		j.respond(200)
	}
}

// expire ends the request at the deadline that the backend was given.
func (j *job) expire() {
	if j.ended || !j.backend.up {
		return
	}
	if !j.started {
		j.ended = true
		j.exchange.rejected(j.backend, 503, "too late")
		return
	}
	j.end()
	if j.mode != failByHanging {
		j.respond(504)
	}
}

func (j *job) end() {
	j.ended = true
	j.backend.running--
	j.backend.startNext()
}

// connClosed is called when the connection ends: most backends then stop the work.
func (j *job) connClosed() {
	if j.ended || !j.backend.up {
		return
	}
	if !j.started {
		j.ended = true
		return
	}
	if j.backend.day.sim.rng.IntN(10) > 0 {
		j.end()
	}
}

// respond seals the response and applies the response faults.
func (j *job) respond(status int) {
	inc, d := j.backend, j.backend.day
	body := d.responseBody(j.arrival.Attempt, inc.row.Pool, j.exchange.kind)
	if status != 200 {
		body = []byte("failed")
	}
	d.sim.nextID++
	h := fnv.New32a()
	h.Write(body)
	j.arrival.Status, j.arrival.Answer = status, body
	j.arrival.Seal = fmt.Sprintf("%s.%x.%x.%d.%d.%08x", inc.row.ID, d.sim.nextID, len(body), status, 0, h.Sum32())
	roll := d.sim.rng.Float64()
	switch {
	case roll < inc.lostShare:
		j.exchange.failed("reset")
	case roll < inc.lostShare+inc.garbledShare:
		j.exchange.garbled(d.sim.rng.IntN(2) == 0)
	default:
		j.exchange.responded(inc, j.arrival, roll > 1-inc.surplusShare)
	}
}

// healthCheck waits for a slot or is rejected, as a request is.
func (inc *incarnation) healthCheck(done func(status int)) {
	switch {
	case inc.running >= inc.shape.slots && len(inc.queue) >= inc.shape.queue, inc.draining, inc.reportsUnhealthy:
		done(503)
	default:
		inc.day.sim.after(1000+inc.pauseLeft()+int64(len(inc.queue))*5000/int64(inc.shape.slots), func() {
			if inc.up {
				done(200)
			}
		})
	}
}

// responseBody returns what a backend of a pool responds to an attempt: records in no order where responses are
// gathered, some of them equal, and a remainder that is no record.
func (d *day) responseBody(attempt, pool string, kind *requestShape) []byte {
	h := fnv.New64a()
	h.Write([]byte(attempt))
	h.Write([]byte(pool))
	x := h.Sum64()
	rnd := func() uint64 {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		return x
	}
	n := kind.responseBytes/2 + int(rnd()%uint64(kind.responseBytes))
	out := make([]byte, 0, n)
	for len(out)+16 <= n {
		v := rnd()
		if v%8 == 0 {
			v = v % 64
		}
		out = binary.BigEndian.AppendUint64(out, v)
		out = binary.BigEndian.AppendUint64(out, rnd()%4)
	}
	for len(out) < n {
		out = append(out, byte(rnd()))
	}
	return out
}

// crash ends an incarnation; a silent one sends no resets.
func (inc *incarnation) crash(silent bool) {
	if !inc.up {
		return
	}
	d := inc.day
	inc.up, inc.silent = false, silent
	inc.record.Ended = inc.now()
	d.sim.logEvent(inc.row.ID + " of " + inc.row.Pool + " ends")
	for _, x := range d.exchangesOf(inc) {
		if !silent {
			x.failed("reset")
		}
	}
	inc.queue, inc.running = nil, 0
	b := &d.backends
	b.free = append(b.free, freeAddr{inc.row.Addr, inc.row.Zone, inc.row.Pool, inc.now() + addressReuseUs})
	d.sim.after(addressReuseUs, func() { inc.silent = inc.silent && b.byAddr[inc.row.Addr] == inc })
	d.sim.after(crashDelistUs, func() { inc.listed = false; b.publish() })
}

// restartSlowStart makes the incarnation cold again.
func (inc *incarnation) restartSlowStart() {
	inc.warmAt = inc.now() + warmUpUs
	inc.record.SlowStart = append(inc.record.SlowStart, rules.Span{From: inc.now(), To: inc.warmAt})
}

// drain is the planned end: the list shows it, and the backend serves on for a while.
func (inc *incarnation) drain() {
	if !inc.up || inc.draining {
		return
	}
	d := inc.day
	inc.draining, inc.row.State = true, "leaving"
	inc.record.Shown = inc.now() + listLagUs
	d.backends.publish()
	d.sim.after(listLagUs+d.journal.Bounds.DrainUs+300*clock.Millisecond, func() {
		if inc.up {
			inc.crash(false)
			inc.listed = false
			d.backends.publish()
		}
	})
}
