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

type life struct {
	d     *day
	shape *poolShape
	row   wire.Backend
	seen  *rules.Backend

	up, dark, leaving, listed bool
	// grey is how part of its requests fail; looksIll is a health answer that is false; connections that
	// rested for longer than forgetsUs are forgotten, 0 is none.
	grey      grey
	looksIll  bool
	forgetsUs int64
	// away tells that no machine reaches it.
	away         bool
	cold         int64
	speed, phase int64
	running      int
	queue        []*job
	conns        int64
	// slow is the factor of work, in thousandths, 0 for none; broken and surplus are shares of answers
	// that are spoilt or followed by another, lost of those that never leave.
	slow                  int64
	broken, surplus, lost float64
}

// job is a request at a backend.
type job struct {
	l       *life
	in      *exchange
	a       *rules.Arrival
	until   int64
	started bool
	over    bool
	work    int64
	// fails is the way in which a grey backend fails it.
	fails greyWay
}

func (l *life) now() int64 { return l.d.w.now }

// pauseLeft is how much of a pause is left now.
func (l *life) pauseLeft() int64 {
	if l.shape.pauseUs == 0 {
		return 0
	}
	at := (l.now() + l.phase) % pauseEvery
	return max(0, l.shape.pauseUs-at)
}

// arrive is a request's last byte. The answer's way back is the exchange's affair.
func (l *life) arrive(x *exchange, target string, a *rules.Arrival, work, within int64) {
	d := l.d
	d.journal.Arrivals = append(d.journal.Arrivals, a)
	switch {
	case target != l.row.ID:
		a.Wrong, a.Status = true, 421
		x.turnedAway(l, 421, "another backend has the address")
		return
	case l.running >= l.shape.slots && len(l.queue) >= l.shape.queue:
		d.w.Judge.Count("backend_full", 1)
		x.turnedAway(l, 503, "full")
		return
	}
	j := &job{l: l, in: x, a: a, until: l.now() + within, work: work}
	if l.grey.meets(d, x.g.p.env.Zone) {
		j.fails = l.grey.way
		if l.turnsAway(x, j) {
			return
		}
	}
	x.job = j
	l.queue = append(l.queue, j)
	d.w.after(within, func() { j.deadline() })
	l.next()
}

// next starts what waits while slots are free.
func (l *life) next() {
	for l.up && l.running < l.shape.slots && len(l.queue) > 0 {
		j := l.queue[0]
		l.queue = l.queue[1:]
		if j.over {
			continue
		}
		j.started = true
		j.a.Ran = true
		l.running++
		us := j.work * l.speed / 100 * l.grey.factor(j)
		if l.slow > 0 {
			us = us * l.slow / 1000
		}
		if l.now() < l.cold {
			us = us * warmUpX / 1000
		}
		l.d.w.after(us+l.pauseLeft(), j.done)
	}
}

func (j *job) done() {
	if j.over || !j.l.up {
		return
	}
	if left := j.l.pauseLeft(); left > 0 {
		j.l.d.w.after(left, j.done)
		return
	}
	if j.fails == greyHang {
		// It holds the slot and says nothing.
		return
	}
	j.end()
	switch j.fails {
	case greyErrors:
		j.answer(500)
	case greyReset:
		j.in.broke("reset")
	default:
		j.answer(200)
	}
}

// deadline is the end of the time that the backend was handed.
func (j *job) deadline() {
	if j.over || !j.l.up {
		return
	}
	if !j.started {
		j.over = true
		j.in.turnedAway(j.l, 503, "too late")
		return
	}
	j.end()
	if j.fails != greyHang {
		j.answer(504)
	}
}

func (j *job) end() {
	j.over = true
	j.l.running--
	j.l.next()
}

// drop is the end of the connection: most backends end the work, too.
func (j *job) drop() {
	if j.over || !j.l.up {
		return
	}
	if !j.started {
		j.over = true
		return
	}
	if j.l.d.w.rnd.IntN(10) > 0 {
		j.end()
	}
}

// answer seals what the backend says, and lets trouble spoil it.
func (j *job) answer(status int) {
	l, d := j.l, j.l.d
	body := d.body(j.a.Try, l.row.Pool, j.in.kind)
	if status != 200 {
		body = []byte("failed")
	}
	d.w.nextID++
	h := fnv.New32a()
	h.Write(body)
	j.a.Status, j.a.Answer = status, body
	j.a.Seal = fmt.Sprintf("%s.%x.%x.%d.%d.%08x", l.row.ID, d.w.nextID, len(body), status, 0, h.Sum32())
	roll := d.w.rnd.Float64()
	switch {
	case roll < l.lost:
		j.in.broke("reset")
	case roll < l.lost+l.broken:
		j.in.spoilt(d.w.rnd.IntN(2) == 0)
	default:
		j.in.answered(l, j.a, roll > 1-l.surplus)
	}
}

// probe waits for a slot, or is turned away, as a request does.
func (l *life) probe(done func(status int)) {
	switch {
	case l.running >= l.shape.slots && len(l.queue) >= l.shape.queue, l.leaving, l.looksIll:
		done(503)
	default:
		l.d.w.after(1000+l.pauseLeft()+int64(len(l.queue))*5000/int64(l.shape.slots), func() {
			if l.up {
				done(200)
			}
		})
	}
}

// body is what a backend of a pool answers to a try: records where answers are gathered, in no order,
// some of them equal, and a remainder that is no record.
func (d *day) body(try, pool string, k *kindShape) []byte {
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
	n := k.answer/2 + int(rnd()%uint64(k.answer))
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
