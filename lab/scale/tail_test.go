// Tests of the tail latency of many parts: the formulas against their inverse, and the simulation, with a fixed seed,
// against the formulas.

package scale

import (
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestMaxSlowFraction(t *testing.T) {
	p := MaxSlowFraction(140, 0.01)
	must.InDelta(t, 7.1786e-5, p, 1e-8)
	must.InDelta(t, 0.01, 1-math.Pow(1-p, 140), 1e-9)
	twice := MaxSlowFractionWithHedge(140, 0.01)
	must.InDelta(t, 0.01, 1-math.Pow(1-twice*twice, 140), 1e-9)
	must.InDelta(t, 0.01, MaxSlowFraction(1, 0.01), 1e-12)
}

func TestDrawnTailAgreesWithTheFormula(t *testing.T) {
	// One in a thousand parts is slow; all other parts take the same time.
	p := Part{MedianUs: 1000, SlowShare: 0.001, SlowUs: 99_000}
	got := DrawTail(p, 140, 20_000, 50_000, []Policy{{HedgeQuantile: 1}, {HedgeQuantile: 0.99}}, 1)
	want := math.Pow(0.999, 140)
	must.InDelta(t, want, got[0].Within, 0.01)
	must.Eq(t, 100_000, got[0].P99)
	must.Eq(t, 0, got[0].Extra)
	must.InDelta(t, 0.001, got[1].Extra, 0.0002)
	must.InDelta(t, 1-140e-6, got[1].Within, 0.001)
	must.Eq(t, 2000, got[1].P99, must.Sprint("a slow part must be hedged after 1 ms and answered 1 ms later"))
}

func TestDrawTailIncludesPauses(t *testing.T) {
	p := Part{MedianUs: 1000, PauseUs: 40_000, PauseEveryUs: 4_000_000}
	got := DrawTail(p, 140, 5_000, 110_000, []Policy{{HedgeQuantile: 1}}, 2)[0]
	must.LessEq(t, 41_000, got.P999)
	must.Greater(t, 39_000, got.P99)
	must.InDelta(t, 1-math.Pow(0.99, 140), 1-shareUnder(p, 140, 1000.5), 0.02)
}

// shareUnder returns the share of requests that take at most us microseconds.
func shareUnder(p Part, parts int, us float64) float64 {
	return DrawTail(p, parts, 5_000, us, []Policy{{HedgeQuantile: 1}}, 3)[0].Within
}

func TestDrawTailAnswersWithoutMissingParts(t *testing.T) {
	p := Part{MedianUs: 1000, SlowShare: 0.01, SlowUs: 500_000}
	got := DrawTail(p, 100, 2_000, 110_000, []Policy{{HedgeQuantile: 1, PartialAnswerUs: 100_000}}, 4)[0]
	must.Eq(t, 1, got.Within)
	must.InDelta(t, 0.99, got.MeanParts, 0.002)
	must.InDelta(t, math.Pow(0.99, 100), got.Whole, 0.05)
}

func TestDrawTailIsDeterministic(t *testing.T) {
	p := Part{MedianUs: 7500, Sigma: 0.5}
	pol := []Policy{{HedgeQuantile: 0.95}}
	a, b, c := DrawTail(p, 140, 500, 110_000, pol, 7), DrawTail(p, 140, 500, 110_000, pol, 7), DrawTail(p, 140, 500, 110_000, pol, 8)
	must.Eq(t, a, b)
	must.NotEq(t, a, c)
	var out strings.Builder
	must.NoError(t, ReportTail(&out, p, 140, 100, 110_000, pol, 7))
	must.StrContains(t, out.String(), "seed 7")
}
