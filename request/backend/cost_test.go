// The benchmarks compare an exchange with a minimal backend to plain writes and reads on a socket with the same
// backend. Half of the cost of the plain variant is caused by the backend, so the cost of the node is the cost of the
// exchange less half of the cost of the plain variant. The cost is the CPU time of the process, on which other load on
// the machine has little influence.

package backend

import (
	"bytes"
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"wallport/api/routingpb"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// minimalBackend starts a backend that responds to each request with the body and the request's id, and returns its
// address.
func minimalBackend(b *testing.B, body []byte) *net.TCPAddr {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(b, err)
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, out := make([]byte, 8<<10), make([]byte, 0, 8<<10)
				for {
					n, err := c.Read(in)
					if err != nil {
						return
					}
					id := []byte("a")
					if i := bytes.Index(in[:n], []byte("Try-Id: ")); i >= 0 {
						id, _, _ = bytes.Cut(in[i+8:n], []byte("\r\n"))
					}
					out = fmt.Appendf(out[:0], "HTTP/1.1 200 OK\r\nTry-Id: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n", id, len(body))
					if _, err := c.Write(append(out, body...)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr)
}

func cpuUs() float64 {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
}

var shardBody = bytes.Repeat([]byte{7}, 640)

func BenchmarkExchange(b *testing.B) {
	addr := minimalBackend(b, shardBody)
	cl := newTestClient(b, Config{})
	pool := &snapshot.Pool{Pool: &routingpb.Pool{}}
	server := &snapshot.Backend{Backend: wire.Backend{ID: "s-1", Addr: addr.String()}, Gauge: &snapshot.Gauge{}}
	attempt := func(id string) dispatch.Send {
		return dispatch.Send{
			Pool: pool, Backend: server, Timeout: 5 * clock.Second,
			Request: &dispatch.Request{ID: id, Method: "GET", Target: "/search", Host: "site.example", Header: []byte("Try-Id: " + id + "\r\n")},
		}
	}
	b.ReportAllocs()
	at := cpuUs()
	for b.Loop() {
		if rep := cl.Start(attempt("abcdef0123456789")).Run(); rep.Class != dispatch.ClassResponse {
			b.Fatal(rep.Class, rep.Reason)
		}
	}
	b.ReportMetric((cpuUs()-at)/float64(b.N), "cpu-us/op")
}

func BenchmarkBare(b *testing.B) {
	addr := minimalBackend(b, shardBody)
	c, err := net.DialTCP("tcp", nil, addr)
	must.NoError(b, err)
	defer c.Close()
	out := []byte("GET /search HTTP/1.1\r\nHost: site.example\r\nTry-Id: abcdef0123456789\r\n\r\n")
	in := make([]byte, 8<<10)
	b.ReportAllocs()
	at := cpuUs()
	for b.Loop() {
		if _, err := c.Write(out); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((cpuUs()-at)/float64(b.N), "cpu-us/op")
}
