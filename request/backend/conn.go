// Connections to one backend: the idle ones, newest first, and how many may be
// open. An idle one is looked at in the same turn in which it is written to,
// without waiting: where the peer has closed it, or sent what nobody asked
// for, nothing is written and another is taken.

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

// connPool is one backend at one address.
type connPool struct {
	mu   sync.Mutex
	idle []*conn
	// open counts connections that are there or being made.
	open int
	// removed tells that the client has forgotten the peer.
	removed bool
}

type conn struct {
	client *Client
	pool   *connPool
	raw    *net.TCPConn
	sys    syscall.RawConn
	// turn is the method of that name, bound once.
	advanceFunc func(fd uintptr) bool
	// idleSince is when it was put back; idleFor how long the backend lets it be idle, less a margin.
	idleSince time.Time
	idleFor   time.Duration
	reused    bool
	exchangeState
}

func (c *conn) usable(now time.Time) bool { return now.Sub(c.idleSince) < c.idleFor }

func (c *conn) closeSocket() {
	c.raw.Close()
	c.client.open.Add(-1)
}

// connectionLimit is how many connections this node may hold to one backend.
func (cl *Client) connectionLimit(p *snapshot.Pool) int {
	if p == nil || p.Pool == nil || p.MaxConnections <= 0 {
		return defaultMaxConnections
	}
	return max(1, int(p.MaxConnections*sharedThousandths/1000)/max(1, cl.config.NodeCount()))
}

// lockPool finds or makes a backend's peer and locks it.
func (cl *Client) lockPool(s *snapshot.Backend) *connPool {
	id := poolKey{s.Addr, s.ID}
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

// acquire gives an idle connection, or the right to make one where room is true.
func (cl *Client) acquire(s *snapshot.Backend, most int) (c *conn, pool *connPool, room bool) {
	pool = cl.lockPool(s)
	defer pool.mu.Unlock()
	now := time.Now()
	for len(pool.idle) > 0 {
		c = pool.idle[len(pool.idle)-1]
		pool.idle[len(pool.idle)-1] = nil
		pool.idle = pool.idle[:len(pool.idle)-1]
		if c.usable(now) {
			c.reused = true
			return c, pool, true
		}
		pool.open--
		c.closeSocket()
	}
	if room = pool.open < most; room {
		pool.open++
	}
	return nil, pool, room
}

// release puts a connection back, or closes it.
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

func (cl *Client) dial(ctx context.Context, s *snapshot.Backend, pool *connPool) (*conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: control}
	cl.counters.dials.Add(1)
	raw, err := d.DialContext(ctx, "tcp", s.Addr)
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

// control bounds how long what was sent may stay without a word of the other side.
func control(_, _ string, sys syscall.RawConn) error {
	return sys.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout/time.Millisecond))
	})
}
