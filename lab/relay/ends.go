// Functions that end a connection: with a TCP reset, or in the sending direction only.

package relay

import "net"

// reset closes a connection so that its peer receives a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// closeWrite ends the sending direction of a connection, or closes the whole connection if it is not TCP.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		return
	}
	conn.Close()
}
