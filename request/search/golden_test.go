package search

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The digest by which owners of a key, of two releases, tell two inquiries under one key apart.
func TestSumIsThatOfEarlierReleases(t *testing.T) {
	for kind, sum := range map[string]uint64{
		"search":  17592480188054273655,
		"read":    8775655374562159203,
		"correct": 4373043006364928751,
		"part":    2107713154920092460,
	} {
		must.Eq(t, sum, SumOf(&Inquiry{Kind: kind, Index: "docs", Record: "r1", Part: 3, Body: "text"}), must.Sprint(kind))
	}
	must.Eq(t, []string{"search", "read", "correct", "part"}, []string{Search, Read, Correct, Part})
}

// A record stays on the shard that it is stored on.
func TestShardOfARecordIsThatOfEarlierReleases(t *testing.T) {
	for record, shards := range map[string][2]int{"": {2, 5}, "r1": {4, 44}, "r2": {5, 37}} {
		must.Eq(t, shards, [2]int{ShardOf(record, 7), ShardOf(record, 64)}, must.Sprint(record))
	}
}
