// The addresses of cores that are kept where the mesh itself is cut.
package pulls

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTooManyCoresDropTheOldestAlone(t *testing.T) {
	p := &Pulls{liveAt: map[string]int64{}}
	for i := range knownMost + 3 {
		a := fmt.Sprintf("core-%02d", i)
		p.known, p.liveAt[a] = append(p.known, a), int64(i)
	}
	p.bound()
	must.Len(t, knownMost, p.known)
	must.Eq(t, "core-03", p.known[0])
	must.MapLen(t, knownMost, p.liveAt)
}
