// This file contains the second process of the benchmarks. It runs the clients, and backends that respond immediately.

package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

// job is a number of requests that are sent by concurrent clients. Each client uses one connection, or with Fresh a
// new connection for each request.
type job struct {
	Addr, Path string
	Post       bool
	Requests   int
	Clients    int
	Fresh      bool
}

// peerMain is the main function of the second process. It prints the addresses of its backends, and then runs the
// jobs that it reads from standard input.
func peerMain() {
	n, _ := strconv.Atoi(os.Getenv(peerVar))
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addrs = append(addrs, l.Addr().String())
		go backends(l)
	}
	out := json.NewEncoder(os.Stdout)
	out.Encode(addrs)
	in := json.NewDecoder(os.Stdin)
	for {
		var j job
		if in.Decode(&j) != nil {
			return
		}
		out.Encode(j.run())
	}
}

func backends(l net.Listener) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 40)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				var id []byte
				length := 0
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if v, ok := bytes.CutPrefix(line, []byte("Try-Id: ")); ok {
						id = append(id, bytes.TrimSpace(v)...)
					}
					if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
						length, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
					}
					if len(line) == 2 {
						break
					}
				}
				r.Discard(length)
				out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTry-Id: %s\r\nStamp: %s.%s\r\nBusy: 1,0,8\r\nKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n", id, id, l.Addr(), len(body))
				if _, err := c.Write(append(out, body...)); err != nil {
					return
				}
			}
		}()
	}
}

// run carries out a job and returns how many responses had status 200.
func (j job) run() int {
	var wg sync.WaitGroup
	good := make([]int, j.Clients)
	for i := range j.Clients {
		wg.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for n := range j.Requests / j.Clients {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", j.Addr); err != nil {
						return
					}
					r = bufio.NewReader(c)
				}
				method, end := "GET", ""
				if j.Post {
					method, end = "POST", "Content-Length: 900\r\n"
				}
				req := fmt.Appendf(nil, "%s %s/2f?page=%d HTTP/1.1\r\nHost: h.example\r\nTry-Id: %x-%x\r\nLeft: 6000\r\nAccept: */*\r\nUser-Agent: c/1\r\n%s\r\n", method, j.Path, n, i, n, end)
				if j.Post {
					req = append(req, make([]byte, 900)...)
				}
				c.Write(req)
				status, err := r.ReadString('\n')
				if err != nil {
					return
				}
				length := 0
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
						length, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
					}
					if len(line) == 2 {
						break
					}
				}
				r.Discard(length)
				if status[9:12] == "200" {
					good[i]++
				}
				if j.Fresh {
					c.Close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	n := 0
	for _, g := range good {
		n += g
	}
	return n
}
