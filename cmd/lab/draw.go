// Random scenarios: their generation, the shrinking of a failing scenario, and the matrix
// that shows how often each pair of failures was combined.

package main

import (
	"fmt"
	"strings"

	"wallport/lab/draw"
	"wallport/lab/fleet"
	"wallport/lab/script"
	"wallport/lab/sim"
)

// drawJobs generates random scenarios and returns a job for each. Scenarios of failures for which no shape is set alternate
// between the two deployments by their numbers. The alternation is reversed after each round of all pairs of failures.
func (c *simCmd) drawJobs() ([]simJob, error) {
	var jobs []simJob
	pairCounts := map[string]map[string]int{}
	for i := range c.Draw {
		n := c.Seed + i
		if c.Days || c.Site != "" {
			d := draw.DayScenario(n, c.Site)
			if c.Show {
				fmt.Print(d.Text)
			}
			s, err := script.Parse(fmt.Sprintf("day-%d", n), d.Text)
			if err != nil {
				return nil, err
			}
			jobs = append(jobs, simJob{s: s, seed: n, text: d.Text})
			continue
		}
		shape := c.Shape
		if shape == "" {
			// With this order, every pair of failures runs on both shapes within two rounds of all pairs.
			shape = []string{"trust", "registry"}[(n+n/uint64(len(draw.FaultPairs())))%2]
		}
		d := draw.FleetScenario(n, fleet.Shapes[shape], c.Rate)
		if c.Show {
			fmt.Print(d.Text)
		}
		s, err := script.Parse(fmt.Sprintf("drawn-%d", n), d.Text)
		if err != nil {
			return nil, err
		}
		for _, a := range d.Faults {
			for _, b := range d.Faults {
				if pairCounts[a] == nil {
					pairCounts[a] = map[string]int{}
				}
				pairCounts[a][b]++
			}
		}
		jobs = append(jobs, simJob{s: s, seed: n, text: d.Text})
	}
	if c.Matrix {
		printMatrix(pairCounts)
	}
	return jobs, nil
}

// printMatrix prints how often each pair of failures was combined. The diagonal shows
// the number of scenarios with each failure.
func printMatrix(pairCounts map[string]map[string]int) {
	names := draw.FaultNames()
	never, least, most := 0, 1<<30, 0
	fmt.Printf("%-16s", "")
	for i := range names {
		fmt.Printf(" %3d", i)
	}
	fmt.Println()
	for i, a := range names {
		fmt.Printf("%2d %-13.13s", i, a)
		for _, b := range names {
			fmt.Printf(" %3d", pairCounts[a][b])
		}
		fmt.Println()
	}
	for _, p := range draw.FaultPairs() {
		n := pairCounts[p[0]][p[1]]
		least, most = min(least, n), max(most, n)
		if n == 0 {
			never++
		}
	}
	fmt.Printf("pairs=%d never=%d least=%d most=%d\n", len(draw.FaultPairs()), never, least, most)
}

// shrinkFailure returns the scenario of a failing run without the lines that are not needed to reproduce the failure. It
// returns an empty string without --shrink.
func (c *simCmd) shrinkFailure(j simJob, r sim.Result) string {
	if !c.Shrink {
		return ""
	}
	point, _, _ := strings.Cut(r.Faults[0], " at ")
	return draw.Shrink(j.text, func(s *script.Script) bool {
		for _, f := range sim.Run(s, j.seed, nil).Faults {
			if strings.HasPrefix(f, point+" at ") {
				return true
			}
		}
		return false
	})
}
