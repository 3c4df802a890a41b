// Which machines were in touch when: rules with a time bound apply to those
// that had no trouble of their own for a while, while the core was settled.

package rules

import (
	"slices"

	"wallport/runtime/clock"
)

// Span is a stretch of time; To is Never while it lasts. One with From equal to To is a moment.
type Span struct{ From, To clock.Micros }

// Spans is a list of stretches in order.
type Spans []Span

// Open begins a stretch, unless one is open.
func (s *Spans) Open(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, Never})
	}
}

// Close ends the open stretch.
func (s *Spans) Close(at clock.Micros) {
	if n := len(*s); n > 0 && (*s)[n-1].To == Never {
		(*s)[n-1].To = at
	}
}

// Set opens or closes.
func (s *Spans) Set(at clock.Micros, on bool) {
	if on {
		s.Open(at)
	} else {
		s.Close(at)
	}
}

// Moment notes something that takes no time.
func (s *Spans) Moment(at clock.Micros) {
	if n := len(*s); n == 0 || (*s)[n-1].To != Never {
		*s = append(*s, Span{at, at})
	}
}

// Hit reports whether any stretch meets the time from a to b, both included.
func (s Spans) Hit(a, b int64) bool {
	for _, v := range s {
		if v.From <= b && v.To >= a {
			return true
		}
	}
	return false
}

// FaultSpans holds the troubles of a day.
type FaultSpans struct {
	// Machines is each machine's own: its processes, its disk, its clock, its links to the core.
	Machines map[string]*Spans
	// Unsettled holds what unsettles the core, Halved the times in which half of it or less ran,
	// connected and not slowed.
	Unsettled, NoMajority Spans
	// Unplanned are all troubles that are no planned work, anywhere. Planned is planned work.
	Unplanned, Planned Spans
}

// settlesUs is how long after a version is due everywhere it still counts as planned work.
const settlesUs = clock.Second

// planned is all planned work: that of the machines, and each configuration that may be in force,
// from its sending until some time after its acknowledgement.
func (j *Journal) planned() Spans {
	spans := slices.Clone(j.Faults.Planned)
	for _, version := range j.Versions {
		switch {
		case version.Invalid || version.Refused != Never && version.Acked == Never:
		case version.Acked == Never:
			spans = append(spans, Span{version.Sent, Never})
		default:
			spans = append(spans, Span{version.Sent, version.Acked + j.Bounds.ApplyUs + settlesUs})
		}
	}
	return spans
}

// Of is the list of a machine's troubles.
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

// Settled tells that the core was settled for all of the time from a to b.
func (t *FaultSpans) Settled(a, b, contact int64) bool { return !t.Unsettled.Hit(a-contact, b) }

// InContact tells that a machine is in touch at a moment.
func (t *FaultSpans) InContact(machine string, at, contact clock.Micros) bool {
	return !t.Of(machine).Hit(at-contact, at) && !t.Unsettled.Hit(at-contact, at)
}

// bound is how long after an acknowledgement at `acked` a machine may take at `at`: the bound itself where
// it is in touch, more while the core is unsettled, and any time (false) where it is in trouble itself.
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
