// The journal of a simulation's network traffic. Its checks return the violations of one rule each.

package dispatch

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// arrival is an attempt that reached a backend.
type arrival struct {
	at, sentAt clock.Micros
	id, pool   string
	backend    *simBackend
	node       *simNode
	ran        bool
	repeated   bool
	warmingUp  bool
}

// clientAttempt is a request as a client sent it.
type clientAttempt struct {
	at   clock.Micros
	id   string
	kind *requestKind
}

// clientOutcome is the outcome that a client received for an attempt.
type clientOutcome struct {
	at      clock.Micros
	id      string
	kind    *requestKind
	outcome Outcome
}

// journal records the events of a simulation.
type journal struct {
	startedAt     clock.Micros
	attempts      []clientAttempt
	kinds         map[string]*requestKind
	arrivals      []*arrival
	arrivedBefore map[string]bool
	arrivalOf     map[*exchange]*arrival
	runs          map[string]int
	outcomes      []clientOutcome
	tallies       map[string]*tally
	seals         map[string]*exchange
	successSeals  map[string]bool
	bodies        map[string][]byte
	// misrouted describes the attempts that the newest snapshot of the sending node did not allow.
	misrouted []string
}

func (j *journal) init() {
	j.kinds, j.arrivedBefore, j.arrivalOf, j.runs = map[string]*requestKind{}, map[string]bool{}, map[*exchange]*arrival{}, map[string]int{}
	j.tallies, j.seals, j.successSeals, j.bodies = map[string]*tally{}, map[string]*exchange{}, map[string]bool{}, map[string][]byte{}
	for _, k := range requestKinds {
		j.tallies[k.name] = &tally{failed: map[int]int{}}
	}
}

func (j *journal) recordAttempt(at clock.Micros, id string, k *requestKind) {
	j.attempts = append(j.attempts, clientAttempt{at, id, k})
	j.kinds[id] = k
}

// recordSend checks an attempt against the newest snapshot of its node and records it as misrouted if it fails the
// check: the backend must be listed and neither draining nor in a drained zone, and the route must use the pool.
func (j *journal) recordSend(n *simNode, a Send) {
	p := n.snap.Pools[a.Pool.Name]
	if p == nil || !serves(n.snap.Routing.Match(a.Request.Host, a.Request.Path), a.Pool.Name) {
		j.misrouted = append(j.misrouted, a.Request.ID+" was sent to a pool that its route does not use: "+a.Pool.Name)
		return
	}
	for _, s := range p.Backends {
		if s.ID == a.Backend.ID && s.Health < snapshot.Draining {
			return
		}
	}
	j.misrouted = append(j.misrouted, a.Request.ID+" was sent to "+a.Backend.ID+", which is draining, in a drained zone or not listed")
}

func (j *journal) recordArrival(at clock.Micros, x *exchange) *arrival {
	key := x.id + " " + x.backend.pool
	a := &arrival{at: at, sentAt: x.sentAt, id: x.id, pool: x.backend.pool, backend: x.backend, node: x.node, repeated: j.arrivedBefore[key], warmingUp: at < x.backend.warmUntil}
	j.arrivedBefore[key] = true
	j.arrivals = append(j.arrivals, a)
	j.arrivalOf[x] = a
	return a
}

func (j *journal) recordRun(x *exchange) {
	j.arrivalOf[x].ran = true
	j.runs[x.id]++
}

func (j *journal) newSeal(x *exchange, ok bool) string {
	s := sealOf(len(j.seals), x)
	j.seals[s], j.successSeals[s] = x, ok
	return s
}

func (j *journal) recordOutcome(at clock.Micros, id string, k *requestKind, o Outcome) {
	j.outcomes = append(j.outcomes, clientOutcome{at, id, k, o})
}

// checkAtMostOnce checks that no request that must run at most once ran twice.
func (j *journal) checkAtMostOnce() (out []string) {
	runs := map[string]int{}
	for _, a := range j.arrivals {
		if a.ran && j.kinds[a.id].atMostOnce {
			if runs[a.id]++; runs[a.id] == 2 {
				out = append(out, "request that must run at most once ran twice: "+a.id)
			}
		}
	}
	return out
}

// checkRejectedNotRun checks requests that must run at most once: if a backend ran such a request, before or after its
// outcome, the status of the outcome must not promise that the request has not run.
func (j *journal) checkRejectedNotRun() (out []string) {
	ran := map[string]bool{}
	for _, a := range j.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	for _, t := range j.outcomes {
		if t.kind.atMostOnce && promisesNotRun(t.outcome.Status) && ran[t.id] {
			out = append(out, fmt.Sprintf("status %d promises that request %s has not run, but it ran", t.outcome.Status, t.id))
		}
	}
	return out
}

