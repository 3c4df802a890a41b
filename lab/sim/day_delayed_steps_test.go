// Tests a second loss at different times after each kind of repair: here delayed by 1 to 4 s in steps of 1 s; "lab
// sim --shift 250" goes in steps of a quarter of a second.

package sim

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/lab/script"
)

func TestSecondLossAfterARepair(t *testing.T) {
	for _, name := range []string{"platform_hard_second_loss", "platform_hard_second_loss_grown"} {
		s, err := script.Load("../../scenarios/" + name + ".txt")
		must.NoError(t, err)
		every := int64(1000)
		if testing.Short() {
			every = 4000
		}
		// The scenario without a delay is part of TestScenarios.
		for _, one := range DelayedScripts(s, every, 4000)[1:] {
			t.Run(fmt.Sprintf("%s/shift=%sms", name, one.Set["shift_ms"]), func(t *testing.T) {
				t.Parallel()
				for _, v := range Run(one, 1, nil).Faults {
					t.Error(v)
				}
			})
		}
	}
}
