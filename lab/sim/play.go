// Runs a scenario under a seed and compares the counts with the scenario's expectations.

package sim

import (
	"fmt"

	"wallport/lab/script"
	"wallport/runtime/invariant"
)

// Result is the outcome of one run. Counts and Lines hold the counters, Tested how often each check was exercised,
// and Faults the violations and unmet expectations.
type Result struct {
	Scenario string
	Seed     uint64
	Digest   uint64
	Lines    []string
	Counts   map[string]int64
	Tested   map[string]int64
	Faults   []string
}

// runToViolation runs the simulation to its end or to the first violated invariant of the product's code, which it
// returns as text; empty if there is none.
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

// Run runs a scenario under a seed and returns its result. trace, if not nil, is called for every event.
func Run(s *script.Script, seed uint64, trace func(at int64, text string)) Result {
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
			r.Faults = append(r.Faults, fmt.Sprintf("%s:%d: expected %s %s %d, got %d", s.Name, e.Line, e.Name, e.Op, e.Want, got))
		}
	}
	return r
}
