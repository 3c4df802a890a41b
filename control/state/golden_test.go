package state

import (
	"testing"

	"github.com/shoenig/test/must"
)

// An index must map to the same partition in every release, because its data is stored there.
func TestPartitionOfMatchesEarlierReleases(t *testing.T) {
	must.Eq(t, 5, Partitions)
	must.Eq(t, 0, ConfigPartition)
	for name, partition := range map[string]int{"": 2, "a": 1, "docs": 3, "maps": 3, "listing": 4, "poll": 1} {
		must.Eq(t, partition, PartitionOf(name), must.Sprint(name))
	}
}
