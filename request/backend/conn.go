package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wallport/request/snapshot"
)

// connPool is the connections to one backend at one address.
type connPool struct {
	mu sync.Mutex
	// idle are the idle connections, the one used last at the end.
	idle []*conn
	// open counts the connections that are open or being opened.
	open int
	// removed is set once the client has dropped the pool: its connections are not kept any more.
	removed bool
}

// conn is one connection to a backend. One exchange at a time uses it.
type conn struct {
	client *Client
	pool   *connPool
	raw    *net.TCPConn
	sys    syscall.RawConn
	// advanceFunc is the method advance, bound once so that exchanges need not allocate it.
	advanceFunc func(fd uintptr) bool
	// idleSince is when it was put back, idleFor how long it may stay idle: the backend's keep-alive time
	// less a margin.
	idleSince time.Time
	idleFor   time.Duration
	reused    bool
	exchangeState
}

// usable reports whether an idle connection may still be used.
func (c *conn) usable(now time.Time) bool { return now.Sub(c.idleSince) < c.idleFor }

func (c *conn) closeSocket() {
	c.raw.Close()
	c.client.open.Add(-1)
}

// connectionLimit returns how many connections this node may open to one backend of a pool.
func (cl *Client) connectionLimit(p *snapshot.Pool) int {
	if p == nil || p.Pool == nil || p.MaxConnections <= 0 {
		return defaultMaxConnections
	}
	return max(1, int(p.MaxConnections*sharedThousandths/1000)/max(1, cl.config.NodeCount()))
}

// lockPool returns the pool of a backend, locked.
func (cl *Client) lockPool(b *snapshot.Backend) *connPool {
	id := poolKey{b.Addr, b.ID}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	pool := cl.pools[id]
	if pool == nil {
		pool = &connPool{}
		cl.pools[id] = pool
	}
	pool.mu.Lock()
	return pool
}

// acquire returns an idle connection, the one used last first. Without one it reports whether the
// caller may open a connection, which then is counted already.
func (cl *Client) acquire(b *snapshot.Backend, limit int) (c *conn, pool *connPool, mayDial bool) {
	pool = cl.lockPool(b)
	defer pool.mu.Unlock()
	now := time.Now()
	for len(pool.idle) > 0 {
		last := len(pool.idle) - 1
		c = pool.idle[last]
		pool.idle[last] = nil
		pool.idle = pool.idle[:last]
		if c.usable(now) {
			c.reused = true
			return c, pool, true
		}
		pool.open--
		c.closeSocket()
	}
	if mayDial = pool.open < limit; mayDial {
		pool.open++
	}
	return nil, pool, mayDial
}

// release puts a connection back into its pool if it is to be kept, and closes it otherwise.
func (c *conn) release(keep bool) {
	c.pool.mu.Lock()
	if keep && !c.pool.removed {
		c.idleSince = time.Now()
		c.pool.idle = append(c.pool.idle, c)
		c.pool.mu.Unlock()
		return
	}
	c.pool.open--
	c.pool.mu.Unlock()
	c.closeSocket()
}

// dial opens a connection that acquire has counted.
func (cl *Client) dial(ctx context.Context, b *snapshot.Backend, pool *connPool) (*conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	cl.counters.dials.Add(1)
	raw, err := dialer.DialContext(ctx, "tcp", b.Addr)
	if err == nil {
		c := &conn{client: cl, pool: pool, raw: raw.(*net.TCPConn), idleFor: MaxIdleTime}
		if c.sys, err = c.raw.SyscallConn(); err == nil {
			c.advanceFunc = c.advance
			cl.open.Add(1)
			return c, nil
		}
		raw.Close()
	}
	pool.mu.Lock()
	pool.open--
	pool.mu.Unlock()
	return nil, err
}

// setUserTimeout sets the TCP user timeout of a new socket.
func setUserTimeout(_, _ string, sys syscall.RawConn) error {
	return sys.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout/time.Millisecond))
	})
}
