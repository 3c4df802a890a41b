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

// Dispatcher is what all requests of one node share. It may be used by many goroutines.
type Dispatcher struct {
	// Snapshot returns the newest routing snapshot, nil before the first.
	Snapshot   func() *snapshot.Snapshot
	LoadReport *loadreport.Reporter
	Counts     *kernel.Counts
	Traces     *TraceRing
	// Name is the node's name; requests' ids begin with it.
	Name string
	// Seed is where the random sources of requests start from.
	Seed      uint64
	StartedAt clock.Micros

	nextID       atomic.Uint64
	retryBudgets sync.Map // index -> *retrybudget.Budget
	limiters     sync.Map // index -> *indexLimiters
}

// Config is what a dispatcher is made of.
type Config struct {
	Snapshots  *snapshot.Table
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
