// The pages that describe how requirements are tested name scenarios, fleet
// scripts, tests, mutants and points of the checkers. Every name must exist, and
// everything but the tests must be named on a page. The names are written in
// backquotes: scenario/NAME, fleet/NAME, test/NAME, mutant/GUARD, judge/POINT.

package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../../"

var named = regexp.MustCompile("`(scenario|fleet|test|mutant|judge)/([^`]+)`")

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, path))
	must.NoError(t, err)
	return string(b)
}

// existingNames returns the names of the scenarios, fleet scripts, mutants, checked points and tests in the source
// tree, as KIND/NAME.
func existingNames(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	files := func(kind, pattern string) {
		list, err := filepath.Glob(root + pattern)
		must.NoError(t, err)
		must.Positive(t, len(list), must.Sprint(pattern))
		for _, f := range list {
			out[kind+"/"+strings.TrimSuffix(filepath.Base(f), ".txt")] = true
		}
	}
	files("scenario", "scenarios/*.txt")
	files("fleet", "lab/fleet/scripts/*.txt")
	lists, err := filepath.Glob(root + "tools/mutate/*.txt")
	must.NoError(t, err)
	for _, list := range lists {
		for _, m := range regexp.MustCompile(`(?m)^guard: (.+)$`).FindAllStringSubmatch(read(t, "tools/mutate/"+filepath.Base(list)), -1) {
			out["mutant/"+m[1]] = true
		}
	}
	points := regexp.MustCompile(`(?m)^\t[A-Z]\w+ += "(\w+)"$`)
	for _, f := range []string{"lab/check/check.go", "lab/check/limits.go"} {
		for _, m := range points.FindAllStringSubmatch(read(t, f), -1) {
			out["judge/"+m[1]] = true
		}
	}
	tests := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range tests.FindAllStringSubmatch(string(b), -1) {
			out["test/"+m[1]] = true
		}
		return err
	})
	must.NoError(t, err)
	return out
}

func TestNamesOnPagesExist(t *testing.T) {
	have := existingNames(t)
	for _, page := range []string{"docs/brief.md", "docs/proof.md"} {
		all := named.FindAllStringSubmatch(read(t, page), -1)
		must.Positive(t, len(all), must.Sprint(page))
		for _, m := range all {
			must.True(t, have[m[1]+"/"+m[2]], must.Sprintf("%s names %s/%s, which does not exist in the source tree", page, m[1], m[2]))
		}
	}
}

func TestExistingNamesAreOnPages(t *testing.T) {
	text := read(t, "docs/brief.md") + read(t, "docs/proof.md")
	for name := range existingNames(t) {
		if !strings.HasPrefix(name, "test/") {
			must.StrContains(t, text, "`"+name+"`", must.Sprint("docs/brief.md or docs/proof.md must name "+name))
		}
	}
}
