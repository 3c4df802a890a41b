// Resource faults and misbehaving clients: exhausted file descriptors, connection floods, incomplete request headers,
// responses that the client does not read, malformed requests.

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"wallport/platform"
)

func resourceFaults() []faultKind {
	return []faultKind{
		{"descriptors_out", 2, exhaustDescriptors},
		{"client_flood", 2, clientFlood},
		{"client_garbage", 2, clientGarbage},
		{"client_unread", 2, clientUnread},
	}
}

// exhaustDescriptors limits a process to the number of file descriptors that it has open.
func exhaustDescriptors(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	d := r.daemons[rng.IntN(len(r.daemons))]
	pid := d.pid()
	open, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	var was unix.Rlimit
	if pid == 0 || err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &was) != nil {
		return
	}
	s := nodeFault(d.machine)
	s.disruptsCores = d.role == roleCore
	r.withFault(s, func() {
		r.logf("%s is limited to its %d open file descriptors", d.name, len(open))
		unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)), Max: was.Max}, nil)
		sleep(ctx, duration)
		if d.pid() == pid {
			unix.Prlimit(pid, unix.RLIMIT_NOFILE, &was, nil)
		}
	})
}

// floodConnections is the number of connections that a flood opens.
const floodConnections = 300

// clientFlood opens many connections to a node, sends incomplete request headers on some, and keeps them open.
func clientFlood(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	addr := r.clients.addrs[machineName(anyMachine(rng))]
	var open []net.Conn
	for range floodConnections {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			break
		}
		open = append(open, conn)
		if rng.IntN(2) == 0 {
			io.WriteString(conn, "GET /read/never HTTP/1.1\r\nHost: "+siteHost)
		}
	}
	sleep(ctx, duration)
	for _, conn := range open {
		conn.Close()
	}
}

// malformedRequests returns malformed or forbidden requests with an id that contains n; none of them may run.
func malformedRequests(n int) []string {
	id := fmt.Sprintf("bad-%d", n)
	head := "POST /fix/" + id + " HTTP/1.1\r\nHost: " + siteHost + "\r\n"
	attemptHeader := platform.HeaderAttempt + ": " + id + "\r\n"
	return []string{
		head + "Content-Length: 3\r\n\r\nabc",
		head + attemptHeader + platform.HeaderAttempt + ": " + id + "x\r\nContent-Length: 3\r\n\r\nabc",
		head + attemptHeader + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		head + attemptHeader + "Content-Length: -1\r\n\r\nabc",
		head + attemptHeader + "X: " + strings.Repeat("x", 70_000) + "\r\n\r\n",
		head + attemptHeader + "Content-Length: 99999999\r\n\r\nabc",
		head + attemptHeader + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
		head + attemptHeader + "Content-Length: 10\r\n\r\nabc",
		"\x16\x03\x01\x02\x00",
		"GET /nowhere HTTP/1.1\r\nHost: " + siteHost + "\r\n" + attemptHeader + "\r\n",
	}
}

// clientGarbage sends each malformed request to a node, on its own connection, and reads every second response.
func clientGarbage(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	addr := r.clients.addrs[machineName(anyMachine(rng))]
	for n, text := range malformedRequests(rng.IntN(1_000_000)) {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return
		}
		conn.SetDeadline(time.Now().Add(duration / 4))
		io.WriteString(conn, text)
		if n%2 == 0 {
			io.Copy(io.Discard, conn)
		}
		conn.Close()
	}
}

// clientUnread sends requests to a node on one connection and never reads the responses.
func clientUnread(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	addr := r.clients.addrs[machineName(anyMachine(rng))]
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(1)
	conn.SetDeadline(time.Now().Add(duration))
	k := requestKinds[1]
	for ctx.Err() == nil {
		attempt := r.clients.newAttempt(k, "", 1, time.Now().Add(k.deadline))
		r.clients.end(attempt, func() { attempt.Canceled = true })
		if _, err := conn.Write(requestText(attempt, k.deadline)); err != nil {
			return
		}
		sleep(ctx, 20*time.Millisecond)
	}
}
