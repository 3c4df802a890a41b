// The verdict on growth, from a simulation: the frames and bytes that a process sends and receives, its steps and its
// open channels, counted for fleets of increasing size, must not grow faster than the square root of the fleet size.
// The counts are a function of sizes and seed, so the verdict is reproducible.

package scale

import (
	"fmt"
	"io"
	"text/tabwriter"

	"wallport/lab/sim"
)

// MaxExponent is the exponent of the square root, 0.5, plus a margin for the noise of small counts.
const MaxExponent = 0.55

// Verdict is the growth of one count of one role in one phase.
type Verdict struct {
	Phase, Role, Name string
	Points            []Point
	// Exponent is the greatest growth exponent between two successive sizes.
	Exponent float64
}

// Exceeds reports whether the count grows faster than allowed.
func (v Verdict) Exceeds() bool { return v.Exponent > MaxExponent }

// String returns the name of the count, its values and its exponent.
func (v Verdict) String() string {
	s := fmt.Sprintf("%s, %s, %s:", v.Phase, v.Role, v.Name)
	for _, p := range v.Points {
		s += fmt.Sprintf(" %.4g at %g,", p.Y, p.N)
	}
	return fmt.Sprintf("%s n^%.2f", s, v.Exponent)
}

// checkedCounts are the counts that may grow at most with the square root of the fleet size.
var checkedCounts = []struct {
	name string
	of   func(r sim.Rates) float64
}{
	{"frames in/s", func(r sim.Rates) float64 { return r.FramesIn }},
	{"frames out/s", func(r sim.Rates) float64 { return r.FramesOut }},
	{"bytes in/s", func(r sim.Rates) float64 { return r.BytesIn }},
	{"bytes out/s", func(r sim.Rates) float64 { return r.BytesOut }},
	{"bytes in/s, most", func(r sim.Rates) float64 { return r.MostIn }},
	{"bytes in, worst second", func(r sim.Rates) float64 { return r.PeakSecondIn }},
	{"bytes out, worst second", func(r sim.Rates) float64 { return r.PeakSecondOut }},
	{"steps/s", func(r sim.Rates) float64 { return r.Steps }},
	{"channels", func(r sim.Rates) float64 { return r.Channels }},
}

// Counts runs the simulation for each size.
func Counts(sizes []sim.FleetOptions) (all []sim.FleetMeasurement, err error) {
	for _, g := range sizes {
		r, err := sim.MeasureFleet(g)
		if err != nil {
			return all, fmt.Errorf("%d nodes: %w", g.Nodes, err)
		}
		all = append(all, r)
	}
	return all, nil
}

// Verdicts returns the verdict on every count of every phase and role.
func Verdicts(all []sim.FleetMeasurement) (out []Verdict) {
	if len(all) == 0 {
		return nil
	}
	for i, p := range all[0].Phases {
		for _, role := range []string{"node", "core"} {
			for _, j := range checkedCounts {
				v := Verdict{Phase: p.Name, Role: role, Name: j.name}
				for _, g := range all {
					r := g.Phases[i].Node
					if role == "core" {
						r = g.Phases[i].Core
					}
					v.Points = append(v.Points, Point{float64(g.Nodes + g.Cores), j.of(r)})
				}
				v.Exponent = Steepest(v.Points)
				out = append(out, v)
			}
		}
	}
	return out
}

// ReportCounts writes the counts, the traffic by kind of frame and the verdicts.
func ReportCounts(out io.Writer, all []sim.FleetMeasurement) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "phase\trole\tcount")
	for _, g := range all {
		fmt.Fprintf(w, "\t%d+%d, %d", g.Nodes, g.Cores, g.Servers)
	}
	fmt.Fprintln(w, "\tsteepest\t")
	for _, v := range Verdicts(all) {
		fmt.Fprintf(w, "%s\t%s\t%s", v.Phase, v.Role, v.Name)
		for _, p := range v.Points {
			fmt.Fprintf(w, "\t%.4g", p.Y)
		}
		mark := ""
		if v.Exceeds() {
			mark = "over"
		}
		fmt.Fprintf(w, "\tn^%.2f\t%s\n", v.Exponent, mark)
	}
	if len(all) > 0 {
		reportKinds(w, all)
	}
	for _, g := range all {
		fmt.Fprintf(w, "%d+%d: CPU use of one process, %% of a core of this machine:", g.Nodes, g.Cores)
		for _, p := range g.Phases {
			fmt.Fprintf(w, " %s %.2f", p.Name, 100*p.CPU)
		}
		fmt.Fprintln(w)
	}
	for _, g := range all {
		fmt.Fprintf(w, "%d+%d: ready after %.2f s; changes in force after", g.Nodes, g.Cores, float64(g.ReadyUs)/1e6)
		for _, us := range g.InForceUs {
			fmt.Fprintf(w, " %.1f", float64(us)/1000)
		}
		fmt.Fprintf(w, " ms; loss detected by all nodes after %.2f s, join after %.2f s\n", float64(g.LostUs)/1e6, float64(g.MetUs)/1e6)
	}
	return w.Flush()
}

// reportKinds writes the incoming frames and bytes per second of each kind of frame.
func reportKinds(w io.Writer, all []sim.FleetMeasurement) {
	for i, p := range all[0].Phases {
		for k := range sim.Kinds {
			for _, role := range []string{"node", "core"} {
				line, any := "", false
				for _, g := range all {
					r := g.Phases[i].Node
					if role == "core" {
						r = g.Phases[i].Core
					}
					any = any || r.KindIn[k].Frames > 0
					line += fmt.Sprintf("\t%.1f/s %.0f B/s", r.KindIn[k].Frames, r.KindIn[k].Bytes)
				}
				if any {
					fmt.Fprintf(w, "%s\t%s\tin: %s%s\t\t\n", p.Name, role, sim.KindNames[uint8(k)], line)
				}
			}
		}
	}
}
