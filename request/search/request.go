package search

import (
	"fmt"
	"hash/fnv"

	"wallport/runtime/clock"
)

// Kind is what a request asks for.
type Kind string

// The kinds of requests. Search asks all shards, the others the one of a record; correct and part
// run at most once.
const (
	KindSearch  Kind = "search"
	KindRead    Kind = "read"
	KindCorrect Kind = "correct"
	KindPart    Kind = "part"
)

// Request is one checked request of a caller.
type Request struct {
	Kind   Kind
	Index  string
	Record string
	// Part is the number of the record's part that a part fetch asks for.
	Part  int
	Query string
	// Limit is how many records a search returns at most.
	Limit int
	Body  string
	// Key is the caller's idempotency key; empty without one.
	Key string
	// Deadline is the time that the caller allows from the request's start; 0 takes the index's.
	Deadline clock.Micros
	// FirstAttempt is the caller's statement that it never sent this key before.
	FirstAttempt bool
	// Digest is the request's [RequestDigest]: it tells two requests under one key apart.
	Digest uint64
}

// AtMostOnce reports whether the request must not run twice.
func (q *Request) AtMostOnce() bool { return q.Kind == KindCorrect || q.Kind == KindPart }

// RequestDigest digests what a request asks for. Owners of a key compare the digests of nodes of
// different releases, so that it must stay as it is.
func RequestDigest(q *Request) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00%s", q.Kind, q.Index, q.Record, q.Part, q.Body)
	return h.Sum64()
}

// ShardOf returns the shard of a record in a shard map of so many shards.
func ShardOf(record string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(record))
	return int(h.Sum32() % uint32(max(1, shards)))
}
