// Simulated clients, the driver of state machines, and the value that clients received.

package dispatch

import (
	"fmt"
	"math"

	"wallport/runtime/clock"
)

// requestKind is a kind of request. value is the value of a response that meets the latency target; a later response
// has the share lateValue of that value.
type requestKind struct {
	name             string
	target, deadline clock.Micros
	work             float64
	tailShare        float64
	value, lateValue float64
	atMostOnce       bool
}

var requestKinds = []requestKind{
	{name: "search", target: 80_000, deadline: 400_000, work: 7_500, tailShare: 0.02, value: 2, lateValue: 0.6},
	{name: "quick", target: 40_000, deadline: 250_000, work: 2_500, tailShare: 0.02, value: 1, lateValue: 0.3},
	{name: "once", target: 250_000, deadline: 1_500_000, work: 60_000, value: 3, lateValue: 0.3, atMostOnce: true},
	{name: "read", target: 250_000, deadline: 1_500_000, work: 60_000, value: 1, lateValue: 0.3},
}

// startClients makes clients send requests until the given time.
func (w *simulation) startClients(until clock.Micros) {
	for i, rate := range []float64{w.search, w.quick, w.once, w.read} {
		if rate > 0 {
			w.scheduleClient(&requestKinds[i], rate, until)
		}
	}
}

func (w *simulation) scheduleClient(k *requestKind, rate float64, until clock.Micros) {
	w.after(int64(w.rnd.ExpFloat64()*1e6/rate), func() {
		if w.now >= until {
			return
		}
		w.journal.tallies[k.name].possible += k.value
		w.clientAttempt(k, w.now, false, w.clientRetries)
		w.scheduleClient(k, rate, until)
	})
}

// clientAttempt sends one attempt of the client request that started at began. If the attempt fails, up to more further
// attempts follow. rejectedEarly says that the previous attempt was rejected early.
func (w *simulation) clientAttempt(k *requestKind, began clock.Micros, rejectedEarly bool, more int) {
	w.lastID++
	id := fmt.Sprintf("%s-%d", k.name, w.lastID)
	work := k.work * math.Exp(w.rnd.NormFloat64()*0.5-0.125)
	if w.rnd.Float64() < k.tailShare {
		work *= 4
	}
	w.work[id] = int64(min(work, k.work*6))
	n := w.nodes[min(w.rnd.IntN(len(w.nodes)), w.rnd.IntN(len(w.nodes)+2))%len(w.nodes)]
	w.journal.recordAttempt(w.now, id, k)
	left := began + k.deadline - w.now
	over, start := false, w.now
	ended := func(o Outcome) {
		if over {
			return
		}
		over = true
		w.journal.recordOutcome(w.now, id, k, o)
		if o.Status >= 200 && o.Status < 300 {
			if w.now <= began+k.deadline {
				w.journal.tallies[k.name].addSuccess(w.now-began <= k.target, rejectedEarly && w.now-start <= k.target, coverage(o), k)
			}
			return
		}
		w.journal.tallies[k.name].failed[o.Status]++
		early := o.Status == 503 && w.now-began <= k.target/4
		pause := min(max(o.RetryAfter, 2_000), (began+k.deadline-w.now)/3)
		if more > 0 && w.now+pause < began+k.deadline && (!k.atMostOnce || promisesNotRun(o.Status)) {
			w.after(pause, func() { w.clientAttempt(k, began, early, more-1) })
		}
	}
	w.after(left, func() { ended(Outcome{Status: 0, Code: "client_left"}) })
	w.after(w.clientLink, func() {
		if n.down {
			w.after(w.clientLink, func() { ended(Outcome{Status: 502, Code: "closed"}) })
			return
		}
		r := Request{ID: id, Method: "GET", Target: "/" + k.name + "/x", Path: "/" + k.name + "/x", Host: "h", Timeout: left}
		n.drive(r, func(o Outcome) { w.after(w.clientLink, func() { ended(o) }) })
	})
}

// coverage returns the share of shards that a response contains.
func coverage(o Outcome) float64 {
	if o.Seals == nil {
		return 1
	}
	return float64(len(o.Seals)) / float64(len(o.Seals)+o.Missing)
}

// drive runs the state machine of a request and carries out its actions until the node stops or restarts. It calls
// ended with the outcome.
func (n *simNode) drive(r Request, ended func(Outcome)) {
	m, w, dispatcher := NewStateMachine(n.dispatcher, r, n.simulation.now), n.simulation, n.dispatcher
	cancels := map[int]func(){}
	var step func(Event)
	step = func(ev Event) {
		if dispatcher != n.dispatcher || n.down {
			for _, cancel := range cancels {
				cancel()
			}
			ended(Outcome{Status: 502, Code: "closed"})
			return
		}
		for _, act := range m.Step(w.now, ev) {
			switch a := act.(type) {
			case Send:
				w.journal.recordSend(n, a)
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

// tally counts the outcomes of the requests of one kind and their value.
type tally struct {
	possible, earned float64
	onTime, late     int
	partial          int
	failed           map[int]int
}

// addSuccess counts a successful response that contains the given share of the shards. onTime says that it met the
// latency target. soonAfterRetry says that it met the target when counted from an attempt that followed an early
// rejection; the response then loses only half as much value by being late.
func (s *tally) addSuccess(onTime, soonAfterRetry bool, share float64, k *requestKind) {
	worth := k.value * share * share
	if onTime {
		s.onTime++
	} else {
		s.late++
		if soonAfterRetry {
			worth *= (1 + k.lateValue) / 2
		} else {
			worth *= k.lateValue
		}
	}
	if share < 1 {
		s.partial++
	}
	s.earned += worth
}

func (j *journal) report() string {
	out := ""
	possible, earned := 0.0, 0.0
	for _, k := range requestKinds {
		s := j.tallies[k.name]
		possible, earned = possible+s.possible, earned+s.earned
		out += fmt.Sprintf("%s: earned %.3f, on time %d, late %d, partial %d, failed %v\n", k.name, s.earned/max(1, s.possible), s.onTime, s.late, s.partial, s.failed)
	}
	extra := map[string]int{}
	for _, a := range j.arrivals {
		if a.repeated {
			extra[a.pool]++
		}
	}
	return fmt.Sprintf("%sall: earned %.4f; arrivals %d, repeated by pool %v\n", out, earned/max(1, possible), len(j.arrivals), extra)
}
