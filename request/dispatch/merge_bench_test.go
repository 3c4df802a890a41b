// Benchmarks of merging the records of many shards.

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// sortedShards returns lists of records in descending order, as backends send them.
func sortedShards(n, records int) [][]byte {
	r := rand.New(rand.NewPCG(1, 2))
	out := make([][]byte, n)
	for i := range out {
		var all [][]byte
		for range records {
			b := make([]byte, recordSize)
			for j := range b {
				b[j] = byte(r.Uint32())
			}
			all = append(all, b)
		}
		slices.SortFunc(all, func(a, b []byte) int { return -slices.Compare(a, b) })
		out[i] = slices.Concat(all...)
	}
	return out
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{4, 12, 140} {
		for _, limit := range []int{5, 20, 100} {
			b.Run(fmt.Sprintf("parts=%d/limit=%d", n, limit), func(b *testing.B) {
				parts := sortedShards(n, 40)
				b.ReportAllocs()
				for b.Loop() {
					merge(parts, limit)
				}
			})
		}
	}
}
