// A text plot of measurements over the number of nodes. Both axes are logarithmic, so that a power law is a straight
// line whose slope is its exponent.

package scale

import (
	"fmt"
	"math"
	"strings"
)

// Series is one line of a plot; its points are drawn as Mark.
type Series struct {
	Name   string
	Mark   rune
	Points []Point
}

// plotWidth and plotHeight are the size of the plot in characters.
const (
	plotWidth  = 61
	plotHeight = 16
)

// Plot draws series on common logarithmic axes. It omits points of 0 or less; where two points share a cell, it shows
// the later series.
func Plot(title string, all []Series) string {
	x0, x1, y0, y1 := math.Inf(1), math.Inf(-1), math.Inf(1), math.Inf(-1)
	each := func(f func(s Series, x, y float64)) {
		for _, s := range all {
			for _, p := range s.Points {
				if p.N > 0 && p.Y > 0 {
					f(s, math.Log10(p.N), math.Log10(p.Y))
				}
			}
		}
	}
	each(func(_ Series, x, y float64) {
		x0, x1, y0, y1 = min(x0, x), max(x1, x), min(y0, y), max(y1, y)
	})
	if math.IsInf(x0, 0) {
		return title + ": no points\n"
	}
	y0, y1 = math.Floor(y0), math.Ceil(y1)
	if y1 == y0 {
		y1++
	}
	if x1 == x0 {
		x1 = x0 + 1
	}
	grid := make([][]rune, plotHeight)
	for i := range grid {
		grid[i] = []rune(strings.Repeat(" ", plotWidth))
	}
	each(func(s Series, x, y float64) {
		c := int(math.Round((x - x0) / (x1 - x0) * (plotWidth - 1)))
		r := int(math.Round((y1 - y) / (y1 - y0) * (plotHeight - 1)))
		grid[r][c] = s.Mark
	})
	var b strings.Builder
	fmt.Fprintln(&b, title)
	for r, row := range grid {
		// Each power of ten labels the row nearest to it.
		label := ""
		for v := y0; v <= y1; v++ {
			if int(math.Round((y1-v)/(y1-y0)*(plotHeight-1))) == r {
				label = shortNumber(math.Pow(10, v))
			}
		}
		fmt.Fprintf(&b, "%8s |%s\n", label, strings.TrimRight(string(row), " "))
	}
	fmt.Fprintf(&b, "%8s +%s\n", "", strings.Repeat("-", plotWidth))
	left, right := shortNumber(math.Pow(10, x0)), shortNumber(math.Pow(10, x1))+" nodes"
	fmt.Fprintf(&b, "%8s  %s%s%s\n", "", left, strings.Repeat(" ", max(1, plotWidth-len(left)-len(right))), right)
	for _, s := range all {
		fmt.Fprintf(&b, "%8s  %c %s: %s\n", "", s.Mark, s.Name, FitTo(s.Points))
	}
	return b.String()
}

// shortNumber formats a number with three significant digits and a unit prefix.
func shortNumber(v float64) string {
	switch {
	case v >= 1e9:
		return fmt.Sprintf("%.3gG", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3gk", v/1e3)
	}
	return fmt.Sprintf("%.3g", v)
}
