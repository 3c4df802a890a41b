// Tests that drawn days contain every kind of step and every mode that the platform lists, and that a day is
// determined by its number.

package draw

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/script"
)

// daysForCoverage is the number of consecutive days that together contain every kind and mode.
const daysForCoverage = 400

func TestDrawnDaysCoverEveryKindAndMode(t *testing.T) {
	seen := map[string]int{}
	for n := range uint64(daysForCoverage) {
		s, err := script.Parse("day", DayScenario(n, "").Text)
		must.NoError(t, err)
		for _, step := range s.Steps {
			seen[step.Verb]++
			for _, arg := range step.Args {
				how, ok := strings.CutPrefix(arg, "how=")
				if !ok {
					continue
				}
				for mode := range strings.SplitSeq(how, ",") {
					seen[step.Verb+"."+mode]++
				}
			}
		}
	}
	kinds, modes := DayKinds()
	for _, name := range append(kinds, modes...) {
		must.Positive(t, seen[name], must.Sprint(name))
	}
}

func TestDayIsAFunctionOfItsNumber(t *testing.T) {
	must.Eq(t, DayScenario(7, "").Text, DayScenario(7, "").Text)
	must.NotEq(t, DayScenario(7, "").Text, DayScenario(8, "").Text)
}
