package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A mutant whose code has moved proves nothing: each entry must name code that stands once in its file.
func TestEachMutantNamesCodeThatIsThere(t *testing.T) {
	t.Chdir("../..")
	lists, err := filepath.Glob("tools/mutate/*.txt")
	must.NoError(t, err)
	must.Positive(t, len(lists))
	for _, list := range lists {
		for _, m := range read(list) {
			source, err := os.ReadFile(m.file)
			must.NoError(t, err, must.Sprint(m.guard))
			must.Eq(t, 1, strings.Count(string(source), m.old), must.Sprintf("%s: %s: %s", list, m.guard, m.file))
			must.True(t, m.test != "" || m.scenario != "", must.Sprint(m.guard))
		}
	}
}
