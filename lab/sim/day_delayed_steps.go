// Scenarios that are run several times with some of their steps delayed by different amounts, for example with a second
// loss at each quarter of a second after a repair.

package sim

import (
	"fmt"
	"maps"
	"slices"

	"wallport/lab/script"
	"wallport/runtime/clock"
)

// delayedStep is the argument of the steps that the setting shift_ms delays.
const delayedStep = "shifted=yes"

// scheduledDelay returns the delay of a step: shift_ms if the step is marked, otherwise 0.
func (sim *Simulation) scheduledDelay(st script.Step) clock.Micros {
	if slices.Contains(st.Args, delayedStep) {
		return sim.Script.Int("shift_ms", 0) * clock.Millisecond
	}
	return 0
}

// DelayedScripts returns copies of a scenario, one for each shift_ms from 0 to mostMs in steps of everyMs.
func DelayedScripts(s *script.Script, everyMs, mostMs int64) []*script.Script {
	var out []*script.Script
	for at := int64(0); at <= mostMs; at += everyMs {
		one := *s
		one.Set = maps.Clone(s.Set)
		one.Set["shift_ms"] = fmt.Sprint(at)
		out = append(out, &one)
	}
	return out
}
