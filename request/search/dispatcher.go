package search

import (
	"fmt"
	"sync"
	"sync/atomic"

	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
)

// Dispatcher holds the state that all requests of one node share. It is safe for concurrent use.
type Dispatcher struct {
	// Snapshot returns the newest routing snapshot, or nil before the first one.
	Snapshot   func() *snapshot.Snapshot
	LoadReport *loadreport.Reporter
	Counts     *kernel.Counts
	Traces     *TraceRing
	// Name is the node's name. The ids of its requests begin with it.
	Name string
	// Seed is the number from which the random seed of each request is derived.
	Seed      uint64
	StartedAt clock.Micros

	nextID       atomic.Uint64
	retryBudgets sync.Map // index -> *retrybudget.Budget
	limiters     sync.Map // index -> *indexLimiters
}

// Config holds the dependencies and parameters of a dispatcher.
type Config struct {
	Snapshots  *snapshot.Builder
	LoadReport *loadreport.Reporter
	Counts     *kernel.Counts
	Name       string
	Seed       uint64
	Now        clock.Micros
}

// NewDispatcher returns the dispatcher of a node.
func NewDispatcher(c Config) *Dispatcher {
	return &Dispatcher{
		Snapshot: c.Snapshots.Current, LoadReport: c.LoadReport, Counts: c.Counts, Traces: newTraceRing(),
		Name: c.Name, Seed: c.Seed, StartedAt: c.Now,
	}
}

func (d *Dispatcher) newID() string { return fmt.Sprintf("%s-%x", d.Name, d.nextID.Add(1)) }

func (d *Dispatcher) newRandom() random.Source {
	return random.Source(d.Seed + d.nextID.Load()*0x9e37)
}
