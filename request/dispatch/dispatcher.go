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

// RetryConfig bounds the retries and hedged requests that all nodes together send to a pool: in any Window at most
// Ratio times the pool's requests plus Allowance.
type RetryConfig struct {
	Ratio, Allowance float64
	// Window defaults to 10 s if it is 0.
	Window clock.Micros
}

// Config configures a Dispatcher.
type Config struct {
	// Snapshot returns the newest routing snapshot, or nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Counts holds the counters; if it is nil, the dispatcher creates its own.
	Counts *kernel.Counts
	// Seed seeds the random source of each request.
	Seed uint64
	// StartedAt is when the process started.
	StartedAt clock.Micros
	Retry     RetryConfig
	// Invariants records violations; nil ignores them.
	Invariants *invariant.Recorder
	// OnTrace is called with the trace of every request that failed, lacked shards or exceeded its latency target;
	// it may be nil.
	OnTrace func(t *Trace)
}

// Dispatcher holds the state that all requests of a node share. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// randomStreams counts the requests. Each request derives its own random source from its number.
	randomStreams atomic.Uint64
	current       atomic.Pointer[view]
	building      sync.Mutex // held while building a view
	builds        int
	backends      sync.Map // backend id -> *backend
	latencies     sync.Map // latencyKey -> *latencyStats
	retryBudgets  sync.Map // pool name -> *retryBudget
	lag           lag
	count         counters
	// Traces keeps the newest traces of the requests that Config.OnTrace describes.
	Traces *TraceRing
}

// counters holds the dispatcher's counters, which are looked up once by their metric names.
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

// random returns a new random source for one request.
func (d *Dispatcher) random() random.Source {
	return random.Source(d.cfg.Seed + d.randomStreams.Add(1)*0x9e3779b97f4a7c15)
}

func (d *Dispatcher) countEjection(ejected bool) {
	if ejected {
		d.count.ejections.Add(1)
	}
}
