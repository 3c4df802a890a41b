// Runs one drawn day for each entry of draw.Sites; "lab sim --draw 400 --days --cover" runs more.

package sim

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/draw"
	"wallport/lab/script"
)

func TestDrawnDays(t *testing.T) {
	days := len(draw.Sites)
	if testing.Short() {
		// With -short, under the race detector, one day is enough, because the test then looks for data races and not
		// for rare schedules.
		days = 1
	}
	for n := range uint64(days) {
		s, err := script.Parse(fmt.Sprintf("day-%d", n), draw.DayScenario(n, "").Text)
		must.NoError(t, err)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for _, v := range Run(s, n, nil).Faults {
				t.Error(v)
			}
		})
	}
}
