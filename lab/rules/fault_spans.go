// Which machines were in contact when. Rules with a time bound apply to machines without a fault of their own
// for a while, as long as the core was settled.

package rules

import (
	"slices"

	"wallport/runtime/clock"
)

// Span is a span of time; To is Never while it lasts. A span whose From equals To is a moment.
type Span struct{ From, To clock.Micros }

// Spans is a list of spans in order.
type Spans []Span

// Open starts a span unless one is open.
func (s *Spans) Open(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, Never})
	}
}

// Close ends the open span.
func (s *Spans) Close(at clock.Micros) {
	if n := len(*s); n > 0 && (*s)[n-1].To == Never {
		(*s)[n-1].To = at
	}
}

// Set opens or closes a span.
func (s *Spans) Set(at clock.Micros, on bool) {
	if on {
		s.Open(at)
	} else {
		s.Close(at)
	}
}

// Moment records an event without duration.
func (s *Spans) Moment(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, at})
	}
}

// Hit reports whether any span overlaps the time from a to b, both included.
func (s Spans) Hit(a, b int64) bool {
	for _, v := range s {
		if v.From <= b && v.To >= a {
			return true
		}
	}
	return false
}

// FaultSpans holds when faults lasted.
type FaultSpans struct {
	// Machines holds each machine's own faults: its processes, disk, clock and links to the core.
	Machines map[string]*Spans
	// Unsettled holds what unsettles the core, NoMajority when half of it or less ran, connected and not slowed.
	Unsettled, NoMajority Spans
	// Unplanned holds all faults anywhere that are not planned work, Planned the planned work.
	Unplanned, Planned Spans
}

// plannedWorkTailUs is how long a version still counts as planned work after it is due everywhere.
const plannedWorkTailUs = clock.Second

// planned returns all planned work: that of the machines, and each configuration that may be in force, from when
// it was sent until some time after its acknowledgement.
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

// Settled reports whether the core was settled for all of the time from a to b.
func (t *FaultSpans) Settled(a, b, contact int64) bool { return !t.Unsettled.Hit(a-contact, b) }

// InContact reports whether a machine is in contact at a moment.
func (t *FaultSpans) InContact(machine string, at, contact clock.Micros) bool {
	return !t.Of(machine).Hit(at-contact, at) && !t.Unsettled.Hit(at-contact, at)
}

// bound returns how long after an acknowledgement at acked a machine may take at the given time: the bound
// itself in contact, more while the core is unsettled; false means any time, as the machine is faulty itself.
func (j *Journal) bound(machine string, acked, at, bound clock.Micros) (int64, bool) {
	c := j.Bounds.ContactUs
	switch {
	case j.Faults.Of(machine).Hit(at-c, at):
		return 0, false
	case !j.Faults.Unsettled.Hit(at-c, at):
		return bound, true
	case j.Faults.NoMajority.Hit(acked-c, at):
		return 0, false
	}
	return bound + j.Bounds.StretchUs, true
}
