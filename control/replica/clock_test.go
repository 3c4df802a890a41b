// The time that a majority of the replicas agrees on, while single clocks jump.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func TestAgreedTimeIgnoresLeadersClockJump(t *testing.T) {
	seats := []wire.Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	const hour = 3_600_000_000
	now, agreedTime := int64(50_000_000), int64(1_700_000_000_000_000)
	g := &Group{committed: wire.Versioned{Voters: seats}, heardAt: map[string]int64{"b": now, "c": now}, wallOffsets: map[string]int64{"b": agreedTime - now, "c": agreedTime + 1 - now}}
	for _, own := range []int64{0, 2 * hour, -2 * hour} {
		at, known := g.agreedTime(&kernel.Context{Now: now + 100_000, Wall: agreedTime + own + 100_000})
		must.True(t, known)
		must.Eq(t, agreedTime+100_000, at)
	}
}
