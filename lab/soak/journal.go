// The journal of a run: what clients, backends and operators observed, in the form that the platform's rules
// check.

package soak

import (
	"sync"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// journal collects observations from any goroutine.
type journal struct {
	mu    sync.Mutex
	began time.Time
	rules.Journal
	// unplannedOnly holds each machine's faults that are not planned work: only these excuse an aborted request.
	unplannedOnly rules.FaultSpans
}

func newJournal() *journal {
	j := &journal{began: time.Now()}
	j.Bounds = bounds()
	j.Faults.Machines = map[string]*rules.Spans{}
	return j
}

// now returns the time since the start of the run, in microseconds.
func (j *journal) now() int64 { return time.Since(j.began).Microseconds() }

// with runs f under the journal's lock.
func (j *journal) withLock(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// faultSpan is an active fault: where it counts, and whether it is planned work.
type faultSpan struct {
	machines      []string
	disruptsCores bool
	planned       bool
}

// beginFault and endFault record a fault's begin and end. Overlapping faults count until the last of them ends.
func (j *journal) beginFault(s faultSpan) { j.setFault(s, true) }
func (j *journal) endFault(s faultSpan)   { j.setFault(s, false) }

func (j *journal) setFault(s faultSpan, begins bool) {
	at := j.now()
	j.withLock(func() {
		for _, m := range s.machines {
			setSpan(j.Faults.Of(m), at, begins)
			if !s.planned {
				setSpan(j.unplannedOnly.Of(m), at, begins)
			}
		}
		if s.disruptsCores {
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

// setSpan begins a span, or ends the newest open one.
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
