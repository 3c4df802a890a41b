// Runs every scenario under a few fixed seeds, and tests that a run can be replayed. "lab sim --seeds" runs more
// seeds.

package sim

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/script"
)

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.txt")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, f := range files {
		s, err := script.Load(f)
		must.NoError(t, err)
		seeds := uint64(s.Int("ci_seeds", 2))
		if testing.Short() {
			// With -short, under the race detector, each scenario runs under one seed, because the test then
			// looks for data races and not for rare schedules. Scenarios that run the same code as others, only for
			// longer ("set race no"), are left out.
			seeds = 1
			if s.Text("race", "") == "no" {
				continue
			}
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", filepath.Base(f), seed), func(t *testing.T) {
				t.Parallel()
				r := Run(s, seed, nil)
				for _, v := range r.Faults {
					t.Error(v)
				}
			})
		}
	}
}

func TestReplay(t *testing.T) {
	t.Parallel()
	s, err := script.Load("../../scenarios/plain.txt")
	must.NoError(t, err)
	a, b, c := Run(s, 11, nil), Run(s, 11, nil), Run(s, 12, nil)
	must.Eq(t, a.Digest, b.Digest)
	must.Eq(t, a.Lines, b.Lines)
	must.NotEq(t, a.Digest, c.Digest)
}

// TestPowerLostAtWrites cuts the power at every ninth of the steps of all writes, or at every 61st with -short; "lab sim
// --power" cuts the power at every step.
func TestPowerLostAtWrites(t *testing.T) {
	s, err := script.Load("../../scenarios/power_step.txt")
	must.NoError(t, err)
	all := PowerLossScripts(s, 1)
	must.Greater(t, 100, len(all))
	every := 9
	if testing.Short() {
		every = 61
	}
	for i := 0; i < len(all); i += every {
		one := all[i]
		t.Run(fmt.Sprintf("write=%s/step=%s", one.Set["power_write"], one.Set["power_step"]), func(t *testing.T) {
			t.Parallel()
			for _, v := range Run(one, 1, nil).Faults {
				t.Error(v)
			}
		})
	}
}
