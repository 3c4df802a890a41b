// The list of known failures: each line has a test with its package, the cause
// of the failure, and the issue.

package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// maxEntries is the maximum number of known failures.
const maxEntries = 3

// entry is one known failure. The test has the form PACKAGE.TestName, with the package as go test prints it.
type entry struct{ test, cause, issue string }

// parseList parses the list. Empty lines and lines that begin with # are skipped.
func parseList(r io.Reader) ([]entry, error) {
	var out []entry
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, n, err)
		}
		out = append(out, e)
	}
	if len(out) > maxEntries {
		return nil, fmt.Errorf("%s: %d known failures, at most %d are allowed", listFile, len(out), maxEntries)
	}
	return out, lines.Err()
}

// parseEntry parses a line of the form "TEST, CAUSE, ISSUE". The cause may contain commas.
func parseEntry(line string) (entry, error) {
	test, rest, ok := strings.Cut(line, ",")
	last := strings.LastIndexByte(rest, ',')
	if !ok || last < 0 {
		return entry{}, fmt.Errorf("line is not of the form TEST, CAUSE, ISSUE: %q", line)
	}
	e := entry{test: strings.TrimSpace(test), cause: strings.TrimSpace(rest[:last]), issue: strings.TrimSpace(rest[last+1:])}
	if !strings.Contains(e.test, ".Test") || e.cause == "" || e.issue == "" {
		return entry{}, fmt.Errorf("line must have a test with its package, a cause and an issue: %q", line)
	}
	return e, nil
}
