package process

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before a connection is closed (RFC 5482).
// It detects a peer that lost power or is behind a network partition, but not a frozen process, whose
// machine still acknowledges. Later frames are sent on a new connection, which reaches the peer once it
// is available again.
const userTimeout = 1500 * time.Millisecond

// setUserTimeout sets the TCP user timeout of a connection. If that fails, only writeTimeout limits how long
// a write to an unresponsive peer may block.
func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
