// Test of the table of replicas that `admin members` prints, with real processes.

package smoke

import (
	"fmt"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"wallport/control/state"
)

// replicaTries bounds the number of checks until every partition has a leader, replicaPause is the pause between two
// checks. On a loaded machine an election may still be in progress.
const (
	replicaTries = 100
	replicaPause = 200 * time.Millisecond
)

// replicas waits until the table shows exactly one leader in contact for each partition, and a row for each core.
func (r rig) replicas() {
	r.t.Helper()
	var err error
	for range replicaTries {
		code, out := r.admin("admin", "members")
		must.Eq(r.t, 0, code, must.Sprint(out))
		if err = checkReplicas(out); err == nil {
			return
		}
		time.Sleep(replicaPause)
	}
	r.t.Fatal(err)
}

// checkReplicas checks the second table that the command prints, which lists the replicas.
func checkReplicas(out string) error {
	_, table, found := strings.Cut(out, "PART ")
	if !found {
		return fmt.Errorf("output has no table of replicas: %s", out)
	}
	leaders, rows := map[string]int{}, 0
	for _, line := range strings.Split(strings.TrimSpace(table), "\n")[1:] {
		field := strings.Fields(line)
		if len(field) != 9 {
			return fmt.Errorf("row has %d columns, want 9: %s", len(field), line)
		}
		rows++
		if part, role, contact, behind := field[0], field[2], field[3], field[6]; role == "leader" && contact == "true" && behind == "0" {
			leaders[part]++
		}
	}
	if len(leaders) != state.Partitions || rows%state.Partitions != 0 {
		return fmt.Errorf("not every partition has a leader in contact and a row per core: leaders %v in %d rows: %s", leaders, rows, out)
	}
	for part, n := range leaders {
		if n != 1 {
			return fmt.Errorf("partition %s has %d leaders in contact, want 1: %s", part, n, out)
		}
	}
	return nil
}
