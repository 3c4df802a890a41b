// Tests that knownred accepts the listed failures and reports all others. The events have the form in which go test
// -json prints them.

package main

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const listedLine = "wallport/a.TestKnown, a cause, with commas, #21\n"

// problemsOf returns the sorted problems of a run with the given events, each a JSON object.
func problemsOf(t *testing.T, list string, nonZeroExit bool, events ...string) []string {
	t.Helper()
	known, err := parseList(strings.NewReader(list))
	must.NoError(t, err)
	o := newOutcome()
	must.NoError(t, o.read(bufio.NewReader(strings.NewReader(strings.Join(events, "\n"))), io.Discard))
	problems := o.findProblems(known, nonZeroExit)
	slices.Sort(problems)
	return problems
}

func endEvent(action, pkg, test string) string {
	return `{"Action":"` + action + `","Package":"` + pkg + `","Test":"` + test + `"}`
}

func TestOnlyListedFailuresPass(t *testing.T) {
	passes := endEvent(passed, "wallport/a", "TestFine")
	fails := endEvent(failed, "wallport/a", "TestKnown")
	packageFails := endEvent(failed, "wallport/a", "")
	for _, c := range []struct {
		name, list  string
		nonZeroExit bool
		events      []string
		want        []string
	}{
		{"all pass", "", false, []string{passes, endEvent(passed, "wallport/a", "")}, nil},
		{"a listed test fails", listedLine, true, []string{passes, fails, packageFails}, nil},
		{"a listed test and its subtest fail", listedLine, true, []string{endEvent(failed, "wallport/a", "TestKnown/sub"), fails, packageFails}, nil},
		{"an unlisted test fails", "", true, []string{fails, packageFails}, []string{"package wallport/a failed", "wallport/a.TestKnown failed"}},
		{"a listed and an unlisted test fail", listedLine, true, []string{fails, endEvent(failed, "wallport/a", "TestOther"), packageFails}, []string{"wallport/a.TestOther failed"}},
		{"a test with the listed name fails in another package", listedLine, true, []string{fails, packageFails, endEvent(failed, "wallport/b", "TestKnown"), endEvent(failed, "wallport/b", "")},
			[]string{"package wallport/b failed", "wallport/b.TestKnown failed"}},
		{"the listed test passes", listedLine, false, []string{endEvent(passed, "wallport/a", "TestKnown")}, []string{"wallport/a.TestKnown is listed and passes: take it off the list"}},
		{"the listed test does not run", listedLine, false, []string{passes}, []string{"wallport/a.TestKnown is listed and did not run"}},
		{"the listed test is skipped", listedLine, false, []string{endEvent(skipped, "wallport/a", "TestKnown")}, nil},
		{"the listed test terminates the test binary", listedLine, true, []string{`{"Action":"output","Package":"wallport/a","Test":"TestKnown","Output":"panic: boom\n"}`, fails, packageFails},
			[]string{"package wallport/a failed"}},
		{"a package does not build", listedLine, true, []string{fails, packageFails, endEvent(failed, "wallport/b", "")}, []string{"package wallport/b failed"}},
		{"no package builds", "", true, []string{"some text"}, []string{"go test failed before any test ran", "no test ran, and 0 packages failed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, problemsOf(t, c.list, c.nonZeroExit, c.events...))
		})
	}
}

func TestOutputOfUnfinishedTestIsPrinted(t *testing.T) {
	var out strings.Builder
	o := newOutcome()
	must.NoError(t, o.read(bufio.NewReader(strings.NewReader(strings.Join([]string{
		`{"Action":"output","Package":"wallport/a","Test":"TestHangs","Output":"panic: test timed out\n"}`,
		`{"Action":"output","Package":"wallport/a","Test":"TestFine","Output":"of no interest\n"}`,
		endEvent(passed, "wallport/a", "TestFine"), endEvent(failed, "wallport/a", ""),
	}, "\n"))), &out))
	must.Eq(t, "panic: test timed out\n", out.String())
}

func TestListIsChecked(t *testing.T) {
	known, err := parseList(strings.NewReader("# why\n\n" + listedLine))
	must.NoError(t, err)
	must.SliceLen(t, 1, known)
	must.True(t, known[0] == entry{"wallport/a.TestKnown", "a cause, with commas", "#21"})
	for _, bad := range []string{"TestKnown, cause, #21", "wallport/a.TestKnown, #21", "wallport/a.TestKnown", strings.Repeat(listedLine, 4)} {
		_, err := parseList(strings.NewReader(bad))
		must.Error(t, err, must.Sprint(bad))
	}
	known, err = readList("no such file")
	must.NoError(t, err)
	must.SliceEmpty(t, known)
}

func TestKnownFailuresArePrinted(t *testing.T) {
	var out strings.Builder
	err := report(&out, []string{"x failed"}, []entry{{"wallport/a.TestKnown", "a cause", "#21"}})
	must.Error(t, err)
	must.Eq(t, "known red: wallport/a.TestKnown, a cause, #21\nknownred: x failed\n", out.String())
}
