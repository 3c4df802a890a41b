// Package smoke tests a small fleet of real processes with real TLS, HTTP, disks and signals, on ports that the system
// assigns. The tests wait for conditions with generous timeouts, which only a process that hangs reaches.
package smoke

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/lab/fleet"
	"wallport/lab/script"
)

func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, p := range []string{"wallport", "lab"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(bin, p), "wallport/cmd/"+p).CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	return bin
}

// TestRealFleet starts a fleet and sends requests while every node is restarted
// gracefully, a core is killed and a server is frozen. It checks all responses.
func TestRealFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("tests with real processes are skipped in -short mode")
	}
	s, err := script.Load("rolling.script")
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := fleet.Run(ctx, fleet.RunOptions{
		Options: fleet.Options{Shape: fleet.Shapes["small"], Dir: t.TempDir(), Bin: build(t)},
		Rate:    60, Seconds: 16, Repeat: 0.3, Seed: 5, Script: s, StartupTimeout: 2 * time.Minute,
	})
	must.NoError(t, err)
	must.SliceEmpty(t, r.Violations, must.Sprint(r.Violations))
	must.Eq(t, 0, r.Callers.WrongN)
	must.Positive(t, r.Callers.Outcomes["search ok"])
	must.Positive(t, r.Callers.Outcomes["read ok"])
	must.Positive(t, r.Callers.Outcomes["correct ok"]+r.Callers.Outcomes["part ok"])
	// A graceful restart must not abort a request that the node has read: the nodes must have read exactly as many
	// requests as the callers got responses. A request that was aborted on a closing connection was never read.
	answered := r.Callers.Sent - r.Callers.Aborted
	must.Eq(t, int64(answered), r.Counts["inquiries_read"], must.Sprintf("nodes must read as many requests as callers got responses to; %d of %d requests were aborted on a closed connection", r.Callers.Aborted, r.Callers.Sent))
}
