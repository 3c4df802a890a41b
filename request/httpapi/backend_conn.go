package httpapi

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errAbandoned is returned for a write to an abandoned connection.
var errAbandoned = errors.New("the connection was given up")

// backendConn is a connection to a backend that accepts no further writes once it has been abandoned. It is needed because
// net/http makes a connection available for reuse before the response on it has been validated.
type backendConn struct {
	net.Conn
	abandoned atomic.Bool
	// written counts the bytes written so far.
	written atomic.Int64
}

// Write writes to the connection, or returns errAbandoned.
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
	// writtenBefore is how many bytes had been written to the connection before the request.
	writtenBefore int64
}

// beginUse records the start of a request's use of a connection.
func beginUse(conn net.Conn) *connUse {
	c, ok := conn.(*backendConn)
	if !ok {
		return &connUse{}
	}
	return &connUse{conn: c, writtenBefore: c.written.Load()}
}

// unwritten reports whether an error of the request means that no byte of it was or will be written.
func (u *connUse) unwritten(err error) bool {
	return errors.Is(err, errAbandoned) && u.conn != nil && u.conn.written.Load() == u.writtenBefore
}

// abandon prevents further requests on the connection, since the response to an earlier request may be outstanding.
func (u *connUse) abandon() {
	if u.conn != nil {
		u.conn.abandoned.Store(true)
	}
}

// dialBackend returns a dial function that returns connections of type backendConn.
func dialBackend(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn}, nil
	}
}
