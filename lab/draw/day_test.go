// Drawn days hold every kind of trouble that the platform lists, and every way.

package draw

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/script"
)

// enoughDays is how many days in a row hold everything.
const enoughDays = 400

func TestDrawnDaysCoverEveryKindAndMode(t *testing.T) {
	met := map[string]int{}
	for n := range uint64(enoughDays) {
		s, err := script.Parse("day", Day(n, "").Text)
		must.NoError(t, err)
		for _, step := range s.Steps {
			met[step.Verb]++
			for _, arg := range step.Args {
				how, ok := strings.CutPrefix(arg, "how=")
				if !ok {
					continue
				}
				for way := range strings.SplitSeq(how, ",") {
					met[step.Verb+"."+way]++
				}
			}
		}
	}
	kinds, ways := DayKinds()
	for _, name := range append(kinds, ways...) {
		must.Positive(t, met[name], must.Sprint(name))
	}
}

func TestDayIsAFunctionOfItsNumber(t *testing.T) {
	must.Eq(t, Day(7, "").Text, Day(7, "").Text)
	must.NotEq(t, Day(7, "").Text, Day(8, "").Text)
}
