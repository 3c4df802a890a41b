// A short soak run with one seed and overlapping faults, checked by the rules without time bounds, and tests of single
// functions of the package.

package soak

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/lab/rules"
	"wallport/runtime/clock"
)

// shortFor is how long faults are injected in the short run.
const shortFor = 25 * time.Second

// build builds the product and returns the folder of the program.
func build(t *testing.T) (bin string) {
	t.Helper()
	bin = t.TempDir()
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(bin, "wallport"), "wallport/cmd/wallport").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return bin
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes: run without -short")
	}
	o := Options{Seed: 1, For: shortFor, Gap: 600 * time.Millisecond, Rate: 40, Bin: build(t), Dir: t.TempDir(), Log: func(line string) { t.Log(line) }}
	t.Logf("seed %d", o.Seed)
	r, err := Run(context.Background(), o)
	must.NoError(t, err)
	must.SliceEmpty(t, r.Findings)
	must.Positive(t, r.Served)
	for _, rule := range []string{rules.Mixed, rules.Twice, rules.Route, rules.Unasked, rules.Config} {
		must.Positive(t, r.Tested[rule], must.Sprint(rule))
	}
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	o := Options{Seed: 7, For: 10 * time.Minute}
	a, b := schedule(o), schedule(o)
	must.Eq(t, len(a), len(b))
	seen := map[string]bool{}
	overlaps := 0
	for i := range a {
		must.True(t, a[i] == b[i])
		seen[a[i].kind] = true
		if i > 0 && a[i].at < a[i-1].at+a[i-1].duration {
			overlaps++
		}
	}
	must.Greater(t, len(a)/2, overlaps, must.Sprint("more than half of the faults must overlap the previous fault"))
	for _, k := range faultKinds() {
		must.True(t, seen[k.name], must.Sprintf("%s is never drawn in ten minutes", k.name))
	}
	o.Seed = 8
	must.False(t, slices.Equal(a, schedule(o)))
	o.Only = []string{"node_kill"}
	for _, one := range schedule(o) {
		must.Eq(t, "node_kill", one.kind)
	}
}

func TestDiskIsLostOnlyWhileNoCoreIsFaulty(t *testing.T) {
	c := &coreFaultGate{}
	c.begin()
	must.False(t, c.tryAcquire())
	c.end()
	must.False(t, c.tryAcquire(), must.Sprint("acquired although a core was faulty within syncTime"))
	c.endedAt = time.Now().Add(-2 * syncTime)
	must.True(t, c.tryAcquire())
	must.False(t, c.tryAcquire())
	c.release()
	c.begin()
}

// reportFor returns the report of a run without processes, whose journal is filled by write.
func reportFor(t *testing.T, write func(j *journal)) *Report {
	t.Helper()
	r := &run{journal: newJournal(), torn: map[*daemon]bool{}}
	write(r.journal)
	return r.report()
}

func TestAbortedRequestThatRanIsFound(t *testing.T) {
	writeAborted := func(j *journal) {
		b := &rules.Backend{ID: "b", Ended: rules.Never, DrainingSince: rules.Never}
		j.Attempts = []*rules.Attempt{{ID: "t", Machine: "m", Repeatable: true, Read: 1, Sent: 10 * clock.Second, Ended: 11 * clock.Second, Aborted: true}}
		j.Arrivals = []*rules.Arrival{{Attempt: "t", Backend: b, Ran: true, Status: 200, Answer: []byte("x"), At: 10 * clock.Second}}
	}
	r := reportFor(t, writeAborted)
	must.StrContains(t, strings.Join(r.Findings, "\n"), "CUT at 11.000 s")
	r = reportFor(t, func(j *journal) {
		writeAborted(j)
		j.setFault(faultSpan{machines: []string{"m"}}, true)
	})
	must.StrNotContains(t, strings.Join(r.Findings, "\n"), "CUT", must.Sprint("an abort during an unplanned fault of the node must not be a finding"))
	r = reportFor(t, func(j *journal) {
		writeAborted(j)
		j.setFault(faultSpan{machines: []string{"m"}, planned: true}, true)
	})
	must.StrContains(t, strings.Join(r.Findings, "\n"), "CUT", must.Sprint("an abort during a planned stop of the node must be a finding"))
}

func TestReadMetrics(t *testing.T) {
	got := readMetrics(bytes.NewBufferString("wallport_requests_open 0\nwallport_x{a=\"b\"} 7\n"))
	must.Eq(t, "0 7", got["wallport_requests_open"]+" "+got[`wallport_x{a="b"}`])
}
