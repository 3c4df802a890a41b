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
	Window           int64
}

// Config is what a desk is made of.
type Config struct {
	Snapshot func() *snapshot.Snapshot
	Counts   *kernel.Counts
	Seed     uint64
	// StartedAt is the process's clock, in microseconds.
	StartedAt int64
	Retry     RetryConfig
	// Invariants takes violations; nil counts none.
	Invariants *invariant.Recorder
	// OnTrace is told of every request that failed, lacked parts or came late; nil is nobody.
	OnTrace func(t *Trace)
}

// Dispatcher is shared by all charts of a node. Everything on it may be used by many threads.
type Dispatcher struct {
	cfg           Config
	randomStreams atomic.Uint64
	current       atomic.Pointer[view]
	building      sync.Mutex
	builds        int
	backends      sync.Map // id -> *backend
	latencies     sync.Map // latencyKey -> *stats
	retryBudgets  sync.Map // pool -> *budget
	lag           lag
	count         counters
	Traces        *TraceRing
}

// counters are the desk's own, looked up once.
type counters struct {
	requests, attempts, retries, retriesDenied, hedges, ejections, invalid, notSent, rejected, failed, abandoned, cancelled, overloaded *atomic.Int64
}

// NewDispatcher makes the desk of a node.
func NewDispatcher(c Config) *Dispatcher {
	if c.Retry.Window <= 0 {
		c.Retry.Window = 10_000_000
	}
	if c.Counts == nil {
		c.Counts = kernel.NewCounts()
	}
	of := func(name string) *atomic.Int64 { return c.Counts.Of("forward_" + name) }
	return &Dispatcher{cfg: c, Traces: newTraceRing(), count: counters{
		requests: of("requests"), attempts: of("asks"), retries: of("extra_asks"), retriesDenied: of("extra_asks_denied"),
		hedges: of("hedges"), ejections: of("ejections"), invalid: of("replies_garbage"), notSent: of("replies_not_sent"),
		rejected: of("replies_not_run"), failed: of("replies_failed"), abandoned: of("asks_left"), cancelled: of("asks_cancelled"), overloaded: of("shed"),
	}}
}

func (d *Dispatcher) random() random.Source {
	return random.Source(d.cfg.Seed + d.randomStreams.Add(1)*0x9e3779b97f4a7c15)
}
