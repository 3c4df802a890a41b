// The journal of a run: the observations of clients, backends and operators, in the form that the platform's rules
// check.

package soak

import (
	"sync"
	"time"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// journal collects observations. Its own methods may be called from any goroutine; the embedded journal may be accessed
// only under the lock.
type journal struct {
	mu    sync.Mutex
	began time.Time
	rules.Journal
	// unplannedOnly holds each machine's faults that are not planned work. Requests may be aborted only during these
	// faults.
	unplannedOnly rules.FaultSpans
}

func newJournal() *journal {
	j := &journal{began: time.Now()}
	j.Bounds = bounds()
	j.Faults.Machines = map[string]*rules.Spans{}
	return j
}

// now returns the time since the journal was created, in microseconds.
func (j *journal) now() int64 { return time.Since(j.began).Microseconds() }

// withLock calls f under the journal's lock.
func (j *journal) withLock(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// faultSpan describes a fault: the machines that it affects, whether it affects the cores, and whether it is planned
// work.
type faultSpan struct {
	machines      []string
	disruptsCores bool
	planned       bool
}

// beginFault records the start of a fault. Faults may overlap; each has its own span.
func (j *journal) beginFault(s faultSpan) { j.setFault(s, true) }

// endFault records the end of a fault.
func (j *journal) endFault(s faultSpan) { j.setFault(s, false) }

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

// setSpan begins a new span, or ends the newest span that is still open.
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
