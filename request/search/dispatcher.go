// Package search is the way of one inquiry through a node, as a state chart:
// read, classified, let in, picked, asked, re-asked, gathered, and then
// answered, shed or given up. A chart takes events and returns acts; a driver
// carries them out over real HTTP or in the simulator.
package search

import (
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"

	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
)

// Dispatcher is what all charts of one node share. Everything on it may be used by many threads.
type Dispatcher struct {
	Snapshot   func() *snapshot.Snapshot
	LoadReport *loadreport.Reporter
	Counts     *kernel.Counts
	Traces     *TraceRing
	Name       string
	Seed       uint64
	StartedAt  int64

	nextID        atomic.Uint64
	budgets       sync.Map
	limiters      sync.Map
	shardMapUsers sync.Map
}

// Config is what a desk is made of.
type Config struct {
	Snapshots  *snapshot.Table
	LoadReport *loadreport.Reporter
	Counts     *kernel.Counts
	Name       string
	Seed       uint64
	Now        int64
}

// NewDispatcher makes a desk.
func NewDispatcher(c Config) *Dispatcher {
	return &Dispatcher{
		Snapshot: c.Snapshots.Current, LoadReport: c.LoadReport, Counts: c.Counts, Traces: newTraceRing(),
		Name: c.Name, Seed: c.Seed, StartedAt: c.Now,
	}
}

// Kinds of inquiries.
const (
	KindSearch  = "search"
	KindRead    = "read"
	KindCorrect = "correct"
	KindPart    = "part"
)

// Request is one checked inquiry of a caller.
type Request struct {
	Kind     string
	Index    string
	Record   string
	Part     int
	Query    string
	Limit    int
	Body     string
	Key      string
	Deadline int64
	// FirstAttempt is the caller's word that it never sent this key before.
	FirstAttempt bool
	// Digest tells two inquiries under one key apart.
	Digest uint64
}

// AtMostOnce tells that an inquiry must not run twice.
func (q *Request) AtMostOnce() bool { return q.Kind == KindCorrect || q.Kind == KindPart }

// RequestDigest digests what an inquiry asks for.
func RequestDigest(q *Request) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00%s", q.Kind, q.Index, q.Record, q.Part, q.Body)
	return h.Sum64()
}

// ShardOf is the shard of a record in a cut of so many shards.
func ShardOf(record string, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(record))
	return int(h.Sum32() % uint32(max(1, shards)))
}

func (d *Dispatcher) newID() string { return fmt.Sprintf("%s-%x", d.Name, d.nextID.Add(1)) }

// rnd is the random source of one chart.
type rnd = random.Source

// usersOf counts the searches that are under way on one cut of an index.
func (d *Dispatcher) usersOf(index, cut string) *atomic.Int64 {
	key := index + "\x00" + cut
	if v, ok := d.shardMapUsers.Load(key); ok {
		return v.(*atomic.Int64)
	}
	v, _ := d.shardMapUsers.LoadOrStore(key, new(atomic.Int64))
	return v.(*atomic.Int64)
}
