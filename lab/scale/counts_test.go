// Tests of the verdicts on the growth of counts.

package scale

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/sim"
)

func TestVerdicts(t *testing.T) {
	grown := func(n int, bytes, steps float64) sim.FleetMeasurement {
		r := sim.Rates{BytesIn: bytes, Steps: steps}
		return sim.FleetMeasurement{FleetOptions: sim.FleetOptions{Nodes: n - 1, Cores: 1}, Phases: []sim.Phase{{Name: "rest", Node: r}}}
	}
	all := []sim.FleetMeasurement{grown(10, 100, 10), grown(40, 200, 10), grown(90, 500, 11)}
	over := map[string]float64{}
	for _, v := range Verdicts(all) {
		if v.Exceeds() {
			over[v.Name] = v.Exponent
		}
	}
	must.MapLen(t, 1, over)
	must.InDelta(t, 1.13, over["bytes in/s"], 0.01)
	var b strings.Builder
	must.NoError(t, ReportCounts(&b, all))
	must.StrContains(t, b.String(), "over")
	must.SliceEmpty(t, Verdicts(nil))
}
