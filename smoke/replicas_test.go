// `admin members` shows the replicas of every partition on real processes.

package smoke

import (
	"fmt"
	"strings"
	"time"

	"github.com/shoenig/test/must"

	"wallport/control/state"
)

// Waiting for every partition to have a leader: a loaded machine may be in the middle of an election.
const (
	replicaTries = 100
	replicaPause = 200 * time.Millisecond
)

// replicas sees one leader in contact for each partition, and every core's row beside it.
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

// checkReplicas tells what is wrong with the second table that the command prints.
func checkReplicas(out string) error {
	_, table, found := strings.Cut(out, "PART ")
	if !found {
		return fmt.Errorf("no table of replicas: %s", out)
	}
	leaders, rows := map[string]int{}, 0
	for _, line := range strings.Split(strings.TrimSpace(table), "\n")[1:] {
		field := strings.Fields(line)
		if len(field) != 9 {
			return fmt.Errorf("a row of %d columns: %s", len(field), line)
		}
		rows++
		if part, role, contact, behind := field[0], field[2], field[3], field[6]; role == "leader" && contact == "true" && behind == "0" {
			leaders[part]++
		}
	}
	if len(leaders) != state.Partitions || rows%state.Partitions != 0 {
		return fmt.Errorf("leaders %v in %d rows: %s", leaders, rows, out)
	}
	for part, n := range leaders {
		if n != 1 {
			return fmt.Errorf("part %s has %d leaders in contact: %s", part, n, out)
		}
	}
	return nil
}
