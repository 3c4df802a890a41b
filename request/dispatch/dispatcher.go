package dispatch

import (
	"sync"
	"sync/atomic"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
)

// RetryConfig bounds the retries and hedged requests that arrive at a pool, for all nodes together: in any
// Window at most Ratio of the pool's requests, and Allowance more.
type RetryConfig struct {
	Ratio, Allowance float64
	// Window is 10 s where it is 0.
	Window clock.Micros
}

// Config is what a Dispatcher is made of.
type Config struct {
	// Snapshot returns the newest routing snapshot, nil before there is one.
	Snapshot func() *snapshot.Snapshot
	// Counts takes the counters; nil makes own ones.
	Counts *kernel.Counts
	// Seed is that of every random choice.
	Seed uint64
	// StartedAt is the present moment.
	StartedAt clock.Micros
	Retry     RetryConfig
	// Invariants records violations; nil ignores them.
	Invariants *invariant.Recorder
	// OnTrace is called with the trace of every request that failed, lacked shards or came late; it may be nil.
	OnTrace func(t *Trace)
}

// Dispatcher is what the requests of a node share. It may be used from many goroutines.
type Dispatcher struct {
	cfg Config
	// randomStreams numbers the requests, each of which has a random source of its own.
	randomStreams atomic.Uint64
	current       atomic.Pointer[view]
	building      sync.Mutex // held while a view is built
	builds        int
	backends      sync.Map // backend id -> *backend
	latencies     sync.Map // latencyKey -> *latencyStats
	retryBudgets  sync.Map // pool name -> *retryBudget
	lag           lag
	count         counters
	// Traces keeps the traces that Config.OnTrace is called with.
	Traces *TraceRing
}

// counters are the dispatcher's own, looked up once by the names that operators read.
type counters struct {
	requests, overloaded                                    *atomic.Int64
	attempts, retries, retriesDenied, hedges                *atomic.Int64
	notSent, rejected, failed, invalid, abandoned, canceled *atomic.Int64
	ejections                                               *atomic.Int64
}

// NewDispatcher returns the dispatcher of a node.
func NewDispatcher(c Config) *Dispatcher {
	if c.Retry.Window <= 0 {
		c.Retry.Window = 10 * clock.Second
	}
	if c.Counts == nil {
		c.Counts = kernel.NewCounts()
	}
	return &Dispatcher{cfg: c, Traces: &TraceRing{}, count: newCounters(c.Counts)}
}

func newCounters(counts *kernel.Counts) counters {
	of := func(name string) *atomic.Int64 { return counts.Of("forward_" + name) }
	return counters{
		requests:      of("requests"),
		overloaded:    of("shed"),
		attempts:      of("asks"),
		retries:       of("extra_asks"),
		retriesDenied: of("extra_asks_denied"),
		hedges:        of("hedges"),
		notSent:       of("replies_not_sent"),
		rejected:      of("replies_not_run"),
		failed:        of("replies_failed"),
		invalid:       of("replies_garbage"),
		abandoned:     of("asks_left"),
		canceled:      of("asks_cancelled"),
		ejections:     of("ejections"),
	}
}

func (d *Dispatcher) countOutcome(code Code) { d.cfg.Counts.Add("forward_"+string(code), 1) }

// random returns the random source of a new request.
func (d *Dispatcher) random() random.Source {
	return random.Source(d.cfg.Seed + d.randomStreams.Add(1)*0x9e3779b97f4a7c15)
}

func (d *Dispatcher) countEjection(ejected bool) {
	if ejected {
		d.count.ejections.Add(1)
	}
}
