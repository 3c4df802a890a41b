// What a run came to.

package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// Report is what a run came to.
type Report struct {
	Seed uint64
	// Findings are the broken rules and what else is wrong.
	Findings []string
	// Tested counts how often each rule was put to the test.
	Tested map[string]int64
	// Undecided are histories that the checker could not decide in its bound: not judged, and no finding.
	Undecided []string
	// Requests, Served, Arrivals, Changes, Acked and Starts are figures of the run.
	Requests, Served, Arrivals, Changes, Acked, Starts int
}

// never is a moment that has not come.
const never = rules.Never

// undecidedMark is what the checker of histories says of one that it gave up: too many orders without a
// clear answer were under way at once.
const undecidedMark = "undecided after"

// untimed are the rules that hold however busy the machine is.
var untimed = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "HISTORY"}

// report judges the run. Broken rules with bounds of time count where that was asked for.
func (r *run) report() *Report {
	out := &Report{Seed: r.options.Seed, Findings: slices.Clone(r.findings)}
	r.journal.with(func() {
		r.journal.End = r.journal.now()
		r.nameMachines()
		r.journal.Check()
		for _, f := range r.journal.Findings {
			text := fmt.Sprintf("%s at %.3f s: %s (%d in all)", f.Rule, float64(f.At)/float64(clock.Second), f.Text, r.journal.Broken[f.Rule])
			switch {
			case strings.Contains(f.Text, undecidedMark):
				out.Undecided = append(out.Undecided, text)
			case r.options.Timed || slices.Contains(untimed, f.Rule):
				out.Findings = append(out.Findings, text)
			default:
				r.say("not judged, since it depends on time: %s", text)
			}
		}
		out.Tested = r.journal.Tested
		out.Requests, out.Arrivals, out.Changes = len(r.journal.Attempts), len(r.journal.Arrivals), len(r.journal.Versions)
		for _, attempt := range r.journal.Attempts {
			if attempt.Served() {
				out.Served++
			}
		}
		for _, version := range r.journal.Versions {
			if version.Acked != never {
				out.Acked++
			}
		}
		out.Findings = append(out.Findings, r.networkPartitions()...)
	})
	for _, d := range r.daemons {
		out.Starts += d.incarnations
		out.Findings = append(out.Findings, r.explained(d)...)
	}
	if r.options.Timed {
		out.Findings = append(out.Findings, r.overdue...)
	}
	if len(out.Findings) > 0 && r.options.Dir != "" {
		os.WriteFile(filepath.Join(r.options.Dir, "history.txt"), []byte(r.historyText()), 0o600)
	}
	return out
}

// nameMachines notes for each arrival the machine that the client had sent the request to.
func (r *run) nameMachines() {
	at := map[string]string{}
	for _, attempt := range r.journal.Attempts {
		at[attempt.ID] = attempt.Machine
	}
	for _, a := range r.journal.Arrivals {
		a.Machine = at[a.Attempt]
	}
}

// explained are a process's faults, but for ends over a settings file that was in halves.
func (r *run) explained(d *daemon) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range d.logFaults() {
		if !r.torn[d] || !strings.Contains(f, "exit status 3") {
			out = append(out, f)
		}
	}
	return out
}

// networkPartitions lists requests that a node in order read from a connection in order and ended without an answer,
// though the backend that it had passed them on to had answered. A planned stop is no excuse.
func (r *run) networkPartitions() (out []string) {
	ran := map[string]bool{}
	for _, a := range r.journal.Arrivals {
		if a.Ran && a.Status == 200 && a.Answer != nil {
			ran[a.Attempt] = true
		}
	}
	c := r.journal.Bounds.ContactUs
	for _, attempt := range r.journal.Attempts {
		if !attempt.Aborted || !ran[attempt.ID] || r.journal.unplannedOnly.Of(attempt.Machine).Hit(attempt.Sent-c, attempt.Ended) {
			continue
		}
		out = append(out, fmt.Sprintf("CUT at %.3f s: %s ran and %s ended its connection without an answer", float64(attempt.Ended)/float64(clock.Second), attempt.ID, attempt.Machine))
	}
	return out
}

// readMetrics reads a page of figures, by name.
func readMetrics(r io.Reader) map[string]string {
	out := map[string]string{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok {
			out[name] = value
		}
	}
	return out
}

// historyText lists what operators did and read, for whoever looks into a finding.
func (r *run) historyText() string {
	var b strings.Builder
	r.journal.with(func() {
		for _, op := range r.journal.OperatorsHistory().Operations {
			fmt.Fprintf(&b, "%+v\n", op)
		}
	})
	return b.String()
}
