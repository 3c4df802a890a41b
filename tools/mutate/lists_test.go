package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// A mutant whose old code is no longer in its file cannot be applied: the code of each entry must occur exactly once.
func TestMutantCodeOccursOnceInItsFile(t *testing.T) {
	t.Chdir("../..")
	lists, err := filepath.Glob("tools/mutate/*.txt")
	must.NoError(t, err)
	must.Positive(t, len(lists))
	for _, list := range lists {
		for _, m := range read(list) {
			source, err := os.ReadFile(m.file)
			must.NoError(t, err, must.Sprint(m.guard))
			must.Eq(t, 1, strings.Count(string(source), m.old), must.Sprintf("%s: %s: occurrences of the old code in %s", list, m.guard, m.file))
			must.True(t, m.test != "" || m.scenario != "", must.Sprint(m.guard))
		}
	}
}

// testFunction matches the declaration of a test function.
var testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// testsOf returns the names of the test functions of the package in dir.
func testsOf(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	must.NoError(t, err)
	var out []string
	for _, file := range files {
		source, err := os.ReadFile(file)
		must.NoError(t, err)
		for _, m := range testFunction.FindAllStringSubmatch(string(source), -1) {
			out = append(out, m[1])
		}
	}
	return out
}

// alternatives splits a -run pattern at the vertical bars outside parentheses.
func alternatives(pattern string) (out []string) {
	depth, from := 0, 0
	for i, r := range pattern {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == '|' && depth == 0:
			out = append(out, pattern[from:i])
			from = i + 1
		}
	}
	return append(out, pattern[from:])
}

func TestAlternativesIgnoresBarsInParentheses(t *testing.T) {
	must.Eq(t, []string{"A", "B/(c|d)", "E"}, alternatives("A|B/(c|d)|E"))
}

// If a -run pattern matches no test, go test passes and the mutant survives: each alternative must match a test.
func TestPatternsMatchTests(t *testing.T) {
	t.Chdir("../..")
	lists, err := filepath.Glob("tools/mutate/*.txt")
	must.NoError(t, err)
	for _, list := range lists {
		for _, m := range read(list) {
			args := strings.Fields(m.test)
			runIndex := slices.Index(args, "-run")
			if runIndex < 0 {
				continue
			}
			var names []string
			for _, arg := range slices.Delete(slices.Clone(args), runIndex, runIndex+2) {
				if strings.HasPrefix(arg, "./") {
					names = append(names, testsOf(t, arg)...)
				}
			}
			for _, alternative := range alternatives(args[runIndex+1]) {
				top, _, _ := strings.Cut(alternative, "/")
				pattern, err := regexp.Compile(top)
				must.NoError(t, err)
				test.True(t, slices.ContainsFunc(names, pattern.MatchString), test.Sprintf("%s: %s: no test matches %s", list, m.guard, alternative))
			}
		}
	}
}
