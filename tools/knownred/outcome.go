// What go test -json reported: which tests failed, passed or were skipped, and
// which packages failed without a test of theirs to show for it.

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// The actions that end a test or a package.
const (
	passed  = "pass"
	failed  = "fail"
	skipped = "skip"
)

// outcome gathers the events of one run.
type outcome struct {
	// tests holds the last action of each top-level test, by PACKAGE.TestName.
	tests map[string]string
	// packages holds the failed packages, crashed those in which a test ended the whole program.
	packages, crashed map[string]bool
}

func newOutcome() *outcome {
	return &outcome{tests: map[string]string{}, packages: map[string]bool{}, crashed: map[string]bool{}}
}

// read takes all events, and prints what the tests printed of failures and packages.
func (o *outcome) read(r *bufio.Reader, out io.Writer) error {
	printed := map[string][]string{}
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			o.line(line, printed, out)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// line takes one line. Output of a test is held until it is known whether the test failed.
func (o *outcome) line(line []byte, printed map[string][]string, out io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		// Not an event: of the build, most likely.
		out.Write(line)
		return
	}
	top, _, _ := strings.Cut(e.Test, "/")
	key := e.Package + "." + top
	switch e.Action {
	case "output":
		if strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ") {
			o.crashed[e.Package] = true
		}
		if e.Test == "" {
			io.WriteString(out, e.Output)
			return
		}
		printed[key] = append(printed[key], e.Output)
	case "build-output":
		io.WriteString(out, e.Output)
	case passed, failed, skipped:
		o.recordEnd(e, key, printed, out)
	}
}

// recordEnd takes the end of a test or a package.
func (o *outcome) recordEnd(e event, key string, printed map[string][]string, out io.Writer) {
	switch {
	case e.Test == "" && e.Action == failed:
		o.packages[e.Package] = true
		printUnfinished(e.Package, printed, out)
	case e.Test == "" || strings.Contains(e.Test, "/"):
	default:
		o.tests[key] = e.Action
		if e.Action == failed {
			io.WriteString(out, strings.Join(printed[key], ""))
		}
		delete(printed, key)
	}
}

// printUnfinished prints what tests of a failed package printed that have no end: one of them ended it, or hung.
func printUnfinished(name string, printed map[string][]string, out io.Writer) {
	for key, lines := range printed {
		if strings.HasPrefix(key, name+".Test") {
			io.WriteString(out, strings.Join(lines, ""))
		}
	}
}

// problems lists what is wrong in a run beside the known failures.
func (o *outcome) problems(known []entry, nonZeroExit bool) []string {
	var problems []string
	listed := map[string]bool{}
	for _, e := range known {
		listed[e.test] = true
		switch o.tests[e.test] {
		case passed:
			problems = append(problems, e.test+" is listed and passes: take it off the list")
		case "":
			problems = append(problems, e.test+" is listed and did not run")
		}
	}
	explained := map[string]bool{}
	for test, action := range o.tests {
		if action != failed {
			continue
		}
		if !listed[test] {
			problems = append(problems, test+" failed")
			continue
		}
		explained[packageOf(test)] = true
	}
	for name := range o.packages {
		if !explained[name] || o.crashed[name] {
			problems = append(problems, "package "+name+" failed")
		}
	}
	if nonZeroExit && len(o.packages) == 0 {
		problems = append(problems, "go test failed before any test ran")
	}
	if len(o.tests) == 0 {
		problems = append(problems, fmt.Sprintf("no test ran in %d failed packages", len(o.packages)))
	}
	return problems
}

// packageOf is the package of PACKAGE.TestName.
func packageOf(test string) string { return test[:strings.LastIndex(test, ".Test")] }
