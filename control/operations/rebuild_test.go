package operations

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

func liveCores(zones ...string) (out []wire.Replica) {
	for i, zone := range zones {
		out = append(out, wire.Replica{ID: fmt.Sprint("s", i), Zone: zone, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return out
}

func TestRebuiltVoters(t *testing.T) {
	for _, v := range []struct {
		cores  []wire.Replica
		wanted int
		voters int
	}{
		{liveCores("z1", "z2", "z3"), 3, 3},
		{liveCores("z1", "z1", "z2", "z3"), 3, 3},
		{liveCores("z1", "z1", "z2", "z2", "z3", "z3", "z4", "z4"), 5, 5},
		{liveCores("z1", "z2", "z3", "z4"), 5, 3},
		{liveCores("z1", "z2"), 3, 0},
		{liveCores("z1"), 5, 0},
		{nil, 3, 0},
	} {
		got := rebuiltVoters(v.cores, v.wanted)
		must.Len(t, v.voters, got, must.Sprint(v))
		zones := map[string]int{}
		for _, voter := range got {
			zones[voter.Zone]++
			must.LessEq(t, (v.voters-1)/2, zones[voter.Zone], must.Sprint("a majority must survive the loss of a zone"))
		}
	}
}

func TestTargetVotersFollowTolerance(t *testing.T) {
	k := kernel.New(kernel.Boot{
		Settings: settings.Settings{Mesh: "10.0.0.1:1", BootstrapKnown: true, Tolerance: settings.Tolerance{Machines: 2}}, Role: "node", Key: kernel.KeyFrom(make([]byte, 32)),
	})
	must.Eq(t, 5, kernel.Find[*Service](k).targetVoters)
}
