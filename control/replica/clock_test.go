// The time of day that a majority of the voters agrees on must not change when the clock of a single process jumps.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func TestAgreedTimeIgnoresLeadersClockJump(t *testing.T) {
	voters := []wire.Replica{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	const hour = 60 * clock.Minute
	now, agreedTime := 50*clock.Second, 1_700_000_000*clock.Second
	g := &Group{committed: wire.Versioned{Voters: voters}, heardAt: map[string]clock.Micros{"b": now, "c": now}, wallOffsets: map[string]clock.Micros{"b": agreedTime - now, "c": agreedTime + 1 - now}}
	for _, own := range []clock.Micros{0, 2 * hour, -2 * hour} {
		at, known := g.agreedTime(&kernel.Context{Now: now + 100*clock.Millisecond, Wall: agreedTime + own + 100*clock.Millisecond})
		must.True(t, known)
		must.Eq(t, agreedTime+100*clock.Millisecond, at)
	}
}
