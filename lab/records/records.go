// Package records generates the content of the stand-in indexes. A score depends only on the index, the query and the
// record, so that any response can be checked exactly.
package records

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"

	"wallport/request/search"
)

// Size is the number of records of an index.
const Size = 240

// ID returns the id of the n-th record.
func ID(n int) string { return fmt.Sprintf("rec-%04d", n) }

// Score returns the score of a record for a query, from 0 to 999.
func Score(index, query, id string) int64 {
	h := fnv.New64a()
	h.Write([]byte(index + "\x00" + query + "\x00" + id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return int64(x % 1000)
}

// cacheKey identifies a shard's complete sorted response to a query.
type cacheKey struct {
	index, query  string
	shard, shards int
}

// maxCached is the number of sorted lists after which no further list is cached.
const maxCached = 8192

var (
	cache     sync.Map
	cacheSize atomic.Int64
)

// Top returns a shard's best records for a query, sorted, at most limit of them.
func Top(index, query string, limit, shard, shards int) []search.Record {
	k := cacheKey{index, query, shard, shards}
	if v, ok := cache.Load(k); ok {
		all := v.([]search.Record)
		return slices.Clone(all[:min(limit, len(all))])
	}
	all := make([]search.Record, 0, Size/max(1, shards)+1)
	for n := range Size {
		id := ID(n)
		if search.ShardOf(id, shards) == shard {
			all = append(all, search.Record{ID: id, Score: Score(index, query, id)})
		}
	}
	slices.SortFunc(all, search.Before)
	if cacheSize.Load() < maxCached {
		cache.Store(k, all)
		cacheSize.Add(1)
	}
	return slices.Clone(all[:min(limit, len(all))])
}

// Merged returns the merged response of the given shards to a query, at most limit records.
func Merged(index, query string, limit int, from []int, shards int) []search.Record {
	var out []search.Record
	for _, s := range from {
		out = append(out, Top(index, query, limit, s, shards)...)
	}
	slices.SortFunc(out, search.Before)
	return out[:min(limit, len(out))]
}

// Lookup returns the stored record with an id, false if there is none.
func Lookup(id string) (search.Record, bool) {
	for n := range Size {
		if ID(n) == id {
			return search.Record{ID: id, Score: int64(n), Body: "body of " + id}, true
		}
	}
	return search.Record{}, false
}
