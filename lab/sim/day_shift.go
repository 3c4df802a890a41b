// Scenarios that are played once for each moment at which some of their steps
// may come: a second loss at every quarter of a second after a repair, say.

package sim

import (
	"fmt"
	"maps"
	"slices"

	"wallport/lab/script"
	"wallport/runtime/clock"
)

// shiftedStep marks a step that comes later by the setting shift_ms.
const shiftedStep = "shifted=yes"

// shift is how much later a step comes than it says.
func (w *World) shift(st script.Step) clock.Micros {
	if slices.Contains(st.Args, shiftedStep) {
		return w.Script.Int("shift_ms", 0) * clock.Millisecond
	}
	return 0
}

// ShiftScripts are the same scenario once for each shift from none to a greatest one.
func ShiftScripts(s *script.Script, everyMs, mostMs int64) []*script.Script {
	var out []*script.Script
	for at := int64(0); at <= mostMs; at += everyMs {
		one := *s
		one.Set = maps.Clone(s.Set)
		one.Set["shift_ms"] = fmt.Sprint(at)
		out = append(out, &one)
	}
	return out
}
