// Clients of the world, the driving of charts, and what came of it all.

package dispatch

import (
	"fmt"
	"math"
)

type kind struct {
	name          string
	aim, deadline int64
	work          float64
	tail          float64
	worth, late   float64
	once          bool
}

var kinds = []kind{
	{name: "search", aim: 80_000, deadline: 400_000, work: 7_500, tail: 0.02, worth: 2, late: 0.6},
	{name: "quick", aim: 40_000, deadline: 250_000, work: 2_500, tail: 0.02, worth: 1, late: 0.3},
	{name: "once", aim: 250_000, deadline: 1_500_000, work: 60_000, worth: 3, late: 0.3, once: true},
	{name: "read", aim: 250_000, deadline: 1_500_000, work: 60_000, worth: 1, late: 0.3},
}

// offer begins the clients' requests, until a moment.
func (w *world) offer(until int64) {
	for i, rate := range []float64{w.search, w.quick, w.once, w.read} {
		if rate > 0 {
			w.comes(&kinds[i], rate, until)
		}
	}
}

func (w *world) comes(k *kind, rate float64, until int64) {
	w.after(int64(w.rnd.ExpFloat64()*1e6/rate), func() {
		if w.now >= until {
			return
		}
		w.log.sums[k.name].owed += k.worth
		w.try(k, w.now, 0, w.tries)
		w.comes(k, rate, until)
	})
}

// try is one try of a client.
func (w *world) try(k *kind, began, first int64, more int) {
	w.ids++
	id := fmt.Sprintf("%s-%d", k.name, w.ids)
	work := k.work * math.Exp(w.rnd.NormFloat64()*0.5-0.125)
	if w.rnd.Float64() < k.tail {
		work *= 4
	}
	w.works[id] = int64(min(work, k.work*6))
	n := w.nodes[min(w.rnd.IntN(len(w.nodes)), w.rnd.IntN(len(w.nodes)+2))%len(w.nodes)]
	w.log.asked(w.now, id, k)
	left := began + k.deadline - w.now
	over, start := false, w.now
	ended := func(o Outcome) {
		if over {
			return
		}
		over = true
		w.log.told(w.now, id, k, o)
		if o.Status >= 200 && o.Status < 300 {
			if w.now <= began+k.deadline {
				w.log.sums[k.name].served(w.now-began <= k.aim, first > 0 && w.now-start <= k.aim, share(o), k)
			}
			return
		}
		w.log.sums[k.name].failed[o.Status]++
		refusedAt := int64(0)
		if o.Status == 503 && w.now-began <= k.aim/4 {
			refusedAt = 1
		}
		pause := min(max(o.RetryAfter, 2_000), (began+k.deadline-w.now)/3)
		if more > 0 && w.now+pause < began+k.deadline && (!k.once || promisesNotRun(o.Status)) {
			w.after(pause, func() { w.try(k, began, refusedAt, more-1) })
		}
	}
	w.after(left, func() { ended(Outcome{Status: 0, Code: "client_left"}) })
	w.after(w.linkUs, func() {
		if n.dead {
			w.after(w.linkUs, func() { ended(Outcome{Status: 502, Code: "closed"}) })
			return
		}
		r := Request{ID: id, Method: "GET", Target: "/" + k.name + "/x", Path: "/" + k.name + "/x", Host: "h", Timeout: left}
		n.handle(r, func(o Outcome) { w.after(w.linkUs, func() { ended(o) }) })
	})
}

func share(o Outcome) float64 {
	if o.Seals == nil {
		return 1
	}
	return float64(len(o.Seals)) / float64(len(o.Seals)+o.Missing)
}

// handle drives a chart until its last act is done.
func (n *simNode) handle(r Request, ended func(Outcome)) {
	m, w, life := NewStateMachine(n.desk, r, n.w.now), n.w, n.desk
	cancels := map[int]func(){}
	var step func(Event)
	step = func(ev Event) {
		if life != n.desk || n.dead {
			for _, cancel := range cancels {
				cancel()
			}
			ended(Outcome{Status: 502, Code: "closed"})
			return
		}
		for _, act := range m.Step(w.now, ev) {
			switch a := act.(type) {
			case Send:
				w.log.asks(n, a)
				cancels[a.N] = n.send(a, func(r Result) { step(AttemptDone{N: a.N, Result: r}) })
			case Cancel:
				cancels[a.N]()
			case SetTimer:
				w.after(a.At-w.now, func() {
					if m.timerAt == a.At {
						step(TimerFired{})
					}
				})
			case Finish:
				ended(a.Outcome)
			}
		}
	}
	step(Begin{})
}

// sum is what came of one kind of requests.
type sum struct {
	owed, earned  float64
	ontime, later int
	partial       int
	failed        map[int]int
}

// served counts a success; soon tells that it was in time from a new try after an early refusal.
func (s *sum) served(ontime, soon bool, share float64, k *kind) {
	worth := k.worth * share * share
	if ontime {
		s.ontime++
	} else {
		s.later++
		if soon {
			worth *= (1 + k.late) / 2
		} else {
			worth *= k.late
		}
	}
	if share < 1 {
		s.partial++
	}
	s.earned += worth
}

func (j *journal) report() string {
	out := ""
	owed, earned := 0.0, 0.0
	for _, k := range kinds {
		s := j.sums[k.name]
		owed, earned = owed+s.owed, earned+s.earned
		out += fmt.Sprintf("%s: earned %.3f, on time %d, late %d, partial %d, failed %v\n", k.name, s.earned/max(1, s.owed), s.ontime, s.later, s.partial, s.failed)
	}
	extra := map[string]int{}
	for _, a := range j.arrivals {
		if a.extra {
			extra[a.pool]++
		}
	}
	return fmt.Sprintf("%sall: %.4f; arrivals %d, extra %v\n", out, earned/max(1, owed), len(j.arrivals), extra)
}
