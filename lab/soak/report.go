// The report of a run.

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

// Report is the outcome of a run.
type Report struct {
	Seed uint64
	// Findings are the violated rules and other findings.
	Findings []string
	// Tested counts how often each rule was tested.
	Tested map[string]int64
	// Undecided are histories that the checker could not decide within its bound: neither passed nor a finding.
	Undecided []string
	// Requests, Served, Arrivals, Changes, Acked and Starts are counts of the run.
	Requests, Served, Arrivals, Changes, Acked, Starts int
}

// never is a moment that has not come.
const never = rules.Never

// undecidedMark is the text of the history checker's error for a history that it gave up: too many commands
// without a final answer overlapped.
const undecidedMark = "undecided after"

// untimedRules are the rules that hold however busy the machine is.
var untimedRules = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "HISTORY"}

// report checks the run. Violations of rules with time bounds count only if that was asked for.
func (r *run) report() *Report {
	out := &Report{Seed: r.options.Seed, Findings: slices.Clone(r.findings)}
	r.journal.withLock(func() {
		r.journal.End = r.journal.now()
		r.setArrivalMachines()
		r.journal.Check()
		for _, f := range r.journal.Findings {
			text := fmt.Sprintf("%s at %.3f s: %s (%d in all)", f.Rule, float64(f.At)/float64(clock.Second), f.Text, r.journal.Broken[f.Rule])
			switch {
			case strings.Contains(f.Text, undecidedMark):
				out.Undecided = append(out.Undecided, text)
			case r.options.Timed || slices.Contains(untimedRules, f.Rule):
				out.Findings = append(out.Findings, text)
			default:
				r.logf("not judged, since it depends on time: %s", text)
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
		out.Findings = append(out.Findings, r.abortedRequests()...)
	})
	for _, d := range r.daemons {
		out.Starts += d.incarnations
		out.Findings = append(out.Findings, r.unexcusedFaults(d)...)
	}
	if r.options.Timed {
		out.Findings = append(out.Findings, r.overdue...)
	}
	if len(out.Findings) > 0 && r.options.Dir != "" {
		os.WriteFile(filepath.Join(r.options.Dir, "history.txt"), []byte(r.historyText()), 0o600)
	}
	return out
}

// setArrivalMachines sets for each arrival the machine to which the client had sent the request.
func (r *run) setArrivalMachines() {
	at := map[string]string{}
	for _, attempt := range r.journal.Attempts {
		at[attempt.ID] = attempt.Machine
	}
	for _, a := range r.journal.Arrivals {
		a.Machine = at[a.Attempt]
	}
}

// unexcusedFaults returns a process's faults, except for ends over an incomplete settings file.
func (r *run) unexcusedFaults(d *daemon) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range d.logFaults() {
		if !r.torn[d] || !strings.Contains(f, "exit status 3") {
			out = append(out, f)
		}
	}
	return out
}

// abortedRequests returns requests that a healthy node read completely and ended without a response, though the
// backend to which it had passed them had answered. A graceful stop is no excuse.
func (r *run) abortedRequests() (out []string) {
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

// readMetrics parses a page of metrics by name.
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

// historyText lists what operators did and read, for whoever investigates a finding.
func (r *run) historyText() string {
	var b strings.Builder
	r.journal.withLock(func() {
		for _, op := range r.journal.OperatorsHistory().Operations {
			fmt.Fprintf(&b, "%+v\n", op)
		}
	})
	return b.String()
}
