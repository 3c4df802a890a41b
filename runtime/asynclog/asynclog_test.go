// Lines are written in order; where nobody reads they are dropped and counted.

package asynclog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// gate is a reader that may stand still.
type gate struct {
	held sync.Mutex
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	g.held.Lock()
	defer g.held.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// until looks for an event again and again; only a hang reaches its end.
func until(t *testing.T, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !ok() {
		must.NoError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

func lost(n int) []byte { return fmt.Appendf(nil, "lost %d\n", n) }

func TestLinesAreWrittenInOrder(t *testing.T) {
	g := &gate{}
	w := New(g, lost)
	var want strings.Builder
	for i := range 2000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		n, err := w.Write([]byte(line))
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	until(t, func() bool { w.Sync(); return w.idle() })
	must.Eq(t, want.String(), g.String())
}

func TestWhereNobodyReadsLinesAreDroppedAndCounted(t *testing.T) {
	g := &gate{}
	w := New(g, lost)
	g.held.Lock()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * pendingMost / 1024
	for range lines {
		w.Write(line)
	}
	g.held.Unlock()
	until(t, func() bool { return strings.Contains(g.String(), "lost") && w.idle() })
	kept := strings.Count(g.String(), string(line))
	must.Between(t, pendingMost/1024, kept, 3*pendingMost/1024)
	must.StrContains(t, g.String(), fmt.Sprintf("lost %d\n", lines-kept))
	w.Write([]byte("after\n"))
	until(t, func() bool { return strings.HasSuffix(g.String(), "after\n") })
}
