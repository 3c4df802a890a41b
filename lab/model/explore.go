// Breadth-first exploration: the first violation found has a schedule of minimal length.

package model

import (
	"errors"
	"fmt"
	"strings"
)

// Bound limits an exploration by depth and number of states. An exploration has no time limit, so that its result is
// the same on every machine.
type Bound struct{ Depth, States int }

// Report is the outcome of an exploration.
type Report struct {
	// States counts the distinct states found, Transitions the actions applied; Depth is the length of the longest
	// schedule explored.
	States, Transitions, Depth int
	// Complete reports that no state was skipped within the depth bound.
	Complete bool
	// Steps counts the steps run on the product's code, Replayed the steps run again to rebuild a process, and
	// Processes the distinct states of single replicas.
	Steps, Replayed, Processes int
	Failure                    *Failure
}

func (r Report) String() string {
	extent := "complete"
	if !r.Complete {
		extent = "stopped at the bound on states"
	}
	return fmt.Sprintf("%d states, %d transitions, depth %d, %s; %d states of single replicas, %d steps of the product's code, %d steps repeated to rebuild processes",
		r.States, r.Transitions, r.Depth, extent, r.Processes, r.Steps, r.Replayed)
}

// Failure is a violated invariant and the schedule that leads to it.
type Failure struct {
	Violation error
	Schedule  []Action
}

func (f *Failure) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v\n", f.Violation)
	for i, a := range f.Schedule {
		fmt.Fprintf(&b, "%4d %v\n", i+1, a)
	}
	return b.String()
}

// Explore visits every reachable state within the bound once and stops at the first violation.
func (x *Explorer) Explore(bound Bound) Report {
	first, err := x.initial()
	if err != nil {
		return x.report(Report{Failure: &Failure{Violation: err}})
	}
	r := Report{States: 1, Complete: true}
	seen := map[digest]bool{first.key(): true}
	for frontier := []*system{first}; len(frontier) > 0 && r.Depth < bound.Depth; r.Depth++ {
		var next []*system
		for _, s := range frontier {
			for _, a := range x.enabled(s) {
				after, err := x.apply(s, a)
				r.Transitions++
				if err != nil {
					r.Depth++
					r.Failure = &Failure{Violation: err, Schedule: after.schedule()}
					return x.report(r)
				}
				key := after.key()
				if seen[key] {
					continue
				}
				if r.States >= bound.States {
					r.Complete = false
					return x.report(r)
				}
				seen[key] = true
				r.States++
				next = append(next, after)
			}
		}
		frontier = next
	}
	return x.report(r)
}

func (x *Explorer) report(r Report) Report {
	r.Steps, r.Replayed, r.Processes = x.runtime.Steps, x.runtime.Replayed, len(x.runtime.byState)
	return r
}

// Replay runs a schedule, skips actions that are not enabled, and returns the violation, or nil if there is none.
func (x *Explorer) Replay(schedule []Action) (*Failure, error) {
	s, err := x.initial()
	if err != nil {
		return nil, err
	}
	for _, a := range schedule {
		enabled, ok := x.find(s, a)
		if !ok {
			continue
		}
		next, err := x.apply(s, enabled)
		if err != nil {
			return &Failure{Violation: err, Schedule: next.schedule()}, nil
		}
		s = next
	}
	return nil, nil
}

// find returns the enabled action that is the same step as a.
func (x *Explorer) find(s *system, a Action) (Action, bool) {
	for _, b := range x.enabled(s) {
		if a.same(b) {
			return b, true
		}
	}
	return Action{}, false
}

// invariantOf returns the invariant that an error reports as violated, "" for other errors.
func invariantOf(err error) Invariant {
	var v *Violation
	if errors.As(err, &v) {
		return v.Invariant
	}
	return ""
}
