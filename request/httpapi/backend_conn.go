// Connections to servers that can be given up for later use: net/http puts a connection back
// before its answer has been checked.

package httpapi

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errAbandoned is that a connection was given up before anything of a request was written to it.
var errAbandoned = errors.New("the connection was given up")

// backendConn is a connection that takes no more requests once it has been given up.
type backendConn struct {
	net.Conn
	abandoned atomic.Bool
	// written is how many bytes were written so far.
	written atomic.Int64
}

// Write writes, unless the connection was given up.
func (c *backendConn) Write(b []byte) (int, error) {
	if c.abandoned.Load() {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// connUse is one request's use of a connection.
type connUse struct {
	conn *backendConn
	// writtenBefore is how much had been written on it before.
	writtenBefore int64
}

// beginUse begins a request's use of a connection.
func beginUse(conn net.Conn) *connUse {
	c, ok := conn.(*backendConn)
	if !ok {
		return &connUse{}
	}
	return &connUse{conn: c, writtenBefore: c.written.Load()}
}

// unwritten tells that an error of the request means that nothing of it was written or will be.
func (u *connUse) unwritten(err error) bool {
	return errors.Is(err, errAbandoned) && u.conn != nil && u.conn.written.Load() == u.writtenBefore
}

// abandon keeps the connection from being used again: an answer may still be outstanding on it.
func (u *connUse) abandon() {
	if u.conn != nil {
		u.conn.abandoned.Store(true)
	}
}

// dialBackend makes a connection that can be given up.
func dialBackend(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn}, nil
	}
}
