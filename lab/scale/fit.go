// Package scale measures how the cost of the control plane per process grows with the size of the fleet, and fits
// slopes to the measurements. It runs real processes together with hollow ones, or a simulation. It is a test tool.
package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Fit is a line a + b n and a power law c n^e fitted to the same points by least squares, the power law on the
// logarithms. LineR2 is the share of the variance of the values that the line explains, PowerR2 the share of the
// variance of their logarithms that the power law explains.
type Fit struct {
	A, B, LineR2  float64
	C, E, PowerR2 float64
	Points        int
}

// Point is a value Y measured with N nodes.
type Point struct{ N, Y float64 }

// FitTo fits a line and a power law to points. Points with N or Y of 0 or less are ignored for the power law.
func FitTo(points []Point) Fit {
	f := Fit{Points: len(points)}
	f.A, f.B, f.LineR2 = line(points)
	var logs []Point
	for _, p := range points {
		if p.N > 0 && p.Y > 0 {
			logs = append(logs, Point{math.Log(p.N), math.Log(p.Y)})
		}
	}
	var a float64
	a, f.E, f.PowerR2 = line(logs)
	f.C = math.Exp(a)
	return f
}

func line(points []Point) (a, b, r2 float64) {
	n := float64(len(points))
	if n == 0 {
		return 0, 0, 0
	}
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.N/n, my+p.Y/n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.N - mx) * (p.N - mx)
		xy += (p.N - mx) * (p.Y - my)
		yy += (p.Y - my) * (p.Y - my)
	}
	if xx == 0 {
		return my, 0, 0
	}
	b = xy / xx
	if yy == 0 {
		return my, 0, 1
	}
	return my - b*mx, b, xy * xy / (xx * yy)
}

// At returns the line's value at n nodes.
func (f Fit) At(n float64) float64 { return f.A + f.B*n }

// String returns the line and the power law, "-" for fewer than two points.
func (f Fit) String() string {
	switch f.Points {
	case 0, 1:
		return "-"
	case 2:
		// A line through two points always fits them, so R2 would mean nothing.
		return fmt.Sprintf("%.4g %+.4g n; n^%.2f (two points)", f.A, f.B, f.E)
	}
	return fmt.Sprintf("%.4g %+.4g n (R2 %.3f); n^%.2f (R2 %.3f)", f.A, f.B, f.LineR2, f.E, f.PowerR2)
}

// Steepest returns the greatest growth exponent between two successive sizes, -Inf if there is none. An exponent above
// 0.5 means that a count grows faster than the square root of the fleet size.
func Steepest(points []Point) (exponent float64) {
	p := slices.Clone(points)
	slices.SortFunc(p, func(a, b Point) int { return cmp.Compare(a.N, b.N) })
	exponent = math.Inf(-1)
	for i := 1; i < len(p); i++ {
		if p[i-1].Y <= 0 || p[i].N <= p[i-1].N {
			continue
		}
		exponent = max(exponent, math.Log(p[i].Y/p[i-1].Y)/math.Log(p[i].N/p[i-1].N))
	}
	return exponent
}

// Quantile returns the q-quantile of the values: the value with rank ceil(q n) among the n sorted values, 0 if there
// are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Clone(values)
	slices.Sort(v)
	return v[min(len(v)-1, max(0, int(math.Ceil(q*float64(len(v))))-1))]
}
