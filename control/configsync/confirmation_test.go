// The addresses of cores that are kept where the mesh itself is cut.

package configsync

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestForgetExcessDropsOldestCores(t *testing.T) {
	p := &Sync{liveAt: map[string]int64{}}
	for i := range maxKnownCores + 3 {
		a := fmt.Sprintf("core-%02d", i)
		p.known, p.liveAt[a] = append(p.known, a), int64(i)
	}
	p.forgetExcess()
	must.Len(t, maxKnownCores, p.known)
	must.Eq(t, "core-03", p.known[0])
	must.MapLen(t, maxKnownCores, p.liveAt)
}

// State that nobody confirmed is not served before a core was asked that has just become known.
func TestConfirmedWaitsForNewCore(t *testing.T) {
	const held = int64(1_000_000)
	p := &Sync{contact: contact{firstStoredAt: held}}
	must.False(t, p.Confirmed(0, held+UnconfirmedTimeout-1))
	must.True(t, p.Confirmed(0, held+UnconfirmedTimeout))
	p.contact.coreDiscoveredAt = held + UnconfirmedTimeout - 1
	must.False(t, p.Confirmed(0, held+UnconfirmedTimeout))
	must.True(t, p.Confirmed(0, p.contact.coreDiscoveredAt+NewCoreTimeout))
	p.contact.coreDiscoveredAt = held + MaxUnconfirmedWait - 1
	must.True(t, p.Confirmed(0, held+MaxUnconfirmedWait), must.Sprint("it ends"))
	must.False(t, (&Sync{}).Confirmed(0, 1<<40), must.Sprint("there is nothing to serve"))
}
