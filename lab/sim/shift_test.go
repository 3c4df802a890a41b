// A second loss comes a while after each kind of repair: here after each second
// of four; lab sim --shift 250 goes through every quarter of a second.

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
		// The unshifted one is among all scenarios.
		for _, one := range ShiftScripts(s, every, 4000)[1:] {
			t.Run(fmt.Sprintf("%s/shift=%sms", name, one.Set["shift_ms"]), func(t *testing.T) {
				t.Parallel()
				for _, v := range Play(one, 1, nil).Faults {
					t.Error(v)
				}
			})
		}
	}
}
