package idempotency

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func TestAdmissionWaitsUntilTheRosterIsKnown(t *testing.T) {
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1", Name: "a", Seeds: []string{"10.0.0.2:1"}}, Role: "node", Seed: 1, Key: kernel.KeyFrom(make([]byte, 32))})
	c := kernel.Find[*Coordinator](k)
	now := int64(1_000_000)
	k.Step(now, now, kernel.Start{})
	k.Step(now, now, kernel.Tick{Plugin: "table", Key: "build"})
	must.Len(t, 1, c.builder.Current().KeyOwners, must.Sprint("a node that has just started knows only itself"))
	k.Step(now, now, kernel.Call{Plugin: "idempotency", ID: 1, Request: Admit{Key: "k", FirstAttempt: true, Timeout: 5_000_000}})
	must.MapLen(t, 1, c.admissions)
	for n, w := range c.admissions {
		must.SliceEmpty(t, w.owners)
		now += ResendInterval
		out := k.Step(now, now, kernel.Tick{Plugin: "idempotency", ID: n})
		must.SliceEmpty(t, out.Replies)
		must.SliceEmpty(t, w.owners)
		k.Step(now, now, mesh.CaughtUp{})
		now += RosterLoadWait
		out = k.Step(now, now, kernel.Tick{Plugin: "idempotency", ID: n})
		must.Len(t, 1, w.owners, must.Sprint("once the roster is known, the admission must ask its owners"))
	}
}
