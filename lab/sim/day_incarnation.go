// One life of a backend: slots and a queue, pauses, and what troubles make of
// its answers.

package sim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"wallport/lab/rules"
	"wallport/runtime/wire"
)

type incarnation struct {
	day    *day
	shape  *poolShape
	row    wire.Backend
	record *rules.Backend

	up, silent, draining, listed bool
	// grey is how part of its requests fail; reportsUnhealthy is a health answer that is false; connections that
	// rested for longer than connTimeout are forgotten, 0 is none.
	grey             grey
	reportsUnhealthy bool
	connTimeout      int64
	// unreachable tells that no machine reaches it.
	unreachable  bool
	warmAt       int64
	speed, phase int64
	running      int
	queue        []*job
	conns        int64
	// slowdown is the factor of work, in thousandths, 0 for none; broken and surplus are shares of answers
	// that are spoilt or followed by another, lost of those that never leave.
	slowdown                              int64
	garbledShare, surplusShare, lostShare float64
}

// job is a request at a backend.
type job struct {
	backend  *incarnation
	exchange *exchange
	arrival  *rules.Arrival
	until    int64
	started  bool
	ended    bool
	work     int64
	// mode is the way in which a grey backend fails it.
	mode greyMode
}

func (l *incarnation) now() int64 { return l.day.world.now }

// pauseLeft is how much of a pause is left now.
func (l *incarnation) pauseLeft() int64 {
	if l.shape.pauseUs == 0 {
		return 0
	}
	at := (l.now() + l.phase) % pausePeriod
	return max(0, l.shape.pauseUs-at)
}

// arrive is a request's last byte. The answer's way back is the exchange's affair.
func (l *incarnation) arrive(x *exchange, target string, a *rules.Arrival, work, within int64) {
	d := l.day
	d.journal.Arrivals = append(d.journal.Arrivals, a)
	switch {
	case target != l.row.ID:
		a.Wrong, a.Status = true, 421
		x.rejected(l, 421, "another backend has the address")
		return
	case l.running >= l.shape.slots && len(l.queue) >= l.shape.queue:
		d.world.Checker.Count("backend_full", 1)
		x.rejected(l, 503, "full")
		return
	}
	j := &job{backend: l, exchange: x, arrival: a, until: l.now() + within, work: work}
	if l.grey.meets(d, x.gateway.process.settings.Zone) {
		j.mode = l.grey.mode
		if l.rejectsEarly(x, j) {
			return
		}
	}
	x.job = j
	l.queue = append(l.queue, j)
	d.world.after(within, func() { j.expire() })
	l.startNext()
}

// startNext starts what waits while slots are free.
func (l *incarnation) startNext() {
	for l.up && l.running < l.shape.slots && len(l.queue) > 0 {
		j := l.queue[0]
		l.queue = l.queue[1:]
		if j.ended {
			continue
		}
		j.started = true
		j.arrival.Ran = true
		l.running++
		us := j.work * l.speed / 100 * l.grey.factor(j)
		if l.slowdown > 0 {
			us = us * l.slowdown / 1000
		}
		if l.now() < l.warmAt {
			us = us * warmUpX / 1000
		}
		l.day.world.after(us+l.pauseLeft(), j.finishWork)
	}
}

func (j *job) finishWork() {
	if j.ended || !j.backend.up {
		return
	}
	if left := j.backend.pauseLeft(); left > 0 {
		j.backend.day.world.after(left, j.finishWork)
		return
	}
	if j.mode == greyHang {
		// It holds the slot and says nothing.
		return
	}
	j.end()
	switch j.mode {
	case greyErrors:
		j.respond(500)
	case greyReset:
		j.exchange.failed("reset")
	default:
		j.respond(200)
	}
}

// expire is the end of the time that the backend was handed.
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
	if j.mode != greyHang {
		j.respond(504)
	}
}

func (j *job) end() {
	j.ended = true
	j.backend.running--
	j.backend.startNext()
}

// connClosed is the end of the connection: most backends end the work, too.
func (j *job) connClosed() {
	if j.ended || !j.backend.up {
		return
	}
	if !j.started {
		j.ended = true
		return
	}
	if j.backend.day.world.rng.IntN(10) > 0 {
		j.end()
	}
}

// respond seals what the backend says, and lets trouble spoil it.
func (j *job) respond(status int) {
	l, d := j.backend, j.backend.day
	body := d.responseBody(j.arrival.Attempt, l.row.Pool, j.exchange.kind)
	if status != 200 {
		body = []byte("failed")
	}
	d.world.nextID++
	h := fnv.New32a()
	h.Write(body)
	j.arrival.Status, j.arrival.Answer = status, body
	j.arrival.Seal = fmt.Sprintf("%s.%x.%x.%d.%d.%08x", l.row.ID, d.world.nextID, len(body), status, 0, h.Sum32())
	roll := d.world.rng.Float64()
	switch {
	case roll < l.lostShare:
		j.exchange.failed("reset")
	case roll < l.lostShare+l.garbledShare:
		j.exchange.garbled(d.world.rng.IntN(2) == 0)
	default:
		j.exchange.responded(l, j.arrival, roll > 1-l.surplusShare)
	}
}

// healthCheck waits for a slot, or is turned away, as a request does.
func (l *incarnation) healthCheck(done func(status int)) {
	switch {
	case l.running >= l.shape.slots && len(l.queue) >= l.shape.queue, l.draining, l.reportsUnhealthy:
		done(503)
	default:
		l.day.world.after(1000+l.pauseLeft()+int64(len(l.queue))*5000/int64(l.shape.slots), func() {
			if l.up {
				done(200)
			}
		})
	}
}

// responseBody is what a backend of a pool answers to a try: records where answers are gathered, in no order,
// some of them equal, and a remainder that is no record.
func (d *day) responseBody(try, pool string, k *requestShape) []byte {
	h := fnv.New64a()
	h.Write([]byte(try))
	h.Write([]byte(pool))
	x := h.Sum64()
	rnd := func() uint64 {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		return x
	}
	n := k.responseBytes/2 + int(rnd()%uint64(k.responseBytes))
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

// crash ends a life; dark is without a word.
func (l *incarnation) crash(dark bool) {
	if !l.up {
		return
	}
	d := l.day
	l.up, l.silent = false, dark
	l.record.Ended = l.now()
	d.world.logEvent(l.row.ID + " of " + l.row.Pool + " ends")
	for _, x := range d.exchangesOf(l) {
		if !dark {
			x.failed("reset")
		}
	}
	l.queue, l.running = nil, 0
	b := &d.backends
	b.free = append(b.free, freeAddr{l.row.Addr, l.row.Zone, l.row.Pool, l.now() + reuseUs})
	d.world.after(reuseUs, func() { l.silent = l.silent && b.byAddr[l.row.Addr] == l })
	d.world.after(crashedFor, func() { l.listed = false; b.publish() })
}

// restartSlowStart makes a life cold again.
func (l *incarnation) restartSlowStart() {
	l.warmAt = l.now() + warmUpUs
	l.record.SlowStart = append(l.record.SlowStart, rules.Span{From: l.now(), To: l.warmAt})
}

// drain is the planned end: the list shows it, then the backend serves on for a while.
func (l *incarnation) drain() {
	if !l.up || l.draining {
		return
	}
	d := l.day
	l.draining, l.row.State = true, "leaving"
	l.record.Shown = l.now() + listLagUs
	d.backends.publish()
	d.world.after(listLagUs+d.journal.Bounds.DrainUs+300_000, func() {
		if l.up {
			l.crash(false)
			l.listed = false
			d.backends.publish()
		}
	})
}
