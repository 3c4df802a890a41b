// The addresses of cores that are kept where the mesh itself is cut.

package configsync

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTooManyCoresDropTheOldestAlone(t *testing.T) {
	p := &Sync{liveAt: map[string]int64{}}
	for i := range knownMost + 3 {
		a := fmt.Sprintf("core-%02d", i)
		p.known, p.liveAt[a] = append(p.known, a), int64(i)
	}
	p.bound()
	must.Len(t, knownMost, p.known)
	must.Eq(t, "core-03", p.known[0])
	must.MapLen(t, knownMost, p.liveAt)
}

// State that nobody confirmed is not served before a core was asked that has just become known.
func TestCoreJustHeardOfIsAskedBeforeUnconfirmedStateIsServed(t *testing.T) {
	const held = int64(1_000_000)
	p := &Sync{contact: contact{heldAt: held}}
	must.False(t, p.Confirmed(0, held+UnconfirmedAfter-1))
	must.True(t, p.Confirmed(0, held+UnconfirmedAfter))
	p.contact.knownAt = held + UnconfirmedAfter - 1
	must.False(t, p.Confirmed(0, held+UnconfirmedAfter))
	must.True(t, p.Confirmed(0, p.contact.knownAt+AskedFor))
	p.contact.knownAt = held + UnconfirmedMost - 1
	must.True(t, p.Confirmed(0, held+UnconfirmedMost), must.Sprint("it ends"))
	must.False(t, (&Sync{}).Confirmed(0, 1<<40), must.Sprint("there is nothing to serve"))
}
