// The result of a run, from the events of go test -json: the tests that failed,
// passed or were skipped, and the packages that failed.

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is one event of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// The actions that end a test or a package.
const (
	passed  = "pass"
	failed  = "fail"
	skipped = "skip"
)

// outcome is the result of one run of go test.
type outcome struct {
	// tests maps each top-level test, PACKAGE.TestName, to its last action.
	tests map[string]string
	// packages contains the failed packages, crashed contains the packages in which a test terminated the whole test
	// binary.
	packages, crashed map[string]bool
}

func newOutcome() *outcome {
	return &outcome{tests: map[string]string{}, packages: map[string]bool{}, crashed: map[string]bool{}}
}

// read reads all events. It prints the output of failed tests and of packages.
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

// line handles one line. The output of a test is kept in printed until the test ends.
func (o *outcome) line(line []byte, printed map[string][]string, out io.Writer) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		// The line is not an event, but most likely output of the build.
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

// recordEnd records the end of a test or a package, and prints the output of a failed test.
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

// printUnfinished prints the output of those tests of a failed package that did not end: one of them terminated the
// test binary or did not return before the timeout.
func printUnfinished(name string, printed map[string][]string, out io.Writer) {
	for key, lines := range printed {
		if strings.HasPrefix(key, name+".Test") {
			io.WriteString(out, strings.Join(lines, ""))
		}
	}
}

// findProblems returns the problems of a run: failed tests that are not listed as known, and listed tests that passed
// or did not run. A failed package is a problem unless a known failure explains it and no test terminated its test
// binary. nonZeroExit is true if go test exited with an error.
func (o *outcome) findProblems(known []entry, nonZeroExit bool) []string {
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
		problems = append(problems, fmt.Sprintf("no test ran, and %d packages failed", len(o.packages)))
	}
	return problems
}

// packageOf returns the package of a test in the form PACKAGE.TestName.
func packageOf(test string) string { return test[:strings.LastIndex(test, ".Test")] }
