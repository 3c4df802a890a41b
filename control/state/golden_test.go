package state

import (
	"testing"

	"github.com/shoenig/test/must"
)

// An index stays in the partition in which its data is stored.
func TestPartitionOfMatchesEarlierReleases(t *testing.T) {
	must.Eq(t, 5, Partitions)
	must.Eq(t, 0, ConfigPartition)
	for name, partition := range map[string]int{"": 2, "a": 1, "docs": 3, "maps": 3, "listing": 4, "poll": 1} {
		must.Eq(t, partition, PartitionOf(name), must.Sprint(name))
	}
}
