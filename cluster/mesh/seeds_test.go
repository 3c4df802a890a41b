package mesh

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
)

func TestChangedSeedsAreDialledImmediately(t *testing.T) {
	r := newRig(t)
	out := r.feed(kernel.SeedsChanged{Seeds: []string{"10.0.0.8:1", "10.0.0.9:1"}})
	must.Eq(t, []string{"10.0.0.8:1", "10.0.0.9:1"}, out.Dials)
	r.feed(kernel.ConnDown{Addr: "10.0.0.8:1", Mesh: true})
	r.feed(kernel.ConnDown{Addr: "10.0.0.9:1", Mesh: true})
	r.now += MinBackoff * 2
	out = r.feed(kernel.Tick{Plugin: pluginName, Key: timerHeartbeat})
	must.SliceContains(t, out.Dials, "10.0.0.8:1", must.Sprint("a seed that could not be reached must be dialled again"))
	out = r.feed(kernel.SeedsChanged{Seeds: []string{"10.0.0.9:1"}})
	must.False(t, slices.Contains(out.Dials, "10.0.0.8:1"), must.Sprint("a former seed with a dial in flight must not be dialled again"))
}

func TestChangedSeedsReplaceKnownAddresses(t *testing.T) {
	r := newRig(t)
	for i := range MaxAddrs {
		r.m.addAddr(fmt.Sprintf("10.1.%d.%d:1", i/250, i%250))
	}
	out := r.feed(kernel.SeedsChanged{Seeds: []string{"10.0.0.8:1"}})
	must.SliceContains(t, out.Dials, "10.0.0.8:1")
	must.LessEq(t, MaxAddrs, len(r.m.dials))
}
