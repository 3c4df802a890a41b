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

// peer is one backend at one address.
type peer struct {
	mu   sync.Mutex
	idle []*conn
	// open counts connections that are there or being made.
	open int
	// dead tells that the client has forgotten the peer.
	dead bool
}

type conn struct {
	k   *Client
	p   *peer
	raw *net.TCPConn
	sys syscall.RawConn
	// turn is the method of that name, bound once.
	turnF func(fd uintptr) bool
	// last is when it was put back; idleFor how long the backend lets it be idle, less a margin.
	last    time.Time
	idleFor time.Duration
	reused  bool
	turn
}

func (c *conn) usable(now time.Time) bool { return now.Sub(c.last) < c.idleFor }

func (c *conn) shut() {
	c.raw.Close()
	c.k.open.Add(-1)
}

// part is how many connections this node may hold to one backend.
func (k *Client) part(p *snapshot.Pool) int {
	if p == nil || p.Pool == nil || p.MaxConnections <= 0 {
		return unbounded
	}
	return max(1, int(p.MaxConnections*partOf/1000)/max(1, k.c.Share()))
}

// peerOf finds or makes a backend's peer and locks it.
func (k *Client) peerOf(s *snapshot.Server) *peer {
	id := key{s.Addr, s.ID}
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.peers[id]
	if p == nil {
		p = &peer{}
		k.peers[id] = p
	}
	p.mu.Lock()
	return p
}

// take gives an idle connection, or the right to make one where room is true.
func (k *Client) take(s *snapshot.Server, most int) (c *conn, p *peer, room bool) {
	p = k.peerOf(s)
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle[len(p.idle)-1] = nil
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(now) {
			c.reused = true
			return c, p, true
		}
		p.open--
		c.shut()
	}
	if room = p.open < most; room {
		p.open++
	}
	return nil, p, room
}

// give puts a connection back, or closes it.
func (c *conn) give(keep bool) {
	c.p.mu.Lock()
	if keep && !c.p.dead {
		c.last = time.Now()
		c.p.idle = append(c.p.idle, c)
		c.p.mu.Unlock()
		return
	}
	c.p.open--
	c.p.mu.Unlock()
	c.shut()
}

func (k *Client) dial(ctx context.Context, s *snapshot.Server, p *peer) (*conn, error) {
	d := net.Dialer{Timeout: DialWithin, KeepAlive: -1, Control: control}
	k.count.dials.Add(1)
	raw, err := d.DialContext(ctx, "tcp", s.Addr)
	if err == nil {
		c := &conn{k: k, p: p, raw: raw.(*net.TCPConn), idleFor: IdleMost}
		if c.sys, err = c.raw.SyscallConn(); err == nil {
			c.turnF = c.take
			k.open.Add(1)
			return c, nil
		}
		raw.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return nil, err
}

// control bounds how long what was sent may stay without a word of the other side.
func control(_, _ string, sys syscall.RawConn) error {
	return sys.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedWithin/time.Millisecond))
	})
}
