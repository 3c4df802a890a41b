package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/wire"
)

// correction returns an attempt to send a correction to the backend at an address.
func correction(addr string) *search.Send {
	return &search.Send{
		ID: "n-1.aa", Backend: &snapshot.Backend{Backend: wire.Backend{Addr: addr}}, ShardCount: 1, ShardMap: "c1", Timeout: 1_000_000,
		Request: &search.Request{Kind: search.KindCorrect, Index: "a", Record: "r", Key: "k", Body: "b"},
	}
}

// By default net/http retries a request by itself if the server closes a reused connection after it has read the
// request. The backend client must prevent this, because a correction must not run twice.
func TestSendIsNotRetriedByTransport(t *testing.T) {
	var ran atomic.Int64
	var peers sync.Map
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request BackendRequest
		json.NewDecoder(r.Body).Decode(&request)
		io.ReadAll(r.Body)
		peers.Store(r.RemoteAddr, true)
		if ran.Add(1) == 1 {
			// The response must be valid; otherwise the connection would not be reused.
			body, _ := json.Marshal(search.BackendResponse{RequestID: request.ID, ShardMap: request.ShardMap, Shard: request.Shard, Records: []search.Record{{ID: request.Record}}})
			w.Header().Set("Content-Digest", search.ContentDigest(body))
			w.Write(body)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer srv.Close()
	client := newBackendClient()
	addr := srv.Listener.Addr().String()
	must.Eq(t, search.ClassOK, client.send(context.Background(), correction(addr)).Class)
	must.Eq(t, search.ClassFailed, client.send(context.Background(), correction(addr)).Class)
	must.Eq(t, 2, ran.Load(), must.Sprint("the second request must be written exactly once"))
	connections := 0
	peers.Range(func(any, any) bool { connections++; return true })
	must.Eq(t, 1, connections, must.Sprint("the second request must reuse the connection of the first"))
}

func TestSendWithoutConnectionIsNotWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().String()
	must.NoError(t, l.Close())
	must.Eq(t, search.ClassNotSent, newBackendClient().send(context.Background(), correction(addr)).Class)
}

func TestSendCanceledAfterWritingFailed(t *testing.T) {
	got := make(chan struct{})
	hold := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		close(got)
		<-hold
	}))
	defer srv.Close()
	defer close(hold)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	must.Eq(t, search.ClassFailed, newBackendClient().send(ctx, correction(srv.Listener.Addr().String())).Class)
}
