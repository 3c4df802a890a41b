// The journal of a run: what clients, backends and operators saw, in the form in
// which the platform's rules judge it.

package soak

import (
	"sync"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// journal gathers what is seen, from any thread.
type journal struct {
	mu    sync.Mutex
	began time.Time
	rules.Journal
	// unplannedOnly are the troubles of each machine that are no planned work: only these excuse a request that is cut.
	unplannedOnly rules.FaultSpans
}

func newJournal() *journal {
	j := &journal{began: time.Now()}
	j.Bounds = bounds()
	j.Faults.Machines = map[string]*rules.Spans{}
	return j
}

// now is the time since the run's begin, in microseconds.
func (j *journal) now() int64 { return time.Since(j.began).Microseconds() }

// with changes the journal.
func (j *journal) with(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// faultSpan is a trouble under way: where it counts, and whether it is planned work.
type faultSpan struct {
	machines  []string
	unsettles bool
	planned   bool
}

// beginFault and close note a trouble's begin and end. A trouble that is under way in several ways at once
// counts until the last of them ends.
func (j *journal) beginFault(s faultSpan) { j.setFault(s, true) }
func (j *journal) endFault(s faultSpan)   { j.setFault(s, false) }

func (j *journal) setFault(s faultSpan, begins bool) {
	at := j.now()
	j.with(func() {
		for _, m := range s.machines {
			setSpan(j.Faults.Of(m), at, begins)
			if !s.planned {
				setSpan(j.unplannedOnly.Of(m), at, begins)
			}
		}
		if s.unsettles {
			setSpan(&j.Faults.Unsettled, at, begins)
			setSpan(&j.Faults.NoMajority, at, begins)
		}
		if s.planned {
			setSpan(&j.Faults.Planned, at, begins)
		} else {
			setSpan(&j.Faults.Unplanned, at, begins)
		}
	})
}

// setSpan begins a stretch, or ends the newest one that is open.
func setSpan(s *rules.Spans, at clock.Micros, begins bool) {
	if begins {
		*s = append(*s, rules.Span{From: at, To: rules.Never})
		return
	}
	for i := len(*s) - 1; i >= 0; i-- {
		if (*s)[i].To == rules.Never {
			(*s)[i].To = at
			return
		}
	}
}
