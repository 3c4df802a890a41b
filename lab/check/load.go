// The judges of answers, budgets, ramps and recovery.

package check

import (
	"math"
	"slices"

	"wallport/lab/records"
	"wallport/request/search"
)

// Search judges a merged answer exactly.
func (j *Checker) Search(index, query string, limit, required int, o *search.Outcome, shards map[string]int, at int64) {
	j.tested(BadMerge)
	n, ok := shards[o.Cut]
	if !ok {
		j.Fail(BadMerge, at, "%s names cut %q, which never was", o.ID, o.Cut)
		return
	}
	got := slices.Clone(o.Shards)
	slices.Sort(got)
	if len(slices.Compact(got)) != len(o.Shards) || len(o.Shards)+len(o.Missing) != n {
		j.Fail(BadMerge, at, "%s names shards %v and lacks %v of %d", o.ID, o.Shards, o.Missing, n)
	}
	if len(o.Shards)*100 < required*n {
		j.Fail(BadMerge, at, "%s has %d of %d shards, %d%% are required", o.ID, len(o.Shards), n, required)
	}
	if !slices.IsSortedFunc(o.Records, search.Before) {
		j.Fail(BadMerge, at, "%s is out of order", o.ID)
	}
	j.tested(NotComplete)
	if want := records.Merged(index, query, limit, o.Shards, n); !slices.Equal(want, o.Records) {
		j.Fail(NotComplete, at, "%s differs from the exact answer of its shards", o.ID)
	}
}

// Single judges the answer to a single inquiry exactly.
func (j *Checker) Single(record string, o *search.Outcome, at int64) {
	j.tested(NotComplete)
	want, ok := records.Of(record)
	if !ok || len(o.Records) != 1 || o.Records[0] != want {
		j.Fail(NotComplete, at, "%s of %s got %v", o.ID, record, o.Records)
	}
}

// Budgets checks every ten seconds of every pool.
func (j *Checker) Budgets() {
	for pool, extras := range j.extras {
		for sec := range extras {
			for start := sec - 9; start <= sec; start++ {
				var e, f int64
				for s := start; s < start+10; s++ {
					e += extras[s]
					f += j.firsts[pool][s]
				}
				j.tested(Budget)
				if e > f/5+60 {
					j.Fail(Budget, start*1_000_000, "%s: %d extra tries beside %d first ones in 10 s", pool, e, f)
				}
			}
		}
	}
}

type slowStartCount struct {
	began    int64
	duration int64
	slots    map[int64]int64
	fair     map[int64]int64
}

// SlowStartSlot is the width in which a cold server's work is counted.
const SlowStartSlot = 500_000

// SlowStart notes work to a shard: whether it went to a server that is cold since
// began, whose ramp takes so long, and what it would get of this if it were warm.
func (j *Checker) SlowStart(server string, began, ramp int64, at int64, mine bool, fair int64) {
	k := j.slowStarts[server]
	if k == nil || k.began != began {
		k = &slowStartCount{began: began, duration: ramp, slots: map[int64]int64{}, fair: map[int64]int64{}}
		j.slowStarts[server] = k
	}
	slot := (at - began) / SlowStartSlot
	if at-began > ramp {
		return
	}
	k.fair[slot] += fair
	if mine {
		k.slots[slot]++
	}
}

// SlowStarts checks each cold server's work against the share its ramp allows at
// the slot's end, twice over, with what chance may add and four besides.
func (j *Checker) SlowStarts() {
	var all int64
	ramp := 0.0
	defer func() {
		if ramp > 0 {
			// Of all cold servers together, where chance evens out.
			j.Counts["cold_percent_of_ramp"] = int64(float64(all) * 100 / ramp)
		}
	}()
	for server, k := range j.slowStarts {
		for slot, fair := range k.fair {
			j.tested(SlowStartExceeded)
			warm := min(1000, max(100, (slot+1)*SlowStartSlot*1000/max(1, k.duration)))
			due := 2 * float64(fair*warm) / 1e6
			allowed := int64(due + 4 + 2*math.Sqrt(due))
			all, ramp = all+k.slots[slot], ramp+float64(fair*warm)/1e6
			if got := k.slots[slot]; got > allowed {
				j.Fail(SlowStartExceeded, k.began+slot*SlowStartSlot, "%s got %d in slot %d, its ramp allows about %d", server, got, slot, allowed)
			}
		}
	}
}

// Served notes a good answer.
func (j *Checker) Served(at int64) { j.okSecond[at/1_000_000]++ }

// Recovers checks that service is back above a quarter in time after a total
// loss: the seconds before lost give what is normal, those after back what is.
func (j *Checker) Recovers(lost, back int64) {
	j.tested(SlowBack)
	var normal, now int64
	from := lost/1_000_000 - 5
	for s := from; s < from+4; s++ {
		normal += j.okSecond[s]
	}
	from = (back + RecoverWithin) / 1_000_000
	for s := from; s < from+4; s++ {
		now += j.okSecond[s]
	}
	if normal == 0 || now*4 < normal {
		j.Fail(SlowBack, back+RecoverWithin, "%d answers in 4 s after the time to recover, %d before the loss", now, normal)
	}
}

// Proper judges that an inquiry inside the limits is not refused by us; why
// tells what excuses a refusal, which is counted instead.
func (j *Checker) Proper(o *search.Outcome, at int64, why string) {
	j.tested(ProperRejected)
	if o.Code != search.CodeUnavailable && o.Code != search.CodeRateLimited {
		return
	}
	if why != "" {
		j.Count("refused_for."+why, 1)
		return
	}
	j.Fail(ProperRejected, at, "%s got %s: %s", o.ID, o.Code, o.Why)
}

// Aborted judges an inquiry that was read and never answered.
func (j *Checker) Aborted(node string, at int64, planned bool) {
	j.tested(ReadAborted)
	if planned {
		j.Fail(ReadAborted, at, "%s cut an inquiry in its planned stop", node)
	}
}
