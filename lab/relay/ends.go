// How connections end: with a reset, or one way alone.

package relay

import "net"

// reset ends a connection so that its peer is told of a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// endWriting passes on that one side has nothing more to say.
func endWriting(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		return
	}
	conn.Close()
}
