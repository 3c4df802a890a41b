// Checks of the rules that hold for all nodes together, in simulated deployments.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

var resultLimits = map[string]int{"search": 20, "quick": 5}
var minCoverages = map[string]float64{"search": 0.75, "quick": 0.5}

// pools returns, for each version of the routing table, the pools to which it routes a kind of request.
func (w *simulation) pools(kind string) [][]string {
	var out [][]string
	for _, c := range w.tables {
		for _, r := range c.Routes {
			if r.Name != kind {
				continue
			}
			set := append([]string(nil), r.FanoutPools...)
			if r.Pool != "" {
				set = append(set, r.Pool)
			}
			for _, p := range r.PoolWeights {
				set = append(set, p.Pool)
			}
			out = append(out, set)
		}
	}
	return out
}

// checkRules checks every rule that holds in any deployment.
func (w *simulation) checkRules(t *testing.T) {
	t.Helper()
	all := func(kind string) (out []string) {
		for _, set := range w.pools(kind) {
			out = append(out, set...)
		}
		return out
	}
	note := must.Sprintf("seed %d", w.seed)
	must.SliceEmpty(t, w.journal.checkAtMostOnce(), note)
	must.SliceEmpty(t, w.journal.misrouted, note)
	must.SliceEmpty(t, w.journal.checkRejectedNotRun(), note)
	must.SliceEmpty(t, w.journal.checkRetryBudget(0.2, w.allowance, 10*clock.Second, all), note)
	must.SliceEmpty(t, w.journal.checkGathered(resultLimits, minCoverages, w.pools), note)
	if w.slowStartRate > 0 {
		must.SliceEmpty(t, w.journal.checkSlowStart(w.slowStartRate), note)
	}
}

// second is clock.Second as an untyped constant, which can be multiplied by fractions.
const second = 1_000_000

// run simulates clients for the given number of seconds, injects each fault at its time (the key, in seconds) and
// checks the rules.
func (w *simulation) run(t *testing.T, seconds int64, faults map[float64]func()) {
	t.Helper()
	from := w.now
	w.advance(from + second)
	for at, do := range faults {
		w.after(int64(at*second), do)
	}
	w.startClients(w.now + seconds*second)
	w.advance(w.now + (seconds+3)*second)
	t.Log(w.journal.report())
	w.checkRules(t)
}

func TestNoFaults(t *testing.T) {
	t.Parallel()
	w := newSimulation(defaultDeployment(1))
	w.run(t, 20, nil)
}
