// Command knownred runs the Go tests and lets just those failures pass that
// KNOWN-RED.txt lists: real faults that are known and not mended yet. A listed
// test that passes, or that is not there, fails the run, and so do more than
// three lines.
//
//	go run ./tools/knownred -- -count=1 ./...
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"slices"
)

// listFile holds the known failures, at the root of the tree.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run reads the list, runs go test with some arguments and judges what it reports.
func run(args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	known, err := readList(listFile)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	result := newOutcome()
	readErr := result.read(bufio.NewReader(events), out)
	exit := cmd.Wait()
	if readErr != nil {
		return readErr
	}
	return report(out, result.problems(known, exit != nil), known)
}

// readList reads the known failures; without the file there are none.
func readList(path string) ([]entry, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseList(f)
}

// report prints the known failures and what is wrong beside them.
func report(out io.Writer, problems []string, known []entry) error {
	for _, e := range known {
		fmt.Fprintf(out, "known red: %s, %s, %s\n", e.test, e.cause, e.issue)
	}
	slices.Sort(problems)
	for _, w := range problems {
		fmt.Fprintln(out, "knownred:", w)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d findings", len(problems))
	}
	return nil
}
