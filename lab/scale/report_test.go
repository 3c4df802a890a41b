// Tests of the resource use of processes, and of the report's table and files.

package scale

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestUsageOfThisProcess(t *testing.T) {
	u, err := ReadUsage(os.Getpid())
	must.NoError(t, err)
	must.Positive(t, u.RSS)
	must.GreaterEq(t, u.RSS, u.PeakRSS)
	must.Positive(t, u.Files)
	must.Positive(t, u.Read)
	_, err = ReadUsage(-1)
	must.Error(t, err)
}

func TestCPUOfHandlesParenthesesInName(t *testing.T) {
	us, err := cpuOf("7 (a ) b (c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20")
	must.NoError(t, err)
	must.Eq(t, 3_000_000, us)
	_, err = cpuOf("7 (a) S 1")
	must.Error(t, err)
	must.Eq(t, 12, field("VmRSS:\t 12 kB\nVmHWM: 13 kB\n", "VmRSS"))
	must.Eq(t, 0, field("VmRSS:\t\n", "VmRSS"))
}

func TestRatesAreMeansOfProcesses(t *testing.T) {
	a, b := &child{class: "hollow", count: 10}, &child{class: "hollow", count: 30}
	other, late := &child{class: "node", count: 1}, &child{class: "hollow", count: 1}
	look := func(s int64) map[*child]childSample {
		m := func(cpu, frames int64) childSample {
			return childSample{Usage{AtUs: s * 1_000_000, CPUUs: cpu * s, RSS: 40, PeakRSS: 80}, Sample{Counts: map[string]int64{"frames_in": frames * s}}}
		}
		return map[*child]childSample{a: m(100_000, 100), b: m(900_000, 700), other: m(1, 1)}
	}
	from, to := look(1), look(11)
	to[late] = childSample{}
	r := rates("hollow", from, to)
	must.Eq(t, 40, r.Processes)
	must.InDelta(t, 1.0/40, r.CPU, 1e-9)
	must.InDelta(t, 0.03, r.CPUMost, 1e-9)
	must.InDelta(t, 20, r.FramesIn, 1e-9)
	must.InDelta(t, 2, r.RSS, 1e-9)
	must.InDelta(t, 8, r.PeakRSSMost, 1e-9)
	must.Eq(t, 0, rates("core", from, to).Processes)
}

func measured(n int, saturated bool) Measured {
	return Measured{
		Nodes: n, Saturated: saturated, ReadyUs: 5_000_000, Commit: "abc",
		Phases: map[string]map[string]Rates{"rest": {"hollow": {Processes: n, CPU: 0.001 * float64(n), FrameBytesIn: 1000 * float64(n)}}},
	}
}

func TestReport(t *testing.T) {
	all := []Measured{measured(10, false), measured(30, false), measured(100, false), measured(300, true)}
	all[3].Phases["rest"]["hollow"] = Rates{Processes: 300, CPU: 9}
	var b strings.Builder
	must.NoError(t, Report(&b, all))
	must.StrContains(t, b.String(), "300*")
	must.StrContains(t, b.String(), "n^1.00")
	must.StrNotContains(t, b.String(), "real node at rest: processor, % of a core  0", must.Sprint("a figure that was not measured must not be shown as 0"))
	dir := filepath.Join(t.TempDir(), "measurements")
	must.NoError(t, Write(dir, "run", all))
	raw, err := os.ReadFile(filepath.Join(dir, "run.json"))
	must.NoError(t, err)
	var back []Measured
	must.NoError(t, json.Unmarshal(raw, &back))
	must.Eq(t, all, back)
	raw, err = os.ReadFile(filepath.Join(dir, "run.csv"))
	must.NoError(t, err)
	must.StrContains(t, string(raw), "hollow node at rest: frame bytes in,B/s,100,100000,false")
}
