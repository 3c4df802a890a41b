// Command knownred runs the Go tests and accepts only the failures that are
// listed in KNOWN-RED.txt, which are known faults that are not fixed yet. The run
// also fails if a listed test passes or does not run, or if the file lists more
// than three tests.
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

// listFile lists the known failures. It is at the root of the source tree.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run reads the list, runs go test with args, and prints the known failures and the problems found to out.
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
	return report(out, result.findProblems(known, exit != nil), known)
}

// readList reads the list of known failures. If the file does not exist, the list is empty.
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

// report prints the known failures and the problems, and returns an error if there are problems.
func report(out io.Writer, problems []string, known []entry) error {
	for _, e := range known {
		fmt.Fprintf(out, "known red: %s, %s, %s\n", e.test, e.cause, e.issue)
	}
	slices.Sort(problems)
	for _, w := range problems {
		fmt.Fprintln(out, "knownred:", w)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems", len(problems))
	}
	return nil
}
