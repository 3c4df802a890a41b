// Package smoke runs a small fleet of real processes: real TLS, HTTP, disks and
// signals, on ports that the system gives out. It waits on events, bounded only
// by a generous limit that a hang alone would reach.
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

// TestRealFleet starts a fleet, sends inquiries, restarts every node as
// planned, kills and freezes a core and a server, and judges all answers.
func TestRealFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes run in the plain test step")
	}
	s, err := script.Load("rolling.script")
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := fleet.Run(ctx, fleet.RunOptions{
		Options: fleet.Options{Shape: fleet.Shapes["small"], Dir: t.TempDir(), Bin: build(t)},
		Rate:    60, Seconds: 16, Repeat: 0.3, Seed: 5, Script: s, UpWithin: 2 * time.Minute,
	})
	must.NoError(t, err)
	must.SliceEmpty(t, r.Violations, must.Sprint(r.Violations))
	must.Eq(t, 0, r.Callers.WrongN)
	must.Positive(t, r.Callers.Outcomes["search ok"])
	must.Positive(t, r.Callers.Outcomes["read ok"])
	must.Positive(t, r.Callers.Outcomes["correct ok"]+r.Callers.Outcomes["part ok"])
	// No inquiry that was read is cut by a planned restart: the nodes have read
	// exactly as many as callers got answers. Whoever met a closing connection
	// was never read.
	answered := r.Callers.Sent - r.Callers.Aborted
	must.Eq(t, int64(answered), r.Counts["inquiries_read"], must.Sprintf("%d of %d met a closed connection", r.Callers.Aborted, r.Callers.Sent))
}
