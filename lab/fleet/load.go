// Load measurements on real processes: the same fleet shape under several loads and faults, each in a new fleet. If a
// second build is given, the runs alternate between the two builds, so that both are measured while the machine is in
// the same condition.

package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"wallport/lab/script"
)

// Case is one load to measure: LoadFactor multiplies the normal rate, Repeat is the share of keyed requests that are
// sent twice, Script holds the faults.
type Case struct {
	Name       string
	LoadFactor float64
	Repeat     float64
	Script     string
}

// Cases are the measured loads.
var Cases = []Case{
	{"normal", 1, 0.05, ""},
	{"1.5x", 1.5, 0.05, ""},
	{"3x", 3, 0.05, ""},
	{"one slow server", 1, 0.05, "at 1s fault c1-0-0 slow 200000"},
	{"a zone lost", 1, 0.05, "at 3s kill zone:z1"},
	{"retrying callers", 1, 0.9, ""},
}

// LoadOptions are the options of a load measurement. OtherBin is the folder of the second build, Rate the normal rate
// in requests per second.
type LoadOptions struct {
	Options
	OtherBin string
	Rate     float64
	Seconds  float64
	Rounds   int
	Only     string
}

// CaseResult holds one run's measurements; latencies are in microseconds.
type CaseResult struct {
	Good, P50, P99, Extra, Refused, Unknown, Partial, Violations int64
	Balance                                                      float64
}

// Load runs every case, or only the case that is named by o.Only, and writes a line for each build and round.
func Load(ctx context.Context, o LoadOptions, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "case\tbuild\tgood/s\tp50 us\tp99 us\textra tries\trefused\tunknown\tpartial\tbusiest/mean\tviolations")
	builds := map[string]string{"this": o.Bin}
	order := []string{"this"}
	if o.OtherBin != "" {
		builds["against"] = o.OtherBin
		order = []string{"against", "this"}
	}
	for _, c := range Cases {
		if o.Only != "" && o.Only != c.Name {
			continue
		}
		for round := range o.Rounds {
			for _, b := range order {
				r, err := o.runCase(ctx, c, builds[b], uint64(round+1))
				if err != nil {
					return fmt.Errorf("%s, %s: %w", c.Name, b, err)
				}
				fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\n", c.Name, b, float64(r.Good)/o.Seconds, r.P50, r.P99,
					r.Extra, r.Refused, r.Unknown, r.Partial, r.Balance, r.Violations)
				w.Flush()
			}
		}
	}
	return nil
}

// runCase runs one case with one build, in a new folder.
func (o LoadOptions) runCase(ctx context.Context, c Case, bin string, seed uint64) (CaseResult, error) {
	s, err := script.Parse(c.Name, c.Script)
	if err != nil {
		return CaseResult{}, err
	}
	dir, err := os.MkdirTemp(o.Dir, "load-")
	if err != nil {
		return CaseResult{}, err
	}
	run := o.Options
	run.Dir, run.Bin = dir, bin
	if abs, err := filepath.Abs(bin); err == nil {
		run.Bin = abs
	}
	r, err := Run(ctx, RunOptions{Options: run, Rate: o.Rate * c.LoadFactor, Seconds: o.Seconds, Repeat: c.Repeat, Seed: seed, Script: s, StartupTimeout: time.Minute})
	if err != nil {
		return CaseResult{}, err
	}
	out := CaseResult{
		P50: r.Callers.LatencyUs["p50"], P99: r.Callers.LatencyUs["p99"], Extra: r.Counts["extra_tries"], Partial: int64(r.Callers.Partial),
		Violations: int64(len(r.Violations)), Balance: r.Balance,
	}
	for _, kind := range []string{"search", "read", "correct", "part"} {
		out.Good += int64(r.Callers.Outcomes[kind+" ok"])
		out.Refused += int64(r.Callers.Outcomes[kind+" over_ceiling"] + r.Callers.Outcomes[kind+" shed"])
		out.Unknown += int64(r.Callers.Outcomes[kind+" outcome_unknown"] + r.Callers.Outcomes[kind+" given_up"])
	}
	return out, nil
}
