// What the simulated deployment saw on its links, and a checker for each rule, which returns the violations.

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

// clientOutcome is what a client got for it.
type clientOutcome struct {
	at      clock.Micros
	id      string
	kind    *requestKind
	outcome Outcome
}

// journal is everything that happened.
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
	// misrouted are the attempts that the sending node's own snapshot does not allow.
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

// recordSend checks an attempt against the newest snapshot of its node: the backend must be neither draining nor in
// a drained zone, and the route must send to the pool.
func (j *journal) recordSend(n *simNode, a Send) {
	p := n.snap.Pools[a.Pool.Name]
	if p == nil || !serves(n.snap.Routing.Match(a.Request.Host, a.Request.Path), a.Pool.Name) {
		j.misrouted = append(j.misrouted, a.Request.ID+" sent to "+a.Pool.Name)
		return
	}
	for _, s := range p.Backends {
		if s.ID == a.Backend.ID && s.Health < snapshot.Draining {
			return
		}
	}
	j.misrouted = append(j.misrouted, a.Request.ID+" sent to "+a.Backend.ID+", which is to get nothing")
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

// checkAtMostOnce checks that what must not be repeated ran at most once.
func (j *journal) checkAtMostOnce() (out []string) {
	runs := map[string]int{}
	for _, a := range j.arrivals {
		if a.ran && j.kinds[a.id].atMostOnce {
			if runs[a.id]++; runs[a.id] == 2 {
				out = append(out, "ran twice: "+a.id)
			}
		}
	}
	return out
}

// checkRejectedNotRun checks that nothing that ran, then or later, was answered with a status that says it did not.
func (j *journal) checkRejectedNotRun() (out []string) {
	ran := map[string]bool{}
	for _, a := range j.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	for _, t := range j.outcomes {
		if t.kind.atMostOnce && promisesNotRun(t.outcome.Status) && ran[t.id] {
			out = append(out, fmt.Sprintf("%d told, but it ran: %s", t.outcome.Status, t.id))
		}
	}
	return out
}

// checkRetryBudget checks that in every window a pool's repeated arrivals stay within its budget.
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
				out = append(out, fmt.Sprintf("%s: %d extra arrivals in the window from %d, bound %.1f", pool, k-i, from, bound))
				break
			}
		}
	}
	return out
}

// checkSlowStart checks that no backend in slow start got more requests in a second than its bound.
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
				out = append(out, fmt.Sprintf("%s: %d requests in a second while cold", b.id, k-i))
				break
			}
		}
	}
	return out
}

// arrivalsAt returns what reached a backend between two moments.
func (j *journal) arrivalsAt(b *simBackend, from, to clock.Micros) (out []string) {
	for _, a := range j.arrivals {
		if a.backend == b && a.at > from && a.at < to {
			out = append(out, fmt.Sprintf("%s reached %s at %d", a.id, b.id, a.at))
		}
	}
	return out
}

// checkGathered checks that each gathered success holds the greatest records of the shards that it names, and that
// these are successes of this very request, one of a pool, which with the missing ones make up one version's pools.
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
				bad("not a seal of this request: " + s)
				continue
			}
			pools = append(pools, x.backend.pool)
			for body := j.bodies[s]; len(body) >= recordSize; body = body[recordSize:] {
				all = append(all, body[:recordSize])
			}
		}
		slices.Sort(pools)
		if len(slices.Compact(slices.Clone(pools))) != len(pools) {
			bad("two parts of one pool")
		}
		if !slices.ContainsFunc(sets(t.kind.name), func(set []string) bool {
			return len(set) == len(pools)+t.outcome.Missing && !slices.ContainsFunc(pools, func(p string) bool { return !slices.Contains(set, p) })
		}) {
			bad("parts of no version: " + strings.Join(pools, " "))
		}
		if float64(len(pools)) < least[t.kind.name]*float64(len(pools)+t.outcome.Missing) {
			bad("too few parts")
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if !bytes.Equal(bytes.Join(all[:min(len(all), limit[t.kind.name])], nil), t.outcome.Body) {
			bad("not the greatest records")
		}
	}
	return out
}
