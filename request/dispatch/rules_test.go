// The rules, judged over whole worlds with troubles.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

var resultLimits = map[string]int{"search": 20, "quick": 5}
var minCoverages = map[string]float64{"search": 0.75, "quick": 0.5}

// pools are those that a version sends a kind to.
func (w *world) pools(kind string) [][]string {
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

// checkRules has every rule judged that holds in any world.
func (w *world) checkRules(t *testing.T) {
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
	must.SliceEmpty(t, w.journal.checkRetryBudget(0.2, w.allowance, 10_000_000, all), note)
	must.SliceEmpty(t, w.journal.checkGathered(resultLimits, minCoverages, w.pools), note)
	if w.rampPerS > 0 {
		must.SliceEmpty(t, w.journal.checkSlowStart(w.rampPerS), note)
	}
}

const second = 1_000_000

// play lets clients come for so long, with troubles at their times.
func (w *world) play(t *testing.T, s int64, troubles map[float64]func()) {
	t.Helper()
	from := w.now
	w.advance(from + second)
	for at, do := range troubles {
		w.after(int64(at*second), do)
	}
	w.startClients(w.now + s*second)
	w.advance(w.now + (s+3)*second)
	t.Log(w.journal.report())
	w.checkRules(t)
}

func TestNoFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(defaultDeployment(1))
	w.play(t, 20, nil)
}
