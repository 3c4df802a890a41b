package search

import (
	"fmt"
	"hash/fnv"

	"wallport/runtime/clock"
)

// Kind is the operation that a request asks for.
type Kind string

// The kinds of requests. A search is sent to all shards, any other kind only to the shard of its
// record. Corrections and part fetches run at most once.
const (
	KindSearch  Kind = "search"
	KindRead    Kind = "read"
	KindCorrect Kind = "correct"
	KindPart    Kind = "part"
)

// Request is one validated request of a caller.
type Request struct {
	Kind   Kind
	Index  string
	Record string
	// Part is the number of the part of the record that a part fetch requests.
	Part  int
	Query string
	// Limit is the maximum number of records that a search returns.
	Limit int
	Body  string
	// Key is the caller's idempotency key; empty if the caller sent none.
	Key string
	// Deadline is the time that the caller allows, counted from the start of the request. If it is
	// 0, the default deadline of the index applies.
	Deadline clock.Micros
	// FirstAttempt is the caller's assertion that it has never sent this key before.
	FirstAttempt bool
	// Digest is the request's [RequestDigest]. It distinguishes different requests sent under the
	// same key.
	Digest uint64
}

// AtMostOnce reports whether the request must not run twice.
func (q *Request) AtMostOnce() bool { return q.Kind == KindCorrect || q.Kind == KindPart }

// RequestDigest returns a digest of the content of a request. The owners of a key compare digests
// computed by nodes of different releases, so the algorithm must not change.
func RequestDigest(q *Request) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00%s", q.Kind, q.Index, q.Record, q.Part, q.Body)
	return h.Sum64()
}

// ShardOf returns the shard of a record in a shard map with the given number of shards.
func ShardOf(record string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(record))
	return int(h.Sum32() % uint32(max(1, shards)))
}
