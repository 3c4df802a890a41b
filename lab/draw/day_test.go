// Drawn days hold every kind of trouble that the platform lists, and every way.

package draw

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/script"
)

// daysForCoverage is how many days in a row hold everything.
const daysForCoverage = 400

func TestDrawnDaysCoverEveryKindAndMode(t *testing.T) {
	seen := map[string]int{}
	for n := range uint64(daysForCoverage) {
		s, err := script.Parse("day", Day(n, "").Text)
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
	must.Eq(t, Day(7, "").Text, Day(7, "").Text)
	must.NotEq(t, Day(7, "").Text, Day(8, "").Text)
}
