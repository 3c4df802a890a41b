// The judge of limits, both ways: over any ten seconds in which the sheet and the load
// stood still, a fleet lets in no more than a tenth above a ceiling or a capacity, gives
// each kind its share, and leaves no room unused that somebody asked for.

package check

import (
	"maps"
	"slices"
)

// OverLimit and UnderLimit name the two ways.
const (
	OverLimit  = "over_limit"
	UnderLimit = "under_limit"
)

// Limits are what a sheet says, in inquiries a second; shares have booked slices in them.
type Limits struct {
	From     int64
	Capacity float64
	Shares   map[string]float64
	Ceilings map[string]float64
	// Spare is the capacity without the slices booked for others, by kind; Free is
	// what no slice is booked of, Booked the kinds that have one.
	Spare  map[string]float64
	Free   float64
	Booked map[string]bool
}

type admissions struct{ arrived, admitted map[int64]int64 }

// LimitSettles is how long after a change the limits are not judged: 3 s for the sheet
// to be in force and as long for the nodes to learn of each other's load.
const LimitSettles = 6_000_000

// Arrived notes an inquiry that was read, and whether the limits let it in.
func (j *Checker) Arrived(kind string, at int64, in bool) {
	for _, k := range []string{kind, ""} {
		c := j.admitted[k]
		if c == nil {
			c = &admissions{map[int64]int64{}, map[int64]int64{}}
			j.admitted[k] = c
		}
		c.arrived[at/1_000_000]++
		if in {
			c.admitted[at/1_000_000]++
		}
	}
}

// Limit says what holds from a moment on; a change of the load is told in the same way.
func (j *Checker) Limit(l Limits) { j.limits = append(j.limits, l) }

// Moved notes that nodes left or came, and the load with them: for a while after it
// room may be left unused, but no limit may be passed.
func (j *Checker) Moved(at int64) { j.moves = append(j.moves, at) }

// CheckLimits judges every window of ten seconds up to an end.
func (j *Checker) CheckLimits(end int64) {
	for i, l := range j.limits {
		to := end
		if i+1 < len(j.limits) {
			to = j.limits[i+1].From
		}
		for s := (l.From+LimitSettles)/1_000_000 + 1; (s+10)*1_000_000 <= to; s++ {
			j.limitWindow(l, s)
		}
	}
}

func (j *Checker) window(kind string, s int64) (came, in float64) {
	c := j.admitted[kind]
	for k := s; c != nil && k < s+10; k++ {
		came += float64(c.arrived[k])
		in += float64(c.admitted[k])
	}
	return came, in
}

func (j *Checker) limitWindow(l Limits, s int64) {
	at := s * 1_000_000
	over := func(what string, in, limit float64) {
		j.tested(OverLimit)
		j.Counts["most_of_limit_percent"] = max(j.Counts["most_of_limit_percent"], int64(in*10/limit))
		if in > 11*limit+10 {
			j.Fail(OverLimit, at, "%s: %.0f let in within 10 s, the limit is %.0f", what, in, limit*10)
		}
	}
	under := func(what string, in, due float64) {
		if slices.ContainsFunc(j.moves, func(m int64) bool { return m > at-LimitSettles && m < at+10_000_000 }) {
			return
		}
		j.tested(UnderLimit)
		if in < 0.9*due-10 {
			j.Fail(UnderLimit, at, "%s: %.0f let in within 10 s, %.0f were due", what, in, due)
		}
	}
	came, in := j.window("", s)
	over("the pool", in, l.Capacity)
	free, booked := 0.0, 0.0
	for _, kind := range slices.Sorted(maps.Keys(l.Shares)) {
		c, n := j.window(kind, s)
		most := l.Spare[kind]
		if ceil := l.Ceilings[kind]; ceil > 0 {
			over(kind, n, ceil)
			most = min(most, ceil)
		}
		under(kind, n, min(c, 10*min(l.Shares[kind], most)))
		if l.Booked[kind] {
			booked += min(c, 10*most)
		} else {
			free += min(c, 10*most)
		}
	}
	under("the pool", in, min(came, booked+min(free, 10*l.Free), 10*l.Capacity))
}
