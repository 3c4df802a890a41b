// How long a connection waits for a peer that says nothing at all: one that has
// lost power, or is behind a cut, does not even acknowledge what is sent to it.
// A frozen process's machine still does.

package process

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before a connection ends: what
// follows is then sent on a new one, and finds a peer that has come back.
const userTimeout = 1500 * time.Millisecond

// setUserTimeout sets that on a connection; where it cannot be set, writeTimeout bounds the wait.
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
