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

// Desk is what all charts of one node share. Everything on it may be used by many threads.
type Desk struct {
	Table  func() *snapshot.Snapshot
	Usage  *loadreport.Reporter
	Counts *kernel.Counts
	Traces *Traces
	Name   string
	Seed   uint64
	Began  int64

	next    atomic.Uint64
	budgets sync.Map
	gates   sync.Map
	pins    sync.Map
}

// Config is what a desk is made of.
type Config struct {
	Table  *snapshot.Table
	Usage  *loadreport.Reporter
	Counts *kernel.Counts
	Name   string
	Seed   uint64
	Now    int64
}

// NewDesk makes a desk.
func NewDesk(c Config) *Desk {
	return &Desk{
		Table: c.Table.Current, Usage: c.Usage, Counts: c.Counts, Traces: newTraces(),
		Name: c.Name, Seed: c.Seed, Began: c.Now,
	}
}

// Kinds of inquiries.
const (
	Search  = "search"
	Read    = "read"
	Correct = "correct"
	Part    = "part"
)

// Inquiry is one checked inquiry of a caller.
type Inquiry struct {
	Kind     string
	Index    string
	Record   string
	Part     int
	Query    string
	Limit    int
	Body     string
	Key      string
	Deadline int64
	// First is the caller's word that it never sent this key before.
	First bool
	// Sum tells two inquiries under one key apart.
	Sum uint64
}

// Once tells that an inquiry must not run twice.
func (q *Inquiry) Once() bool { return q.Kind == Correct || q.Kind == Part }

// SumOf digests what an inquiry asks for.
func SumOf(q *Inquiry) uint64 {
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

func (d *Desk) newID() string { return fmt.Sprintf("%s-%x", d.Name, d.next.Add(1)) }

// rnd is the random source of one chart.
type rnd = random.Source

// pin counts the searches that are under way on one cut of an index.
func (d *Desk) pin(index, cut string) *atomic.Int64 {
	key := index + "\x00" + cut
	if v, ok := d.pins.Load(key); ok {
		return v.(*atomic.Int64)
	}
	v, _ := d.pins.LoadOrStore(key, new(atomic.Int64))
	return v.(*atomic.Int64)
}
