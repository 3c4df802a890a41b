// Tests of fits, exponents, quantiles and the plot, on values of known functions.

package scale

import (
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func pointsOf(f func(n float64) float64) (out []Point) {
	for _, n := range []float64{10, 30, 100, 300, 600} {
		out = append(out, Point{n, f(n)})
	}
	return out
}

func near(t *testing.T, want, got float64) {
	t.Helper()
	must.InDelta(t, want, got, 1e-6*max(1, math.Abs(want)))
}

func TestFitToRecoversLine(t *testing.T) {
	f := FitTo(pointsOf(func(n float64) float64 { return 228 + 1305*n }))
	near(t, 228, f.A)
	near(t, 1305, f.B)
	near(t, 1, f.LineR2)
	near(t, 228+1305*1000, f.At(1000))
}

func TestFitToRecoversPowerLaw(t *testing.T) {
	f := FitTo(pointsOf(func(n float64) float64 { return 3 * math.Sqrt(n) }))
	near(t, 3, f.C)
	near(t, 0.5, f.E)
	near(t, 1, f.PowerR2)
}

func TestFitToWithoutGrowth(t *testing.T) {
	f := FitTo(pointsOf(func(float64) float64 { return 7 }))
	near(t, 7, f.A)
	near(t, 0, f.B)
	near(t, 0, f.E)
	f = FitTo([]Point{{10, 5}, {10, 7}})
	near(t, 6, f.A)
	near(t, 0, f.B)
	must.Eq(t, "-", FitTo(nil).String())
	must.Eq(t, "-", FitTo([]Point{{10, 1}}).String())
	must.StrContains(t, FitTo([]Point{{10, 1}, {20, 2}}).String(), "two points")
}

func TestSteepest(t *testing.T) {
	near(t, 0.5, Steepest(pointsOf(math.Sqrt)))
	near(t, 2, Steepest([]Point{{40, 2}, {10, 2}, {80, 8}}))
	must.True(t, math.IsInf(Steepest([]Point{{10, 0}, {40, 4}}), -1), must.Sprint("growth from 0 has no exponent"))
}

func TestQuantile(t *testing.T) {
	v := []float64{5, 1, 4, 2, 3}
	for q, want := range map[float64]float64{0: 1, 0.2: 1, 0.5: 3, 0.8: 4, 0.99: 5, 1: 5} {
		must.Eq(t, want, Quantile(v, q), must.Sprint(q))
	}
	must.Eq(t, []float64{5, 1, 4, 2, 3}, v, must.Sprint("the input must not be modified"))
	must.Eq(t, 0, Quantile(nil, 0.5))
}

func TestPlot(t *testing.T) {
	got := Plot("bytes", []Series{
		{"linear", 'l', pointsOf(func(n float64) float64 { return n })},
		{"level", 'c', pointsOf(func(float64) float64 { return 20 })},
	})
	lines := strings.Split(got, "\n")
	must.Eq(t, "bytes", lines[0])
	must.StrContains(t, lines[1], "1k |")
	must.StrContains(t, lines[plotHeight], "10 |l")
	must.StrContains(t, got, "10"+strings.Repeat(" ", plotWidth-2-len("600 nodes"))+"600 nodes")
	must.StrContains(t, got, "n^1.00")
	must.StrContains(t, got, "n^0.00")
	for _, l := range lines[1 : plotHeight+1] {
		must.LessEq(t, 10+plotWidth, len(l))
	}
	must.Eq(t, "none: no points\n", Plot("none", []Series{{"x", 'x', []Point{{10, 0}}}}))
	must.StrContains(t, Plot("one", []Series{{"x", 'x', []Point{{10, 5}}}}), "x")
}
