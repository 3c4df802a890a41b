// Package surface compares the program's external interface with golden lists: flags, settings,
// API calls, encodings, metrics and file names. The lists are generated from the source code,
// generated files and the built commands. They do not depend on the package of a declaration or
// on its name in Go.
//
// After an intended change of the interface, run: go test ./surface -update
package surface

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the golden files anew")

// root returns the module's folder: the nearest parent folder with a go.mod.
func root(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	must.NoError(t, err)
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		must.NotEq(t, dir, filepath.Dir(dir), must.Sprint("no parent of the test's folder has a go.mod"))
		dir = filepath.Dir(dir)
	}
}

// goldenSet sorts lines, removes duplicates, and compares the result with a file in testdata.
func goldenSet(t *testing.T, name string, lines []string) {
	t.Helper()
	slices.Sort(lines)
	goldenLines(t, name, slices.Compact(lines))
}

func goldenLines(t *testing.T, name string, lines []string) {
	t.Helper()
	must.SliceNotEmpty(t, lines)
	golden(t, name, strings.Join(lines, "\n")+"\n")
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	if string(want) != got {
		t.Errorf("the interface differs from %s (-want +got, no lines if only the order differs):\n%s", path, diff(string(want), got))
	}
}

// diff returns the lines that only one of the two texts has, with their line numbers.
func diff(want, got string) string {
	only := func(a, b, sign string) (out string) {
		unmatched := map[string]int{}
		for _, l := range strings.Split(b, "\n") {
			unmatched[l]++
		}
		for i, l := range strings.Split(a, "\n") {
			if unmatched[l]--; unmatched[l] < 0 {
				out += fmt.Sprintf("%s%d: %s\n", sign, i+1, l)
			}
		}
		return out
	}
	return only(want, got, "-") + only(got, want, "+")
}

func TestDiffShowsLinesOfOneSideOnly(t *testing.T) {
	must.Eq(t, "-2: b\n-4: c\n+3: d\n", diff("a\nb\nc\nc", "a\nc\nd"))
}

func TestDeployFileIsUnchanged(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(root(t), "deploy", "system.toml"))
	must.NoError(t, err)
	golden(t, "system.toml", string(b))
}
