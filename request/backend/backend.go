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
	// slots), NotRun its word that a request has not run.
	Seal, Load, NotRun string
}

// Config is what a client is made of.
type Config struct {
	Names  Names
	Counts *kernel.Counts
	// SharedBy is how many nodes share a backend's connections; nil is 1.
	SharedBy func() int
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
	if c.SharedBy == nil {
		c.SharedBy = func() int { return 1 }
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
	for _, s := range []*string{&n.ID, &n.Budget, &n.Target, &n.Seal, &n.Load, &n.NotRun} {
		*s = http.CanonicalHeaderKey(*s)
	}
	of := func(name string) *atomic.Int64 { return c.Counts.Of("backend_" + name) }
	k := &Client{config: c, names: n, pools: map[poolKey]*connPool{}, stopping: make(chan struct{}), counters: counters{
		dials: of("dials"), dialsFailed: of("dials_failed"), reused: of("reused"), idleDead: of("idle_dead"),
		garbage: of("garbage"), full: of("connections_full"), connections: of("connections"),
	}}
	go k.sweep()
	return k
}

// Close closes the idle connections; exchanges under way end by themselves.
func (k *Client) Close() {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return
	}
	k.closed = true
	close(k.stopping)
	k.mu.Unlock()
	k.trim(func(*conn) bool { return true })
}

func (k *Client) sweep() {
	t := time.NewTicker(SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now := time.Now()
			k.trim(func(c *conn) bool { return !c.usable(now) })
		case <-k.stopping:
			return
		}
	}
}

// trim closes the idle connections that a function names and forgets peers without any.
func (k *Client) trim(expired func(*conn) bool) {
	k.mu.Lock()
	var drop []*conn
	for id, p := range k.pools {
		p.mu.Lock()
		keep := p.idle[:0]
		for _, c := range p.idle {
			if expired(c) {
				drop = append(drop, c)
				p.open--
			} else {
				keep = append(keep, c)
			}
		}
		clear(p.idle[len(keep):])
		p.idle = keep
		if p.open == 0 {
			p.removed = true
			delete(k.pools, id)
		}
		p.mu.Unlock()
	}
	k.mu.Unlock()
	for _, c := range drop {
		c.closeSocket()
	}
	k.counters.connections.Store(k.open.Load())
}
