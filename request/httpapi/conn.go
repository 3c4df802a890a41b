// Connections to servers that can be given up for later use: net/http puts a connection back
// before its answer has been checked.

package httpapi

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errGivenUp is that a connection was given up before anything of a request was written to it.
var errGivenUp = errors.New("the connection was given up")

// serverConn is a connection that takes no more requests once it has been given up.
type serverConn struct {
	net.Conn
	givenUp atomic.Bool
	// written is how many bytes were written so far.
	written atomic.Int64
}

// Write writes, unless the connection was given up.
func (c *serverConn) Write(b []byte) (int, error) {
	if c.givenUp.Load() {
		return 0, errGivenUp
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// connUse is one request's use of a connection.
type connUse struct {
	conn *serverConn
	// from is how much had been written on it before.
	from int64
}

// beginUse begins a request's use of a connection.
func beginUse(conn net.Conn) *connUse {
	c, ok := conn.(*serverConn)
	if !ok {
		return &connUse{}
	}
	return &connUse{conn: c, from: c.written.Load()}
}

// unwritten tells that an error of the request means that nothing of it was written or will be.
func (u *connUse) unwritten(err error) bool {
	return errors.Is(err, errGivenUp) && u.conn != nil && u.conn.written.Load() == u.from
}

// giveUp keeps the connection from being used again: an answer may still be outstanding on it.
func (u *connUse) giveUp() {
	if u.conn != nil {
		u.conn.givenUp.Store(true)
	}
}

// dialServer makes a connection that can be given up.
func dialServer(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &serverConn{Conn: conn}, nil
	}
}
