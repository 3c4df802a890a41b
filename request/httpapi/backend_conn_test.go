package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/search"
)

// lateBackend responds to each request on its first connection with the response to the previous request. On all other
// connections it responds correctly.
type lateBackend struct {
	l     net.Listener
	conns atomic.Int64
}

func newLateBackend(t *testing.T) *lateBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &lateBackend{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, s.conns.Add(1) == 1)
		}
	}()
	return s
}

func (s *lateBackend) serve(c net.Conn, behind bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	before := "n-0.surplus"
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var m BackendRequest
		if json.NewDecoder(req.Body).Decode(&m) != nil {
			return
		}
		id := m.ID
		if behind {
			id, before = before, id
		}
		body, _ := json.Marshal(search.BackendResponse{RequestID: id, ShardMap: m.ShardMap, Shard: m.Shard, Records: []search.Record{{ID: m.Record}}})
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s", search.ContentDigest(body), len(body), body)
	}
}

func TestSendAbandonsConnectionWithOutstandingResponse(t *testing.T) {
	s := newLateBackend(t)
	k := newBackendClient()
	a := correction(s.l.Addr().String())
	rep := k.send(context.Background(), a)
	must.Eq(t, search.ClassInvalid, rep.Class)
	must.Eq(t, "answers another inquiry", rep.Reason)
	next := *a
	next.ID = "n-1.bb"
	rep = k.send(context.Background(), &next)
	must.Eq(t, search.ClassOK, rep.Class, must.Sprint(rep.Reason))
	must.Eq(t, 2, s.conns.Load())
}

// If a connection is abandoned while a request is being written to it, a part of the request was written, so it must not
// count as unwritten.
func TestPartlyWrittenRequestIsNotUnwritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go io.Copy(io.Discard, far)
	conn := &backendConn{Conn: near}
	first := beginUse(conn)
	_, err := conn.Write([]byte("a part"))
	must.NoError(t, err)
	second := beginUse(conn)
	second.abandon()
	_, err = conn.Write([]byte("the rest"))
	must.ErrorIs(t, err, errAbandoned)
	must.False(t, first.unwritten(err))
	must.True(t, second.unwritten(err))
	must.False(t, second.unwritten(net.ErrClosed), must.Sprint("the request must not count as unwritten, because bytes may still be written after this error"))
}
