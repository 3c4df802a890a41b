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

// connPool holds the connections to one backend at one address.
type connPool struct {
	mu sync.Mutex
	// idle lists the idle connections, with the most recently used one last.
	idle []*conn
	// open is the number of connections that are open or being opened.
	open int
	// removed is set once the client has removed the pool. Its connections are then closed after use.
	removed bool
}

// conn is a connection to a backend. It is used by one exchange at a time.
type conn struct {
	client *Client
	pool   *connPool
	raw    *net.TCPConn
	sys    syscall.RawConn
	// advanceFunc is the method value advance, created once to save each exchange an allocation.
	advanceFunc func(fd uintptr) bool
	// idleSince is when the connection was put back into its pool. idleFor is how long it may stay idle: the
	// backend's keep-alive time less a margin, or MaxIdleTime if the backend has not sent one.
	idleSince time.Time
	idleFor   time.Duration
	reused    bool
	exchangeState
}

// usable reports whether an idle connection may still be used at the given time.
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

// lockPool returns the pool of a backend with its lock held, and creates it if necessary.
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

// acquire returns the most recently used idle connection. If there is none, it reports whether the caller
// may open a connection, which is then already counted in the pool.
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

// release puts a connection back into its pool if keep is set, and closes it otherwise.
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

// dial opens a connection that acquire has already counted, and corrects the count on failure.
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
