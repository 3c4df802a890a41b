// Package backend talks to backends over HTTP/1.1: a pool of connections for
// each backend, and one exchange at a time on a connection. Nothing is ever
// repeated here, and it is always known whether a byte of a request has left.
package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wallport/runtime/kernel"
)

// Names are the header names that a platform uses.
type Names struct {
	// ID is a client's id of one try, echoed by backends; Budget what is left of its time,
	// in whole milliseconds; Target the backend that a request is meant for.
	ID, Budget, Target string
	// Seal is a backend's seal of an answer, Load what it tells of itself (running, waiting,
	// slots), NotExecuted its word that a request has not run.
	Seal, Load, NotExecuted string
}

// Config is what a client is made of.
type Config struct {
	Names  Names
	Counts *kernel.Counts
	// NodeCount is how many nodes share a backend's connections; nil is 1.
	NodeCount func() int
	// Frozen and Thaws are of the process: a request is not written on a decision made before a freeze.
	Frozen func() bool
	Thaws  func() int64
}

// Figures of connections.
const (
	// DialTimeout bounds a handshake; UnackedTimeout how long what was sent may stay without a word of the other side.
	DialTimeout    = 400 * time.Millisecond
	UnackedTimeout = 1500 * time.Millisecond
	// MaxIdleTime bounds how long a connection is kept for later.
	MaxIdleTime   = 15 * time.Second
	SweepInterval = time.Second
	// MaxBodyBytes and MaxHeadBytes bound an answer, in bytes.
	MaxBodyBytes = 16 << 20
	MaxHeadBytes = 16 << 10
	// sharedThousandths is how many thousandths of a backend's connections all nodes together may hold.
	sharedThousandths = 800
	// defaultMaxConnections is a node's part where a pool sets no bound.
	defaultMaxConnections = 64
)

// Client holds the connections to all backends.
type Client struct {
	config   Config
	names    Names
	mu       sync.Mutex
	pools    map[poolKey]*connPool
	closed   bool
	stopping chan struct{}
	open     atomic.Int64
	counters counters
}

type poolKey struct{ addr, id string }

type counters struct{ dials, dialsFailed, reused, idleDead, garbage, full, connections *atomic.Int64 }

// New makes a client without connections.
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
	n := c.Names
	for _, s := range []*string{&n.ID, &n.Budget, &n.Target, &n.Seal, &n.Load, &n.NotExecuted} {
		*s = http.CanonicalHeaderKey(*s)
	}
	of := func(name string) *atomic.Int64 { return c.Counts.Of("backend_" + name) }
	cl := &Client{config: c, names: n, pools: map[poolKey]*connPool{}, stopping: make(chan struct{}), counters: counters{
		dials: of("dials"), dialsFailed: of("dials_failed"), reused: of("reused"), idleDead: of("idle_dead"),
		garbage: of("garbage"), full: of("connections_full"), connections: of("connections"),
	}}
	go cl.sweep()
	return cl
}

// Close closes the idle connections; exchanges under way end by themselves.
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

func (cl *Client) sweep() {
	t := time.NewTicker(SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now := time.Now()
			cl.trim(func(c *conn) bool { return !c.usable(now) })
		case <-cl.stopping:
			return
		}
	}
}

// trim closes the idle connections that a function names and forgets peers without any.
func (cl *Client) trim(expired func(*conn) bool) {
	cl.mu.Lock()
	var drop []*conn
	for id, pool := range cl.pools {
		pool.mu.Lock()
		keep := pool.idle[:0]
		for _, c := range pool.idle {
			if expired(c) {
				drop = append(drop, c)
				pool.open--
			} else {
				keep = append(keep, c)
			}
		}
		clear(pool.idle[len(keep):])
		pool.idle = keep
		if pool.open == 0 {
			pool.removed = true
			delete(cl.pools, id)
		}
		pool.mu.Unlock()
	}
	cl.mu.Unlock()
	for _, c := range drop {
		c.closeSocket()
	}
	cl.counters.connections.Store(cl.open.Load())
}
