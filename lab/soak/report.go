// Evaluates the journal, the logs and the exits of a run.

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
	// Findings are the violations of rules and all other failures.
	Findings []string
	// Tested counts how often each rule was applied.
	Tested map[string]int64
	// Undecided describes histories that the checker could not decide within its bound: they count neither as passed
	// nor as findings.
	Undecided []string
	// Requests is the number of clients' attempts, Served the number of attempts that were served, Arrivals the number
	// of requests that reached backends, Changes the number of configuration changes, Acked the number of acknowledged
	// changes, and Starts the number of incarnations.
	Requests, Served, Arrivals, Changes, Acked, Starts int
}

// never is the time of events that have not happened.
const never = rules.Never

// undecidedMark occurs in the message of the history checker if it could not decide a history because too many commands
// without a final response overlapped.
const undecidedMark = "undecided after"

// untimedRules are the rules without time bounds, which must hold even on a busy machine.
var untimedRules = []string{"MIXED", "UNASKED", "TWICE", "REFUSED", "ROUTE", "HISTORY"}

// report checks the run. Violations of rules with time bounds are findings only with Options.Timed, and are logged
// otherwise. If there are findings, the operators' history is written to history.txt in the run's folder.
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
				r.logf("ignored violation of a rule with a time bound: %s", text)
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

// setArrivalMachines sets the machine of each arrival to the machine to which the client sent the attempt.
func (r *run) setArrivalMachines() {
	at := map[string]string{}
	for _, attempt := range r.journal.Attempts {
		at[attempt.ID] = attempt.Machine
	}
	for _, a := range r.journal.Arrivals {
		a.Machine = at[a.Attempt]
	}
}

// unexcusedFaults returns the faults that a process's logs and exits show, except exits that an incomplete settings
// file caused.
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

// abortedRequests returns a finding for each attempt that a healthy node aborted without a response although a backend
// had responded to it. A graceful stop of the node does not justify this.
func (r *run) abortedRequests() (out []string) {
	ran := map[string]bool{}
	for _, a := range r.journal.Arrivals {
		if a.Ran && a.Status == 200 && a.Answer != nil {
			ran[a.Attempt] = true
		}
	}
	c := r.journal.Bounds.ContactUs
	for _, attempt := range r.journal.Attempts {
		if !attempt.Aborted || !ran[attempt.ID] || r.journal.unplannedOnly.Of(attempt.Machine).Overlaps(attempt.Sent-c, attempt.Ended) {
			continue
		}
		out = append(out, fmt.Sprintf("CUT at %.3f s: %s ran and %s ended its connection without an answer", float64(attempt.Ended)/float64(clock.Second), attempt.ID, attempt.Machine))
	}
	return out
}

// readMetrics parses a metrics page into values by name, with labels.
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

// historyText returns the operators' commands and reads, one per line, for the investigation of findings.
func (r *run) historyText() string {
	var b strings.Builder
	r.journal.withLock(func() {
		for _, op := range r.journal.OperatorsHistory().Operations {
			fmt.Fprintf(&b, "%+v\n", op)
		}
	})
	return b.String()
}
