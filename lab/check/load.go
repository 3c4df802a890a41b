// Checks of responses, retry budgets, slow starts and recovery.

package check

import (
	"math"
	"slices"

	"wallport/lab/records"
	"wallport/request/search"
	"wallport/runtime/clock"
)

// Search checks that a merged response is exact.
func (c *Checker) Search(index, query string, limit, required int, o *search.Outcome, shards map[string]int, at clock.Micros) {
	c.tested(BadMerge)
	n, ok := shards[o.Cut]
	if !ok {
		c.Fail(BadMerge, at, "%s names cut %q, which never was", o.ID, o.Cut)
		return
	}
	got := slices.Clone(o.Shards)
	slices.Sort(got)
	if len(slices.Compact(got)) != len(o.Shards) || len(o.Shards)+len(o.Missing) != n {
		c.Fail(BadMerge, at, "%s names shards %v and lacks %v of %d", o.ID, o.Shards, o.Missing, n)
	}
	if len(o.Shards)*100 < required*n {
		c.Fail(BadMerge, at, "%s has %d of %d shards, %d%% are required", o.ID, len(o.Shards), n, required)
	}
	if !slices.IsSortedFunc(o.Records, search.Before) {
		c.Fail(BadMerge, at, "%s is out of order", o.ID)
	}
	c.tested(NotComplete)
	if want := records.Merged(index, query, limit, o.Shards, n); !slices.Equal(want, o.Records) {
		c.Fail(NotComplete, at, "%s differs from the exact answer of its shards", o.ID)
	}
}

// Single checks that the response to a single request is exact.
func (c *Checker) Single(record string, o *search.Outcome, at clock.Micros) {
	c.tested(NotComplete)
	want, ok := records.Of(record)
	if !ok || len(o.Records) != 1 || o.Records[0] != want {
		c.Fail(NotComplete, at, "%s of %s got %v", o.ID, record, o.Records)
	}
}

// Budgets checks the retry budget in every ten seconds of every pool.
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
					c.Fail(Budget, start*clock.Second, "%s: %d extra tries beside %d first ones in 10 s", pool, e, f)
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

// SlowStartSlot is the width of the slots in which a cold server's work is counted.
const SlowStartSlot = 500 * clock.Millisecond

// SlowStart records a request to a shard: whether it went to a server that is cold since began, with a slow
// start of the given length, and which share a warm server would get of it.
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

// SlowStarts checks each cold server's work against twice the share that its slow start allows at the slot's
// end, plus the spread of chance and four requests.
func (c *Checker) SlowStarts() {
	var all int64
	ramp := 0.0
	defer func() {
		if ramp > 0 {
			// Over all cold servers together, where chance evens out.
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
				c.Fail(SlowStartExceeded, k.began+slot*SlowStartSlot, "%s got %d in slot %d, its ramp allows about %d", server, got, slot, allowed)
			}
		}
	}
}

// Served records a good response.
func (c *Checker) Served(at clock.Micros) { c.servedPerSecond[at/clock.Second]++ }

// Recovers checks that service is above a quarter of its former level in time after a total loss, from the
// seconds before the loss and those after the allowed time.
func (c *Checker) Recovers(lost, back clock.Micros) {
	c.tested(SlowBack)
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
		c.Fail(SlowBack, back+RecoverWithin, "%d answers in 4 s after the time to recover, %d before the loss", now, normal)
	}
}

// Proper checks that a request inside the limits is not rejected by us; why names what excuses a rejection,
// which is counted instead.
func (c *Checker) Proper(o *search.Outcome, at clock.Micros, why string) {
	c.tested(ProperRejected)
	if o.Code != search.CodeUnavailable && o.Code != search.CodeRateLimited {
		return
	}
	if why != "" {
		c.Count("refused_for."+why, 1)
		return
	}
	c.Fail(ProperRejected, at, "%s got %s: %s", o.ID, o.Code, o.Why)
}

// Aborted checks a request that was read and never answered.
func (c *Checker) Aborted(node string, at clock.Micros, planned bool) {
	c.tested(ReadAborted)
	if planned {
		c.Fail(ReadAborted, at, "%s cut an inquiry in its planned stop", node)
	}
}
