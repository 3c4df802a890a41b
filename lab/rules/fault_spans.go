// The spans of time in which machines were faulty or the core was unsettled. A rule with a time bound does not apply
// to a machine that had a fault within the last ContactUs. If the core was unsettled within that time, the rule
// either does not apply or has a longer bound.

package rules

import (
	"slices"

	"wallport/runtime/clock"
)

// Span is a closed time interval; To is Never while the span is open. From equals To for an event without duration.
type Span struct{ From, To clock.Micros }

// Spans is a list of spans in chronological order.
type Spans []Span

// Open starts a span unless the last one is still open.
func (s *Spans) Open(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, Never})
	}
}

// Close ends the open span, if any.
func (s *Spans) Close(at clock.Micros) {
	if n := len(*s); n > 0 && (*s)[n-1].To == Never {
		(*s)[n-1].To = at
	}
}

// Set opens a span if on is true, and closes the open one otherwise.
func (s *Spans) Set(at clock.Micros, on bool) {
	if on {
		s.Open(at)
	} else {
		s.Close(at)
	}
}

// Instant records an event without duration, unless it falls into an open span.
func (s *Spans) Instant(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, at})
	}
}

// Overlaps reports whether any span overlaps the time from a to b, both included.
func (s Spans) Overlaps(a, b int64) bool {
	for _, v := range s {
		if v.From <= b && v.To >= a {
			return true
		}
	}
	return false
}

// FaultSpans holds the time spans of faults.
type FaultSpans struct {
	// Machines holds each machine's own faults: faults of its processes, disk, clock and links to the core.
	Machines map[string]*Spans
	// Unsettled holds the events that unsettle the core. In simulated days, NoMajority holds the spans in
	// which no core member with an unimpaired disk and normal speed reached a majority of running core members; in soak
	// tests, the spans of the faults that disrupt cores.
	Unsettled, NoMajority Spans
	// Unplanned holds the faults of all machines, except planned work; Planned holds the planned work.
	Unplanned, Planned Spans
}

// plannedWorkTailUs is the time for which a new version still counts as planned work after the time by which it has
// to be in force on all nodes.
const plannedWorkTailUs = clock.Second

// planned returns the spans of all planned work: the work on machines, and each configuration that may be in force,
// from the time at which it was sent until plannedWorkTailUs after the time by which it has to be in force on all
// nodes.
func (j *Journal) planned() Spans {
	spans := slices.Clone(j.Faults.Planned)
	for _, version := range j.Versions {
		switch {
		case version.Invalid || version.Refused != Never && version.Acked == Never:
		case version.Acked == Never:
			spans = append(spans, Span{version.Sent, Never})
		default:
			spans = append(spans, Span{version.Sent, version.Acked + j.Bounds.ApplyUs + plannedWorkTailUs})
		}
	}
	return spans
}

// Of returns the spans of a machine's faults.
func (t *FaultSpans) Of(machine string) *Spans {
	if t.Machines == nil {
		t.Machines = map[string]*Spans{}
	}
	s := t.Machines[machine]
	if s == nil {
		s = &Spans{}
		t.Machines[machine] = s
	}
	return s
}

// Settled reports whether no event unsettled the core from a-contact to b, both included.
func (t *FaultSpans) Settled(a, b, contact int64) bool { return !t.Unsettled.Overlaps(a-contact, b) }

// InContact reports whether a machine is in contact with the core at a time: from at-contact to at, the machine had
// no fault and no event unsettled the core.
func (t *FaultSpans) InContact(machine string, at, contact clock.Micros) bool {
	return !t.Of(machine).Overlaps(at-contact, at) && !t.Unsettled.Overlaps(at-contact, at)
}

// bound returns how long after an acknowledgement at acked a machine may take to apply the acknowledged command, as
// judged at the given time: the given bound if the core was settled for the last ContactUs, and StretchUs more
// otherwise. It returns false if there is no bound, because the machine itself had a fault within the last ContactUs,
// or because the core was not settled and had no majority at some time since ContactUs before acked.
func (j *Journal) bound(machine string, acked, at, bound clock.Micros) (int64, bool) {
	c := j.Bounds.ContactUs
	switch {
	case j.Faults.Of(machine).Overlaps(at-c, at):
		return 0, false
	case !j.Faults.Unsettled.Overlaps(at-c, at):
		return bound, true
	case j.Faults.NoMajority.Overlaps(acked-c, at):
		return 0, false
	}
	return bound + j.Bounds.StretchUs, true
}
