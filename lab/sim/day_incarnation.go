// One incarnation of a backend: its slots and queue, its pauses, and faults of its responses.

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
	// partialFailure is how a share of the requests fails. reportsUnhealthy makes the health checks fail.
	// Connections that have been idle for longer than connTimeout are dropped without notice; 0 disables this.
	partialFailure   partialFailure
	reportsUnhealthy bool
	connTimeout      clock.Micros
	// unreachable means that a partition separates the backend from all machines.
	unreachable  bool
	warmAt       clock.Micros
	speed, phase int64
	running      int
	queue        []*job
	conns        int64
	// slowdown is the factor of the work time in thousandths, 0 for none. garbledShare, surplusShare and lostShare
	// are the shares of the responses that are garbled, followed by a surplus response, or never sent.
	slowdown                              int64
	garbledShare, surplusShare, lostShare float64
}

// job is a request that a backend has received.
type job struct {
	backend  *incarnation
	exchange *exchange
	arrival  *rules.Arrival
	until    clock.Micros
	started  bool
	ended    bool
	work     clock.Micros
	// mode is how a partially failing backend fails the request; empty if it does not.
	mode failureMode
}

func (inc *incarnation) now() clock.Micros { return inc.day.sim.now }

// pauseLeft returns how long the current pause still lasts, 0 outside pauses.
func (inc *incarnation) pauseLeft() clock.Micros {
	if inc.shape.pauseUs == 0 {
		return 0
	}
	at := (inc.now() + inc.phase) % pausePeriod
	return max(0, inc.shape.pauseUs-at)
}

// arrive is called when the last byte of a request arrives. The exchange carries the response back.
func (inc *incarnation) arrive(x *exchange, target string, a *rules.Arrival, work, within clock.Micros) {
	d := inc.day
	d.journal.Arrivals = append(d.journal.Arrivals, a)
	switch {
	case target != inc.row.ID:
		a.Misrouted, a.Status = true, 421
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
		// The request keeps its slot and is never answered.
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

// expire ends the request at the deadline that it carried.
func (j *job) expire() {
	if j.ended || !j.backend.up {
		return
	}
	if !j.started {
		j.ended = true
		j.exchange.rejected(j.backend, 503, "deadline passed in the queue")
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

// connClosed is called when the node closes the connection. A queued request is dropped; work that has started is
// stopped in nine of ten cases.
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

// respond sends a response with its seal, or lets a response fault drop or garble it.
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

// healthCheck answers a health check with status 503 if all slots and the queue are full, or if the backend is draining
// or reports itself unhealthy; otherwise with status 200, after a delay that grows with the queue.
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

// responseBody returns the body of a pool's response to an attempt: 16-byte records in random order, some of which
// start with the same 8 bytes, and a remainder that is too short for a record.
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

// crash ends an incarnation. If silent is set, no connection is reset and dials time out.
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

// restartSlowStart makes the incarnation cold, as if it had just started.
func (inc *incarnation) restartSlowStart() {
	inc.warmAt = inc.now() + warmUpUs
	inc.record.SlowStart = append(inc.record.SlowStart, rules.Span{From: inc.now(), To: inc.warmAt})
}

// drain begins the planned end of an incarnation: the list shows it as leaving, and the backend goes on serving
// until the nodes must have stopped using it.
func (inc *incarnation) drain() {
	if !inc.up || inc.draining {
		return
	}
	d := inc.day
	inc.draining, inc.row.State = true, "leaving"
	inc.record.DrainingSince = inc.now() + listLagUs
	d.backends.publish()
	d.sim.after(listLagUs+d.journal.Bounds.DrainUs+300*clock.Millisecond, func() {
		if inc.up {
			inc.crash(false)
			inc.listed = false
			d.backends.publish()
		}
	})
}
