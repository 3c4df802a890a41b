// Data that an earlier release stored: a process of this release starts with it and continues. See
// stored_make_test.go for how the folders were created.

package replica

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/state"
	"wallport/runtime/diskfile"
	"wallport/runtime/wire"
)

func storedConfig(t *testing.T, v wire.Versioned) wire.ConfigBody {
	t.Helper()
	config, err := state.ReadConfig(v.Body)
	must.NoError(t, err)
	return config
}

func storedEditLog(t *testing.T, v wire.Versioned) wire.EditLog {
	t.Helper()
	editLog, err := state.ReadEditLog(v.EditLog)
	must.NoError(t, err)
	return editLog
}

// describe returns a description of what a process has loaded. The text does not depend on any Go name.
func describe(t *testing.T, host *Host) string {
	t.Helper()
	var b strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	voters := func(lines []wire.Replica) (text string) {
		for _, r := range lines {
			text += " " + r.ID + "/" + r.Zone + "/" + r.Addr
		}
		return text
	}
	version := func(v wire.Version) string { return fmt.Sprintf("%d:%d.%d", v.Partition, v.Term, v.Seq) }
	line("replica %s formed %t damaged %t", host.replicaID, host.bootstrapped, host.diskDamaged)
	f := host.bootstrap
	line("formation %q complete %t by %s voters%s", f.BootstrapID, f.Commit, f.Proposer.ID, voters(f.Voters))
	for _, g := range host.groups {
		v := g.accepted
		line("partition %d voted %d for %q holds %s files %d", g.partition, g.votedTerm, g.votedFor, version(v.Version), len(g.versionFiles))
		line("  voters%s before%s", voters(v.Voters), voters(v.PreviousVoters))
		if g.partition != state.ConfigPartition {
			index, err := state.ReadIndex(v.Body)
			must.NoError(t, err)
			for _, name := range sortedKeys(index.ShardMaps) {
				shardMap := index.ShardMaps[name]
				line("  index %s cut %s/%d next %s/%d", name, shardMap.Name, shardMap.Shards, shardMap.Next, shardMap.NextShards)
			}
			for _, task := range sortedKeys(index.LeaseHolders) {
				line("  task %q holder %s/%d", task, index.LeaseHolders[task].Node, index.LeaseHolders[task].LeaseID)
			}
			for _, done := range index.LegacyEdits {
				line("  body edit %s %x %s", done.EditID, done.Sum, version(done.Version))
			}
		} else {
			config := storedConfig(t, v)
			line("  sheet at %s %x", version(config.ConfigVersion), config.Config)
			line("  routing %x drained %v running %v", config.Routing, config.DrainedZones, config.ActiveBookings)
			for _, done := range config.LegacyEdits {
				line("  body edit %s %x %s", done.EditID, done.Sum, version(done.Version))
			}
			for _, r := range config.LegacyRevisions {
				line("  body revision %d on %d %x %s", r.Number, r.Base, r.Sum, version(r.Version))
			}
			for _, past := range config.LegacyHistory {
				line("  body sheet %s by %s %x", version(past.Version), past.By, past.Config)
			}
		}
		editLog := storedEditLog(t, v)
		for _, o := range editLog.RoutingEdits {
			line("  order %x %d.%d", o.Digest, o.Term, o.Seq)
		}
		for _, e := range editLog.Edits {
			line("  edit %s %x %d.%d", e.EditID, e.Digest, e.Term, e.Seq)
		}
		for _, past := range editLog.History {
			line("  past sheet %s by %s %x", version(past.Version), past.By, past.Config)
		}
		for _, z := range editLog.Zones {
			line("  zone %s %d.%d", z.Zone, z.Term, z.Seq)
		}
		line("  zone floor %s", version(editLog.ZoneFloor))
	}
	return b.String()
}

func TestStoredDataOfEarlierRelease(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			files := readStored(t, folder.name)
			must.Positive(t, len(files))
			for name, b := range files {
				must.Eq(t, "wallport\x01", string(b[:9]), must.Sprint(name))
				_, err := diskfile.Unpack(b)
				must.NoError(t, err, must.Sprint(name))
			}
			c := startStored(t, files)
			must.Eq(t, sortedKeys(files), sortedKeys(c.files), must.Sprint("the start of the process must not write any file"))
			path := filepath.Join(storedFolder, folder.name+".golden")
			got := describe(t, c.host)
			if *updateStored {
				must.NoError(t, os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			must.NoError(t, err)
			must.Eq(t, string(want), got)
		})
	}
}
