// A few drawn days, one for each shape; lab sim --draw 400 --days --cover goes on.

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
		// The race run is for the code rather than the luck.
		days = 1
	}
	for n := range uint64(days) {
		s, err := script.Parse(fmt.Sprintf("day-%d", n), draw.Day(n, "").Text)
		must.NoError(t, err)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for _, v := range Play(s, n, nil).Faults {
				t.Error(v)
			}
		})
	}
}
