// The list of known failures: one line each, the test with its package, the
// cause, and the issue.

package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// maxEntries is how many known failures there may be.
const maxEntries = 3

// entry is one known failure. Its test is written PACKAGE.TestName, the package as go test prints it.
type entry struct{ test, cause, issue string }

// parseList reads the lines; empty ones and those that begin with # are passed over.
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
		return nil, fmt.Errorf("%s: %d lines, %d may be", listFile, len(out), maxEntries)
	}
	return out, lines.Err()
}

// parseEntry reads "TEST, CAUSE, ISSUE"; the cause may hold commas.
func parseEntry(line string) (entry, error) {
	test, rest, ok := strings.Cut(line, ",")
	last := strings.LastIndexByte(rest, ',')
	if !ok || last < 0 {
		return entry{}, fmt.Errorf("not of the form TEST, CAUSE, ISSUE: %q", line)
	}
	e := entry{test: strings.TrimSpace(test), cause: strings.TrimSpace(rest[:last]), issue: strings.TrimSpace(rest[last+1:])}
	if !strings.Contains(e.test, ".Test") || e.cause == "" || e.issue == "" {
		return entry{}, fmt.Errorf("a test with its package, a cause and an issue are needed: %q", line)
	}
	return e, nil
}
