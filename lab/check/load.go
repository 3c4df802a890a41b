// Checks of responses, retry budgets, slow starts and recovery.

package check

import (
	"math"
	"slices"

	"wallport/lab/records"
	"wallport/request/search"
	"wallport/runtime/clock"
)

// Search checks that a merged response is exact: it names a known shard map, lists each of the map's shards once as
// present or missing, has at least the required percentage of the shards, and equals the merge of the records of the
// present shards.
func (c *Checker) Search(index, query string, limit, required int, o *search.Outcome, shards map[string]int, at clock.Micros) {
	c.tested(BadMerge)
	n, ok := shards[o.Cut]
	if !ok {
		c.Fail(BadMerge, at, "%s names shard map %q, which never existed", o.ID, o.Cut)
		return
	}
	got := slices.Clone(o.Shards)
	slices.Sort(got)
	if len(slices.Compact(got)) != len(o.Shards) || len(o.Shards)+len(o.Missing) != n {
		c.Fail(BadMerge, at, "%s names shards %v as present and %v as missing, which are not exactly the %d shards", o.ID, o.Shards, o.Missing, n)
	}
	if len(o.Shards)*100 < required*n {
		c.Fail(BadMerge, at, "%s has %d of %d shards, at least %d%% are required", o.ID, len(o.Shards), n, required)
	}
	if !slices.IsSortedFunc(o.Records, search.Before) {
		c.Fail(BadMerge, at, "%s has records out of order", o.ID)
	}
	c.tested(NotComplete)
	if want := records.Merged(index, query, limit, o.Shards, n); !slices.Equal(want, o.Records) {
		c.Fail(NotComplete, at, "%s differs from the merge of its shards' records", o.ID)
	}
}

// Single checks that the response to a single request is exact.
func (c *Checker) Single(record string, o *search.Outcome, at clock.Micros) {
	c.tested(NotComplete)
	want, ok := records.Lookup(record)
	if !ok || len(o.Records) != 1 || o.Records[0] != want {
		c.Fail(NotComplete, at, "%s for record %s got %v, not exactly that record", o.ID, record, o.Records)
	}
}

// Budgets checks the retry budget of every pool: in any ten seconds the number of extra attempts is at most 60 plus a
// fifth of the number of first attempts.
func (c *Checker) Budgets() {
	for pool, extraAttempts := range c.extraAttempts {
		for sec := range extraAttempts {
			for start := sec - 9; start <= sec; start++ {
				var e, f int64
				for s := start; s < start+10; s++ {
					e += extraAttempts[s]
					f += c.firstAttempts[pool][s]
				}
				c.tested(Budget)
				if e > f/5+60 {
					c.Fail(Budget, start*clock.Second, "%s: %d extra attempts for %d first attempts within 10 s", pool, e, f)
				}
			}
		}
	}
}

type slowStartCount struct {
	began    clock.Micros
	duration clock.Micros
	slots    map[int64]int64
	fair     map[int64]int64
}

// SlowStartSlot is the width of the time slots in which the requests to a server in slow start are counted.
const SlowStartSlot = 500 * clock.Millisecond

// SlowStart records a request to a shard of which one server has been in slow start since began; the slow start lasts
// for the given duration. toServer reports whether the request went to that server; fair is the share of the request,
// in thousandths, that the server would get if it were warm.
func (c *Checker) SlowStart(server string, began, duration int64, at clock.Micros, toServer bool, fair int64) {
	k := c.slowStarts[server]
	if k == nil || k.began != began {
		k = &slowStartCount{began: began, duration: duration, slots: map[int64]int64{}, fair: map[int64]int64{}}
		c.slowStarts[server] = k
	}
	slot := (at - began) / SlowStartSlot
	if at-began > duration {
		return
	}
	k.fair[slot] += fair
	if toServer {
		k.slots[slot]++
	}
}

// SlowStarts checks that each server in slow start got, in each slot, at most twice the requests that its ramp allows at
// the slot's end, plus an allowance for random variation (twice the square root of that number) and four requests.
func (c *Checker) SlowStarts() {
	var all int64
	ramp := 0.0
	defer func() {
		if ramp > 0 {
			// The percentage is computed from the sums over all servers in slow start, in which random variation
			// averages out.
			c.Counts["cold_percent_of_ramp"] = int64(float64(all) * 100 / ramp)
		}
	}()
	for server, k := range c.slowStarts {
		for slot, fair := range k.fair {
			c.tested(SlowStartExceeded)
			warm := min(1000, max(100, (slot+1)*SlowStartSlot*1000/max(1, k.duration)))
			due := 2 * float64(fair*warm) / 1e6
			allowed := int64(due + 4 + 2*math.Sqrt(due))
			all, ramp = all+k.slots[slot], ramp+float64(fair*warm)/1e6
			if got := k.slots[slot]; got > allowed {
				c.Fail(SlowStartExceeded, k.began+slot*SlowStartSlot, "%s got %d requests in slot %d of its slow start, at most %d are allowed", server, got, slot, allowed)
			}
		}
	}
}

// Served records a successful response.
func (c *Checker) Served(at clock.Micros) { c.servedPerSecond[at/clock.Second]++ }

// Recovers checks that after a total loss the rate of successful responses is back in time to at least a quarter of
// its former level. It compares four seconds before the loss with the four seconds from RecoverWithin after back.
func (c *Checker) Recovers(lost, back clock.Micros) {
	c.tested(SlowRecovery)
	var normal, now int64
	from := lost/clock.Second - 5
	for s := from; s < from+4; s++ {
		normal += c.servedPerSecond[s]
	}
	from = (back + RecoverWithin) / clock.Second
	for s := from; s < from+4; s++ {
		now += c.servedPerSecond[s]
	}
	if normal == 0 || now*4 < normal {
		c.Fail(SlowRecovery, back+RecoverWithin, "%d successful responses in 4 s after the time to recover, %d in 4 s before the loss", now, normal)
	}
}

// CheckNotRejected checks that a request within the limits is not rejected by the product. If why is not empty, it
// names an excuse, and a rejection is only counted under that name.
func (c *Checker) CheckNotRejected(o *search.Outcome, at clock.Micros, why string) {
	c.tested(ProperRejected)
	if o.Code != search.CodeUnavailable && o.Code != search.CodeRateLimited {
		return
	}
	if why != "" {
		c.Count("refused_for."+why, 1)
		return
	}
	c.Fail(ProperRejected, at, "%s within the limits was rejected with %s: %s", o.ID, o.Code, o.Why)
}

// Aborted records a request that was read and never answered; that is a violation if the node stopped as planned.
func (c *Checker) Aborted(node string, at clock.Micros, planned bool) {
	c.tested(ReadAborted)
	if planned {
		c.Fail(ReadAborted, at, "%s aborted a request that it had read, during its planned stop", node)
	}
}