// checkRetryBudget checks that the repeated arrivals at each pool stay within its retry budget in every window. The
// number of requests is the greatest of that window and of the windows that begin half a window and a window earlier.
func (j *journal) checkRetryBudget(ratio, allowance float64, window clock.Micros, pools func(kind string) []string) (out []string) {
	requested := map[string][]clock.Micros{}
	for _, t := range j.attempts {
		for _, p := range pools(t.kind.name) {
			requested[p] = append(requested[p], t.at)
		}
	}
	extra := map[string][]clock.Micros{}
	for _, a := range j.arrivals {
		if a.repeated {
			extra[a.pool] = append(extra[a.pool], a.at)
		}
	}
	within := func(all []clock.Micros, from, to clock.Micros) int {
		i, _ := slices.BinarySearch(all, from)
		k, _ := slices.BinarySearch(all, to)
		return k - i
	}
	for pool, times := range extra {
		slices.Sort(times)
		for i, from := range times {
			k, _ := slices.BinarySearch(times, from+window)
			most := 0
			for _, back := range []clock.Micros{0, window / 2, window} {
				most = max(most, within(requested[pool], from-back, from-back+window))
			}
			if bound := ratio*float64(most) + allowance; float64(k-i) > bound {
				out = append(out, fmt.Sprintf("pool %s: %d repeated arrivals in the window from %d, limit %.1f", pool, k-i, from, bound))
				break
			}
		}
	}
	return out
}

// checkSlowStart checks that within a second no backend in slow start received more requests than perS, plus a
// tolerance of half of perS and 5 requests.
func (j *journal) checkSlowStart(perS float64) (out []string) {
	cold := map[*simBackend][]clock.Micros{}
	for _, a := range j.arrivals {
		if a.warmingUp {
			cold[a.backend] = append(cold[a.backend], a.at)
		}
	}
	for b, times := range cold {
		for i, from := range times {
			k, _ := slices.BinarySearch(times, from+1_000_000)
			if float64(k-i) > perS*1.5+5 {
				out = append(out, fmt.Sprintf("backend %s received %d requests within one second during slow start", b.id, k-i))
				break
			}
		}
	}
	return out
}

// arrivalsAt describes the attempts that reached a backend between two times.
func (j *journal) arrivalsAt(b *simBackend, from, to clock.Micros) (out []string) {
	for _, a := range j.arrivals {
		if a.backend == b && a.at > from && a.at < to {
			out = append(out, fmt.Sprintf("%s reached %s at %d", a.id, b.id, a.at))
		}
	}
	return out
}

// checkGathered checks every successful gathered response: it contains the greatest records of the shards that its
// seals identify; the seals belong to successful responses to the same request, at most one from each pool; all these
// pools are used by one version of the route, which has as many pools as the response has shards, including missing
// shards; and the response has at least the share of shards that least specifies.
func (j *journal) checkGathered(limit map[string]int, least map[string]float64, sets func(kind string) [][]string) (out []string) {
	for _, t := range j.outcomes {
		if t.outcome.Seals == nil || t.outcome.Status != 200 {
			continue
		}
		bad := func(why string) { out = append(out, t.id+": "+why) }
		var pools []string
		var all [][]byte
		for _, s := range t.outcome.Seals {
			x := j.seals[s]
			if x == nil || x.id != t.id || !j.successSeals[s] {
				bad("seal of no successful response to this request: " + s)
				continue
			}
			pools = append(pools, x.backend.pool)
			for body := j.bodies[s]; len(body) >= recordSize; body = body[recordSize:] {
				all = append(all, body[:recordSize])
			}
		}
		slices.Sort(pools)
		if len(slices.Compact(slices.Clone(pools))) != len(pools) {
			bad("response contains two shards of one pool")
		}
		if !slices.ContainsFunc(sets(t.kind.name), func(set []string) bool {
			return len(set) == len(pools)+t.outcome.Missing && !slices.ContainsFunc(pools, func(p string) bool { return !slices.Contains(set, p) })
		}) {
			bad("response has shards that match no version of the routing table: " + strings.Join(pools, " "))
		}
		if float64(len(pools)) < least[t.kind.name]*float64(len(pools)+t.outcome.Missing) {
			bad("response has too few shards")
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if !bytes.Equal(bytes.Join(all[:min(len(all), limit[t.kind.name])], nil), t.outcome.Body) {
			bad("body does not contain the greatest records")
		}
	}
	return out
}
