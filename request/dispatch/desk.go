// The desk is what all charts of one node share: its view of the newest table,
// what it learnt of backends and pools, and its part of the fleet's budgets.

package dispatch

import (
	"sync"
	"sync/atomic"

	"wallport/request/snapshot"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
)

// RetryConfig bounds the extra arrivals at a pool, for all nodes together: in any window at most
// Ratio of the requests for the pool, and Allowance.
type RetryConfig struct {
	Ratio, Allowance float64
	WindowUs         int64
}

// Config is what a desk is made of.
type Config struct {
	Table  func() *snapshot.Snapshot
	Counts *kernel.Counts
	Seed   uint64
	// Now is the process's clock, in microseconds.
	Now   int64
	Retry RetryConfig
	// Invariants takes violations; nil counts none.
	Invariants *invariant.Recorder
	// Ended is told of every request that failed, lacked parts or came late; nil is nobody.
	Ended func(t *Trace)
}

// Desk is shared by all charts of a node. Everything on it may be used by many threads.
type Desk struct {
	cfg      Config
	next     atomic.Uint64
	view     atomic.Pointer[view]
	building sync.Mutex
	builds   int
	backends sync.Map // id -> *backend
	stats    sync.Map // statsKey -> *stats
	budgets  sync.Map // pool -> *budget
	lag      lag
	count    counters
	Traces   *Traces
}

// counters are the desk's own, looked up once.
type counters struct {
	requests, asks, extra, extraDenied, hedges, ejected, garbage, notSent, notRun, failed, left, cancelled, shed *atomic.Int64
}

// NewDesk makes the desk of a node.
func NewDesk(c Config) *Desk {
	if c.Retry.WindowUs <= 0 {
		c.Retry.WindowUs = 10_000_000
	}
	if c.Counts == nil {
		c.Counts = kernel.NewCounts()
	}
	of := func(name string) *atomic.Int64 { return c.Counts.Of("forward_" + name) }
	return &Desk{cfg: c, Traces: newTraces(), count: counters{
		requests: of("requests"), asks: of("asks"), extra: of("extra_asks"), extraDenied: of("extra_asks_denied"),
		hedges: of("hedges"), ejected: of("ejections"), garbage: of("replies_garbage"), notSent: of("replies_not_sent"),
		notRun: of("replies_not_run"), failed: of("replies_failed"), left: of("asks_left"), cancelled: of("asks_cancelled"), shed: of("shed"),
	}}
}

func (d *Desk) random() random.Source {
	return random.Source(d.cfg.Seed + d.next.Add(1)*0x9e3779b97f4a7c15)
}
