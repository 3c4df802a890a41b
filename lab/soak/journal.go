// The journal of a run: what clients, backends and operators saw, in the form in
// which the platform's rules judge it.

package soak

import (
	"sync"
	"time"

	"wallport/lab/rules"
)

// journal gathers what is seen, from any thread.
type journal struct {
	mu    sync.Mutex
	began time.Time
	rules.Journal
	// harsh are the troubles of each machine that are no planned work: only these excuse a request that is cut.
	harsh rules.Touch
}

func newJournal() *journal {
	j := &journal{began: time.Now()}
	j.Bounds = bounds()
	j.Touch.Trouble = map[string]*rules.Spans{}
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

// span is a trouble under way: where it counts, and whether it is planned work.
type span struct {
	machines  []string
	unsettles bool
	planned   bool
}

// open and close note a trouble's begin and end. A trouble that is under way in several ways at once
// counts until the last of them ends.
func (j *journal) open(s span)  { j.mark(s, true) }
func (j *journal) close(s span) { j.mark(s, false) }

func (j *journal) mark(s span, begins bool) {
	at := j.now()
	j.with(func() {
		for _, m := range s.machines {
			add(j.Touch.Of(m), at, begins)
			if !s.planned {
				add(j.harsh.Of(m), at, begins)
			}
		}
		if s.unsettles {
			add(&j.Touch.Unsettled, at, begins)
			add(&j.Touch.Halved, at, begins)
		}
		if s.planned {
			add(&j.Touch.Planned, at, begins)
		} else {
			add(&j.Touch.Unplanned, at, begins)
		}
	})
}

// add begins a stretch, or ends the newest one that is open.
func add(s *rules.Spans, at int64, begins bool) {
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
