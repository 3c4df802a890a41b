// What the world saw on its wires, and the judges of the rules. Each returns
// what breaks its rule.

package dispatch

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"wallport/request/snapshot"
)

type arrival struct {
	at, sentAt int64
	id, pool   string
	backend    *simBackend
	node       *simNode
	ran        bool
	extra      bool
	warmingUp  bool
}

type clientTry struct {
	at   int64
	id   string
	kind *requestKind
}

type clientOutcome struct {
	at      int64
	id      string
	kind    *requestKind
	outcome Outcome
}

type journal struct {
	began         int64
	attempts      []clientTry
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
	// misrouted are the asks that the sending node's own table does not allow.
	misrouted []string
}

func (j *journal) init() {
	j.kinds, j.arrivedBefore, j.arrivalOf, j.runs = map[string]*requestKind{}, map[string]bool{}, map[*exchange]*arrival{}, map[string]int{}
	j.tallies, j.seals, j.successSeals, j.bodies = map[string]*tally{}, map[string]*exchange{}, map[string]bool{}, map[string][]byte{}
	for _, k := range requestKinds {
		j.tallies[k.name] = &tally{failed: map[int]int{}}
	}
}

func (j *journal) recordAttempt(at int64, id string, k *requestKind) {
	j.attempts = append(j.attempts, clientTry{at, id, k})
	j.kinds[id] = k
}

// recordSend judges an ask at once by the newest table of its node: the backend must not be leaving or in
// an evacuated zone, and the request must have its way to the pool.
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

func (j *journal) recordArrival(at int64, v *exchange) *arrival {
	key := v.id + " " + v.backend.pool
	a := &arrival{at: at, sentAt: v.sentAt, id: v.id, pool: v.backend.pool, backend: v.backend, node: v.node, extra: j.arrivedBefore[key], warmingUp: at < v.backend.warmUntil}
	j.arrivedBefore[key] = true
	j.arrivals = append(j.arrivals, a)
	j.arrivalOf[v] = a
	return a
}

func (j *journal) recordRun(v *exchange) {
	j.arrivalOf[v].ran = true
	j.runs[v.id]++
}

func (j *journal) newSeal(v *exchange, ok bool) string {
	s := sealOf(len(j.seals), v)
	j.seals[s], j.successSeals[s] = v, ok
	return s
}

func (j *journal) recordOutcome(at int64, id string, k *requestKind, o Outcome) {
	j.outcomes = append(j.outcomes, clientOutcome{at, id, k, o})
}

// checkAtMostOnce: what may not be repeated runs once at most.
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

// checkRejectedNotRun: a promise is never given for what has run or runs later.
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

// checkRetryBudget: in every window the extra arrivals of a pool stay inside its budget.
func (j *journal) checkRetryBudget(ratio, allowance float64, window int64, pools func(kind string) []string) (out []string) {
	asked := map[string][]int64{}
	for _, t := range j.attempts {
		for _, p := range pools(t.kind.name) {
			asked[p] = append(asked[p], t.at)
		}
	}
	extra := map[string][]int64{}
	for _, a := range j.arrivals {
		if a.extra {
			extra[a.pool] = append(extra[a.pool], a.at)
		}
	}
	within := func(all []int64, from, to int64) int {
		i, _ := slices.BinarySearch(all, from)
		k, _ := slices.BinarySearch(all, to)
		return k - i
	}
	for pool, times := range extra {
		slices.Sort(times)
		for i, from := range times {
			k, _ := slices.BinarySearch(times, from+window)
			most := 0
			for _, back := range []int64{0, window / 2, window} {
				most = max(most, within(asked[pool], from-back, from-back+window))
			}
			if bound := ratio*float64(most) + allowance; float64(k-i) > bound {
				out = append(out, fmt.Sprintf("%s: %d extra arrivals in the window from %d, bound %.1f", pool, k-i, from, bound))
				break
			}
		}
	}
	return out
}

// checkSlowStart: no cold backend gets more requests in a second than its bound.
func (j *journal) checkSlowStart(perS float64) (out []string) {
	cold := map[*simBackend][]int64{}
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

// arrivalsAt: nothing reaches a backend later than a while after it was told that it must not.
func (j *journal) arrivalsAt(b *simBackend, from, to int64) (out []string) {
	for _, a := range j.arrivals {
		if a.backend == b && a.at > from && a.at < to {
			out = append(out, fmt.Sprintf("%s reached %s at %d", a.id, b.id, a.at))
		}
	}
	return out
}

// checkGathered: a success is the greatest records of the parts that it names, which are good
// answers to this very request, one of a pool, and with the missing ones make up a version's pools.
func (j *journal) checkGathered(limit map[string]int, least map[string]float64, sets func(kind string) [][]string) (out []string) {
	for _, t := range j.outcomes {
		if t.outcome.Seals == nil || t.outcome.Status != 200 {
			continue
		}
		bad := func(why string) { out = append(out, t.id+": "+why) }
		var pools []string
		var all [][]byte
		for _, s := range t.outcome.Seals {
			v := j.seals[s]
			if v == nil || v.id != t.id || !j.successSeals[s] {
				bad("not a seal of this request: " + s)
				continue
			}
			pools = append(pools, v.backend.pool)
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
