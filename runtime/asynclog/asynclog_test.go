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

// blockingWriter is a writer that blocks while blocked is locked.
type blockingWriter struct {
	blocked sync.Mutex
	mu      sync.Mutex
	text    bytes.Buffer
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	g.blocked.Lock()
	defer g.blocked.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// until polls until a condition holds. It fails the test after one minute, a time that passes only if
// the writer hangs.
func until(t *testing.T, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !ok() {
		must.NoError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

func formatLost(n int) []byte { return fmt.Appendf(nil, "lost %d\n", n) }

func TestLinesKeepOrder(t *testing.T) {
	g := &blockingWriter{}
	w := New(g, formatLost)
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

func TestLinesAreDroppedAndCountedWhenWriterBlocks(t *testing.T) {
	g := &blockingWriter{}
	w := New(g, formatLost)
	g.blocked.Lock()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxPending / 1024
	for range lines {
		w.Write(line)
	}
	g.blocked.Unlock()
	until(t, func() bool { return strings.Contains(g.String(), "lost") && w.idle() })
	written := strings.Count(g.String(), string(line))
	must.Between(t, maxPending/1024, written, 3*maxPending/1024)
	must.StrContains(t, g.String(), fmt.Sprintf("lost %d\n", lines-written))
	w.Write([]byte("after\n"))
	until(t, func() bool { return strings.HasSuffix(g.String(), "after\n") })
}
