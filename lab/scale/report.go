// The report of runs with several sizes: a table, slopes, plots and data files.

package scale

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
)

// figure is one row of the table: its name, its unit and how to read it from a run; ok is false if the run did not
// measure it.
type figure struct {
	name, unit string
	take       func(m Measured) (v float64, ok bool)
}

func phaseRate(phase, class string, take func(r Rates) float64) func(m Measured) (float64, bool) {
	return func(m Measured) (float64, bool) {
		r, ok := m.Phases[phase][class]
		return take(r), ok
	}
}

func timeQuantile(take func(m Measured) Times, pick func(t Times) int64) func(m Measured) (float64, bool) {
	return func(m Measured) (float64, bool) {
		t := take(m)
		return float64(pick(t)) / 1000, t.N > 0
	}
}

func p50(t Times) int64  { return t.P50 }
func p99(t Times) int64  { return t.P99 }
func most(t Times) int64 { return t.Most }

// figures are the rows of the table, in order.
var figures = []figure{
	{"hollow node at rest: processor", "% of a core", phaseRate("rest", "hollow", func(r Rates) float64 { return 100 * r.CPU })},
	{"real node at rest: processor", "% of a core", phaseRate("rest", "node", func(r Rates) float64 { return 100 * r.CPU })},
	{"real core at rest: processor", "% of a core", phaseRate("rest", "core", func(r Rates) float64 { return 100 * r.CPU })},
	{"hollow node at rest: frame bytes in", "B/s", phaseRate("rest", "hollow", func(r Rates) float64 { return r.FrameBytesIn })},
	{"hollow node at rest: frame bytes out", "B/s", phaseRate("rest", "hollow", func(r Rates) float64 { return r.FrameBytesOut })},
	{"real node at rest: bytes read", "B/s", phaseRate("rest", "node", func(r Rates) float64 { return r.Read })},
	{"real node at rest: bytes written", "B/s", phaseRate("rest", "node", func(r Rates) float64 { return r.Written })},
	{"real core at rest: frame bytes in", "B/s", phaseRate("rest", "core", func(r Rates) float64 { return r.FrameBytesIn })},
	{"real core at rest: frame bytes out", "B/s", phaseRate("rest", "core", func(r Rates) float64 { return r.FrameBytesOut })},
	{"hollow node at rest: frames in", "/s", phaseRate("rest", "hollow", func(r Rates) float64 { return r.FramesIn })},
	{"real core at rest: frames in", "/s", phaseRate("rest", "core", func(r Rates) float64 { return r.FramesIn })},
	{"hollow node at rest: steps", "/s", phaseRate("rest", "hollow", func(r Rates) float64 { return r.Steps })},
	{"real core at rest: steps", "/s", phaseRate("rest", "core", func(r Rates) float64 { return r.Steps })},
	{"real node: memory, peak of the start", "MB", phaseRate("start", "node", func(r Rates) float64 { return r.PeakRSSMost / (1 << 20) })},
	{"real node: memory, peak at rest", "MB", phaseRate("rest", "node", func(r Rates) float64 { return r.PeakRSSMost / (1 << 20) })},
	{"real core: memory, peak at rest", "MB", phaseRate("rest", "core", func(r Rates) float64 { return r.PeakRSSMost / (1 << 20) })},
	{"hollow node: memory at rest", "MB", phaseRate("rest", "hollow", func(r Rates) float64 { return r.RSS / (1 << 20) })},
	{"real node: sockets", "", phaseRate("rest", "node", func(r Rates) float64 { return r.Sockets })},
	{"real core: sockets", "", phaseRate("rest", "core", func(r Rates) float64 { return r.Sockets })},
	{"hollow node in the start: frame bytes in", "B/s", phaseRate("start", "hollow", func(r Rates) float64 { return r.FrameBytesIn })},
	{"hollow node in the start: processor", "% of a core", phaseRate("start", "hollow", func(r Rates) float64 { return 100 * r.CPU })},
	{"hollow node in changes: frame bytes in", "B/s", phaseRate("changes", "hollow", func(r Rates) float64 { return r.FrameBytesIn })},
	{"hollow node in a loss: frame bytes in", "B/s", phaseRate("loss", "hollow", func(r Rates) float64 { return r.FrameBytesIn })},
	{"hollow node in a join: frame bytes in", "B/s", phaseRate("join", "hollow", func(r Rates) float64 { return r.FrameBytesIn })},
	{"start until all are ready", "s", func(m Measured) (float64, bool) { return float64(m.ReadyUs) / 1e6, m.ReadyUs > 0 }},
	{"change: sent to acknowledged, p50", "ms", timeQuantile(func(m Measured) Times { return m.AckUs }, p50)},
	{"change: acknowledged to in force, p50", "ms", timeQuantile(func(m Measured) Times { return m.InForceUs }, p50)},
	{"change: acknowledged to in force, p99", "ms", timeQuantile(func(m Measured) Times { return m.InForceUs }, p99)},
	{"change: acknowledged to in force, most", "ms", timeQuantile(func(m Measured) Times { return m.InForceUs }, most)},
	{"lost node: noticed, p50", "ms", timeQuantile(func(m Measured) Times { return m.LostUs }, p50)},
	{"lost node: noticed, most", "ms", timeQuantile(func(m Measured) Times { return m.LostUs }, most)},
	{"new node: noticed, most", "ms", timeQuantile(func(m Measured) Times { return m.MetUs }, most)},
	{"longest wait of a loop", "ms", func(m Measured) (float64, bool) { return float64(m.LagUs) / 1000, true }},
	{"all processes: processor", "cores", func(m Measured) (float64, bool) { return m.CPUAll, m.CPUAll > 0 }},
	{"all processes: memory", "MB", func(m Measured) (float64, bool) { return float64(m.MemoryMost) / (1 << 20), true }},
}

