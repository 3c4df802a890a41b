// Running a scenario under a seed, and comparing the outcome with what it expects.

package sim

import (
	"fmt"

	"wallport/lab/script"
	"wallport/runtime/invariant"
)

// Result is the outcome of one run.
type Result struct {
	Scenario string
	Seed     uint64
	Digest   uint64
	Lines    []string
	Counts   map[string]int64
	Tested   map[string]int64
	Faults   []string
}

// runToViolation runs the world to its end, or to the first invariant of the running code that does
// not hold, which it returns.
func (sim *Simulation) runToViolation() (violated string) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case invariant.Violation:
			violated = fmt.Sprintf("invariant %v, at %.3f s", v, float64(sim.now)/1e6)
		default:
			panic(v)
		}
	}()
	sim.Run()
	return ""
}

// Play runs a scenario under a seed and checks it.
func Play(s *script.Script, seed uint64, trace func(at int64, text string)) Result {
	invariant.SetFatal()
	sim := New(s, seed)
	sim.Trace = trace
	violated := sim.runToViolation()
	r := Result{Scenario: s.Name, Seed: seed, Digest: sim.Digest(), Lines: sim.Checker.Lines(), Counts: sim.Checker.Counts, Tested: sim.Checker.Tested}
	if violated != "" {
		r.Faults = append(r.Faults, violated)
	}
	for _, v := range sim.Checker.Violations {
		r.Faults = append(r.Faults, fmt.Sprintf("%s at %.3f s: %s", v.Point, float64(v.At)/1e6, v.Text))
	}
	for _, e := range s.Expects {
		if got := sim.Checker.Value(e.Name); !e.Met(got) {
			r.Faults = append(r.Faults, fmt.Sprintf("%s:%d: expected %s %s %d, saw %d", s.Name, e.Line, e.Name, e.Op, e.Want, got))
		}
	}
	return r
}
