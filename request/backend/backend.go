package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wallport/runtime/kernel"
)

// Names holds the names of the header fields that a platform uses.
type Names struct {
	// ID carries the client's id of one attempt at a request; backends echo it. Budget carries the time that is
	// left for the request, in whole milliseconds. Target carries the id of the backend that the request is sent to.
	ID, Budget, Target string
	// Seal carries a backend's seal of a response and Load its load (running, queued, slots). NotExecuted
	// states that the request did not run.
	Seal, Load, NotExecuted string
}

// Config holds the parameters and dependencies of a client.
type Config struct {
	Names  Names
	Counts *kernel.Counts
	// NodeCount returns the number of nodes that share a backend's connections; nil means 1.
	NodeCount func() int
	// Frozen reports whether the process is frozen, and Thaws returns how often it has thawed. A request whose
	// exchange was started before a freeze is not written after it. A nil function means that the process is
	// never frozen.
	Frozen func() bool
	Thaws  func() int64
}

const (
	// DialTimeout bounds the time to open a connection. UnackedTimeout bounds how long sent bytes may stay
	// unacknowledged (the TCP user timeout, RFC 5482).
	DialTimeout    = 400 * time.Millisecond
	UnackedTimeout = 1500 * time.Millisecond
	// MaxIdleTime bounds how long a connection is kept idle. SweepInterval is the interval at which idle
	// connections are checked.
	MaxIdleTime   = 15 * time.Second
	SweepInterval = time.Second
	// MaxBodyBytes and MaxHeadBytes bound the body and the header of a response.
	MaxBodyBytes = 16 << 20
	MaxHeadBytes = 16 << 10
	// sharedThousandths is the part of a backend's connections, in thousandths, that all nodes together may open.
	sharedThousandths = 800
	// defaultMaxConnections bounds a node's connections to a backend whose pool sets no bound.
	defaultMaxConnections = 64
)

// Client owns the connections to all backends. It is safe for concurrent use.
type Client struct {
	config   Config
	names    Names // in canonical form
	mu       sync.Mutex
	pools    map[poolKey]*connPool
	closed   bool
	stopping chan struct{}
	// open counts the connections to all backends.
	open     atomic.Int64
	counters counters
}

// poolKey identifies a backend at an address. If another backend is assigned the address, it gets a new pool.
type poolKey struct{ addr, id string }

type counters struct{ dials, dialsFailed, reused, idleDead, garbage, full, connections *atomic.Int64 }

// New returns a client without connections and starts its sweep of idle connections, which runs until Close.
func New(c Config) *Client {
	if c.NodeCount == nil {
		c.NodeCount = func() int { return 1 }
	}
	if c.Frozen == nil {
		c.Frozen = func() bool { return false }
	}
	if c.Thaws == nil {
		c.Thaws = func() int64 { return 0 }
	}
	if c.Counts == nil {
		c.Counts = kernel.NewCounts()
	}
	names := c.Names
	for _, name := range []*string{&names.ID, &names.Budget, &names.Target, &names.Seal, &names.Load, &names.NotExecuted} {
		*name = http.CanonicalHeaderKey(*name)
	}
	of := func(name string) *atomic.Int64 { return c.Counts.Of("backend_" + name) }
	cl := &Client{config: c, names: names, pools: map[poolKey]*connPool{}, stopping: make(chan struct{}), counters: counters{
		dials: of("dials"), dialsFailed: of("dials_failed"), reused: of("reused"), idleDead: of("idle_dead"),
		garbage: of("garbage"), full: of("connections_full"), connections: of("connections"),
	}}
	go cl.sweep()
	return cl
}

// Close closes the idle connections. It does not abort exchanges in flight.
func (cl *Client) Close() {
	cl.mu.Lock()
	if cl.closed {
		cl.mu.Unlock()
		return
	}
	cl.closed = true
	close(cl.stopping)
	cl.mu.Unlock()
	cl.trim(func(*conn) bool { return true })
}

// sweep periodically closes the connections that have been idle for too long.
func (cl *Client) sweep() {
	interval := time.NewTicker(SweepInterval)
	defer interval.Stop()
	for {
		select {
		case <-interval.C:
			now := time.Now()
			cl.trim(func(c *conn) bool { return !c.usable(now) })
		case <-cl.stopping:
			return
		}
	}
}

// trim closes the expired idle connections and removes the pools that have no connections left.
func (cl *Client) trim(expired func(*conn) bool) {
	cl.mu.Lock()
	var closing []*conn
	for id, pool := range cl.pools {
		pool.mu.Lock()
		kept := pool.idle[:0]
		for _, c := range pool.idle {
			if expired(c) {
				closing = append(closing, c)
				pool.open--
			} else {
				kept = append(kept, c)
			}
		}
		clear(pool.idle[len(kept):])
		pool.idle = kept
		if pool.open == 0 {
			pool.removed = true
			delete(cl.pools, id)
		}
		pool.mu.Unlock()
	}
	cl.mu.Unlock()
	for _, c := range closing {
		c.closeSocket()
	}
	cl.counters.connections.Store(cl.open.Load())
}