// points returns the points of a figure over the runs that did not saturate the machine.
func points(all []Measured, g figure) (out []Point) {
	for _, m := range all {
		if v, ok := g.take(m); ok && !m.Saturated {
			out = append(out, Point{float64(m.Nodes), v})
		}
	}
	return out
}

// Report writes the table with the slopes, and plots if there are several runs. An asterisk marks saturated runs.
func Report(out io.Writer, all []Measured) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "nodes")
	for _, m := range all {
		mark := ""
		if m.Saturated {
			mark = "*"
		}
		fmt.Fprintf(w, "\t%d%s", m.Nodes, mark)
	}
	fmt.Fprintln(w, "\tline; power of n")
	for _, g := range figures {
		fmt.Fprint(w, g.name)
		if g.unit != "" {
			fmt.Fprint(w, ", "+g.unit)
		}
		for _, m := range all {
			if v, ok := g.take(m); ok {
				fmt.Fprintf(w, "\t%.4g", v)
			} else {
				fmt.Fprint(w, "\t-")
			}
		}
		fmt.Fprintf(w, "\t%s\n", FitTo(points(all, g)))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, m := range all {
		fmt.Fprintf(out, "%d nodes: %d cores, %d real nodes, %d hosts, %d backends, commit %s, %s, load %.1f before the idle phase, %d hollow nodes ready; pairs of node and change never in force %d, loss not observed by %d, join not observed by %d. %s\n",
			m.Nodes, m.Cores, m.Real, m.Hosts, m.Servers, m.Commit, m.Machine, m.Load, m.ReadyNodes, m.NeverInForce, m.LostSilent, m.MetSilent, m.Note)
	}
	if len(all) > 1 {
		for _, p := range plots {
			var s []Series
			for _, i := range p.figures {
				s = append(s, Series{figures[i].name, figures[i].mark(), points(all, figures[i])})
			}
			fmt.Fprintln(out)
			fmt.Fprint(out, Plot(p.title, s))
		}
	}
	return nil
}

func (g figure) mark() rune {
	for _, r := range g.name {
		if r == 'h' || r == 'r' {
			return r
		}
	}
	return '*'
}

var plots = []struct {
	title   string
	figures []int
}{
	{"processor of a process at rest, % of a core", []int{0, 1}},
	{"bytes a second at rest", []int{3, 5}},
}

// Write writes the runs to NAME.json and the table's figures to NAME.csv in a folder.
func Write(dir, name string, all []Measured) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	b, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(b, '\n'), 0o644); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, name+".csv"))
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	w.Write([]string{"figure", "unit", "nodes", "value", "saturated"})
	for _, g := range figures {
		for _, m := range all {
			if v, ok := g.take(m); ok {
				w.Write([]string{g.name, g.unit, fmt.Sprint(m.Nodes), fmt.Sprintf("%.6g", v), fmt.Sprint(m.Saturated)})
			}
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
