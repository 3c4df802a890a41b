// Checks of limits in both directions. Over any ten seconds in which the configuration and the load do not change, a
// fleet admits at most a tenth more than a ceiling or a capacity allows, gives each kind its share, and leaves no
// requested capacity unused.

package check

import (
	"maps"
	"slices"

	"wallport/runtime/clock"
)

// OverLimit and UnderLimit are the names of the rules against admitting too many and too few requests.
const (
	OverLimit  = "over_limit"
	UnderLimit = "under_limit"
)

// Limits holds the limits of a configuration, in requests per second. Shares, by kind, include booked slices.
type Limits struct {
	From     clock.Micros
	Capacity float64
	Shares   map[string]float64
	Ceilings map[string]float64
	// Spare is, by kind, the capacity minus the slices booked for other kinds. Free is the capacity that is not
	// booked. Booked holds the kinds that have a booked slice.
	Spare  map[string]float64
	Free   float64
	Booked map[string]bool
}

type admissions struct{ arrived, admitted map[int64]int64 }

// LimitSettles is the time after a change during which limits are not checked: 3 s until the configuration is in
// force, and another 3 s until the nodes have learned each other's load.
const LimitSettles = 6 * clock.Second

// Arrived records a request that was read, and whether the limits admitted it.
func (c *Checker) Arrived(kind string, at clock.Micros, in bool) {
	for _, k := range []string{kind, ""} {
		counts := c.admitted[k]
		if counts == nil {
			counts = &admissions{map[int64]int64{}, map[int64]int64{}}
			c.admitted[k] = counts
		}
		counts.arrived[at/clock.Second]++
		if in {
			counts.admitted[at/clock.Second]++
		}
	}
}

// Limit sets the limits from l.From on. A change of the load is reported the same way, as it also suspends the checks.
func (c *Checker) Limit(l Limits) { c.limits = append(c.limits, l) }

// MembershipChanged records that nodes joined or left and that load moved with them. For LimitSettles after that,
// capacity may be left unused, but no limit may be exceeded.
func (c *Checker) MembershipChanged(at clock.Micros) {
	c.membershipChanges = append(c.membershipChanges, at)
}

// CheckLimits checks every window of ten seconds, starting at each full second, that ends by the given time.
func (c *Checker) CheckLimits(end clock.Micros) {
	for i, l := range c.limits {
		to := end
		if i+1 < len(c.limits) {
			to = c.limits[i+1].From
		}
		for s := (l.From+LimitSettles)/clock.Second + 1; (s+10)*clock.Second <= to; s++ {
			c.checkWindow(l, s)
		}
	}
}

// window returns the requests of a kind that arrived and that were admitted in the ten seconds from second s.
func (c *Checker) window(kind string, s int64) (arrivals, in float64) {
	counts := c.admitted[kind]
	for k := s; counts != nil && k < s+10; k++ {
		arrivals += float64(counts.arrived[k])
		in += float64(counts.admitted[k])
	}
	return arrivals, in
}

func (c *Checker) checkWindow(l Limits, s int64) {
	at := s * clock.Second
	over := func(what string, in, limit float64) {
		c.tested(OverLimit)
		c.Counts["most_of_limit_percent"] = max(c.Counts["most_of_limit_percent"], int64(in*10/limit))
		if in > 11*limit+10 {
			c.Fail(OverLimit, at, "%s: %.0f requests admitted within 10 s, the limit is %.0f", what, in, limit*10)
		}
	}
	under := func(what string, in, due float64) {
		if slices.ContainsFunc(c.membershipChanges, func(m int64) bool { return m > at-LimitSettles && m < at+10*clock.Second }) {
			return
		}
		c.tested(UnderLimit)
		if in < 0.9*due-10 {
			c.Fail(UnderLimit, at, "%s: %.0f requests admitted within 10 s, at least 90%% of %.0f less 10 expected", what, in, due)
		}
	}
	arrivals, in := c.window("", s)
	over("the pool", in, l.Capacity)
	free, booked := 0.0, 0.0
	for _, kind := range slices.Sorted(maps.Keys(l.Shares)) {
		requested, n := c.window(kind, s)
		most := l.Spare[kind]
		if ceil := l.Ceilings[kind]; ceil > 0 {
			over(kind, n, ceil)
			most = min(most, ceil)
		}
		under(kind, n, min(requested, 10*min(l.Shares[kind], most)))
		if l.Booked[kind] {
			booked += min(requested, 10*most)
		} else {
			free += min(requested, 10*most)
		}
	}
	under("the pool", in, min(arrivals, booked+min(free, 10*l.Free), 10*l.Capacity))
}
