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
	at, sent int64
	id, pool string
	backend  *simBackend
	node     *simNode
	ran      bool
	extra    bool
	cold     bool
}

type tried struct {
	at   int64
	id   string
	kind *kind
}

type told struct {
	at   int64
	id   string
	kind *kind
	o    Outcome
}

type journal struct {
	began    int64
	tries    []tried
	kinds    map[string]*kind
	arrivals []*arrival
	first    map[string]bool
	of       map[*visit]*arrival
	runs     map[string]int
	told_    []told
	sums     map[string]*sum
	seals    map[string]*visit
	goods    map[string]bool
	bodies   map[string][]byte
	// astray are the asks that the sending node's own table does not allow.
	astray []string
}

func (j *journal) init() {
	j.kinds, j.first, j.of, j.runs = map[string]*kind{}, map[string]bool{}, map[*visit]*arrival{}, map[string]int{}
	j.sums, j.seals, j.goods, j.bodies = map[string]*sum{}, map[string]*visit{}, map[string]bool{}, map[string][]byte{}
	for _, k := range kinds {
		j.sums[k.name] = &sum{failed: map[int]int{}}
	}
}

func (j *journal) asked(at int64, id string, k *kind) {
	j.tries = append(j.tries, tried{at, id, k})
	j.kinds[id] = k
}

// asks judges an ask at once by the newest table of its node: the backend must not be leaving or in
// an evacuated zone, and the request must have its way to the pool.
func (j *journal) asks(n *simNode, a Send) {
	p := n.snap.Pools[a.Pool.Name]
	if p == nil || !serves(n.snap.Routing.Match(a.Request.Host, a.Request.Path), a.Pool.Name) {
		j.astray = append(j.astray, a.Request.ID+" sent to "+a.Pool.Name)
		return
	}
	for _, s := range p.Backends {
		if s.ID == a.Server.ID && s.Health < snapshot.Draining {
			return
		}
	}
	j.astray = append(j.astray, a.Request.ID+" sent to "+a.Server.ID+", which is to get nothing")
}

func (j *journal) arrived(at int64, v *visit) *arrival {
	key := v.id + " " + v.b.pool
	a := &arrival{at: at, sent: v.sent, id: v.id, pool: v.b.pool, backend: v.b, node: v.n, extra: j.first[key], cold: at < v.b.cold}
	j.first[key] = true
	j.arrivals = append(j.arrivals, a)
	j.of[v] = a
	return a
}

func (j *journal) ran(v *visit) {
	j.of[v].ran = true
	j.runs[v.id]++
}

func (j *journal) seal(v *visit, ok bool) string {
	s := sealOf(len(j.seals), v)
	j.seals[s], j.goods[s] = v, ok
	return s
}

func (j *journal) told(at int64, id string, k *kind, o Outcome) {
	j.told_ = append(j.told_, told{at, id, k, o})
}

// judgeTwice: what may not be repeated runs once at most.
func (j *journal) judgeTwice() (out []string) {
	runs := map[string]int{}
	for _, a := range j.arrivals {
		if a.ran && j.kinds[a.id].once {
			if runs[a.id]++; runs[a.id] == 2 {
				out = append(out, "ran twice: "+a.id)
			}
		}
	}
	return out
}

// judgeRefused: a promise is never given for what has run or runs later.
func (j *journal) judgeRefused() (out []string) {
	ran := map[string]bool{}
	for _, a := range j.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	for _, t := range j.told_ {
		if t.kind.once && promisesNotRun(t.o.Status) && ran[t.id] {
			out = append(out, fmt.Sprintf("%d told, but it ran: %s", t.o.Status, t.id))
		}
	}
	return out
}

// judgeBudget: in every window the extra arrivals of a pool stay inside its budget.
func (j *journal) judgeBudget(ratio, allowance float64, window int64, pools func(kind string) []string) (out []string) {
	asked := map[string][]int64{}
	for _, t := range j.tries {
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

// judgeRamp: no cold backend gets more requests in a second than its bound.
func (j *journal) judgeRamp(perS float64) (out []string) {
	cold := map[*simBackend][]int64{}
	for _, a := range j.arrivals {
		if a.cold {
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

// judgeAway: nothing reaches a backend later than a while after it was told that it must not.
func (j *journal) judgeAway(b *simBackend, from, to int64) (out []string) {
	for _, a := range j.arrivals {
		if a.backend == b && a.at > from && a.at < to {
			out = append(out, fmt.Sprintf("%s reached %s at %d", a.id, b.id, a.at))
		}
	}
	return out
}

// judgeGathered: a success is the greatest records of the parts that it names, which are good
// answers to this very request, one of a pool, and with the missing ones make up a version's pools.
func (j *journal) judgeGathered(limit map[string]int, least map[string]float64, sets func(kind string) [][]string) (out []string) {
	for _, t := range j.told_ {
		if t.o.Seals == nil || t.o.Status != 200 {
			continue
		}
		bad := func(why string) { out = append(out, t.id+": "+why) }
		var pools []string
		var all [][]byte
		for _, s := range t.o.Seals {
			v := j.seals[s]
			if v == nil || v.id != t.id || !j.goods[s] {
				bad("not a seal of this request: " + s)
				continue
			}
			pools = append(pools, v.b.pool)
			for body := j.bodies[s]; len(body) >= recordSize; body = body[recordSize:] {
				all = append(all, body[:recordSize])
			}
		}
		slices.Sort(pools)
		if len(slices.Compact(slices.Clone(pools))) != len(pools) {
			bad("two parts of one pool")
		}
		if !slices.ContainsFunc(sets(t.kind.name), func(set []string) bool {
			return len(set) == len(pools)+t.o.Missing && !slices.ContainsFunc(pools, func(p string) bool { return !slices.Contains(set, p) })
		}) {
			bad("parts of no version: " + strings.Join(pools, " "))
		}
		if float64(len(pools)) < least[t.kind.name]*float64(len(pools)+t.o.Missing) {
			bad("too few parts")
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if !bytes.Equal(bytes.Join(all[:min(len(all), limit[t.kind.name])], nil), t.o.Body) {
			bad("not the greatest records")
		}
	}
	return out
}
