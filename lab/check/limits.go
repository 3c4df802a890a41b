// Checks of limits, both ways: over any ten seconds in which the configuration and the load stood still, a fleet
// admits no more than a tenth above a ceiling or a capacity, gives each kind its share, and leaves no requested
// capacity unused.

package check

import (
	"maps"
	"slices"

	"wallport/runtime/clock"
)

// OverLimit and UnderLimit name the two points.
const (
	OverLimit  = "over_limit"
	UnderLimit = "under_limit"
)

// Limits are those of a configuration, in requests a second; shares include booked slices.
type Limits struct {
	From     clock.Micros
	Capacity float64
	Shares   map[string]float64
	Ceilings map[string]float64
	// Spare is the capacity without the slices booked for others, by kind; Free is the capacity that is not
	// booked, Booked the kinds that have a slice.
	Spare  map[string]float64
	Free   float64
	Booked map[string]bool
}

type admissions struct{ arrived, admitted map[int64]int64 }

// LimitSettles is how long after a change the limits are not checked: 3 s for the configuration to be in force,
// and as long for the nodes to learn of each other's load.
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

// Limit sets the limits from a moment on; a change of the load is reported in the same way.
func (c *Checker) Limit(l Limits) { c.limits = append(c.limits, l) }

// Moved records that nodes left or joined, and the load with them: for a while capacity may be left unused, but
// no limit may be exceeded.
func (c *Checker) Moved(at clock.Micros) { c.membershipChanges = append(c.membershipChanges, at) }

// CheckLimits checks every window of ten seconds up to an end.
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
			c.Fail(OverLimit, at, "%s: %.0f let in within 10 s, the limit is %.0f", what, in, limit*10)
		}
	}
	under := func(what string, in, due float64) {
		if slices.ContainsFunc(c.membershipChanges, func(m int64) bool { return m > at-LimitSettles && m < at+10*clock.Second }) {
			return
		}
		c.tested(UnderLimit)
		if in < 0.9*due-10 {
			c.Fail(UnderLimit, at, "%s: %.0f let in within 10 s, %.0f were due", what, in, due)
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
