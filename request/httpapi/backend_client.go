// One message to one server over HTTP. The transport must not repeat it by
// itself: the body cannot be rewound and no header marks it as repeatable. It
// is known whether a connection was ever had, so that "not one byte was
// written" is only said when that is certain.

package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"wallport/request/search"
)

// maxResponseBytes bounds an answer's body.
const maxResponseBytes = 4 << 20

// BackendRequest is what a server is sent.
type BackendRequest struct {
	ID       string `json:"inquiry"`
	Kind     string `json:"kind"`
	Index    string `json:"index"`
	ShardMap string `json:"cut"`
	Shard    int    `json:"shard"`
	Query    string `json:"query,omitempty"`
	Limit    int    `json:"limit,omitempty"`
	Record   string `json:"record,omitempty"`
	Part     int    `json:"part,omitempty"`
	Body     string `json:"body,omitempty"`
	Key      string `json:"key,omitempty"`
	Within   int64  `json:"within_us"`
}

// NewBackendRequest makes the message of an ask.
func NewBackendRequest(a *search.Send) BackendRequest {
	in := a.Request
	return BackendRequest{
		ID: a.ID, Kind: in.Kind, Index: in.Index, ShardMap: a.ShardMap, Shard: a.Shard, Query: in.Query, Limit: in.Limit,
		Record: in.Record, Part: in.Part, Body: in.Body, Key: in.Key, Within: a.Timeout,
	}
}

type backendClient struct{ client *http.Client }

func newBackendClient() *backendClient {
	d := &net.Dialer{Timeout: 300 * time.Millisecond, KeepAlive: 15 * time.Second}
	return &backendClient{client: &http.Client{
		Transport: &http.Transport{
			DialContext: dialBackend(d), MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 16 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// unrewindable hides a body's type, so that no GetBody is made for it.
type unrewindable struct{ io.Reader }

func (unrewindable) Close() error { return nil }

// send sends a message and checks its answer. It is written to one connection at most.
func (k *backendClient) send(ctx context.Context, a *search.Send) search.Reply {
	m := NewBackendRequest(a)
	body, err := json.Marshal(&m)
	if err != nil {
		return search.Reply{Class: search.ReplyNotWritten, Reason: err.Error()}
	}
	for {
		rep, again := k.sendOnce(ctx, a, m.Kind, body)
		if !again {
			return rep
		}
	}
}

// sendOnce sends a message on one connection; again is that this had been given up before anything was written to it.
func (k *backendClient) sendOnce(ctx context.Context, a *search.Send, kind string, body []byte) (rep search.Reply, again bool) {
	var had atomic.Pointer[connUse]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { had.Store(beginUse(i.Conn)) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Backend.Addr+"/v1/"+kind, unrewindable{bytes.NewReader(body)})
	if err != nil {
		return search.Reply{Class: search.ReplyNotWritten, Reason: err.Error()}, false
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := k.client.Do(req)
	used := had.Load()
	switch {
	case err != nil && used == nil:
		return search.Reply{Class: search.ReplyNotWritten, Reason: errorReason(err)}, false
	case err != nil && used.unwritten(err):
		return search.Reply{Class: search.ReplyNotWritten, Reason: errorReason(err)}, ctx.Err() == nil
	case err != nil:
		return search.Reply{Class: search.ReplyFailed, Reason: errorReason(err)}, false
	}
	rep = readReply(a, resp)
	if rep.Class == search.ReplyInvalid && used != nil {
		used.abandon()
	}
	return rep, false
}

// readReply reads an answer whole and checks it.
func readReply(a *search.Send, resp *http.Response) search.Reply {
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(got) > maxResponseBytes {
		return search.Reply{Class: search.ReplyFailed, Reason: "answer cut short or too large"}
	}
	return search.CheckResponse(a, search.RawResponse{
		Status: resp.StatusCode, Length: resp.ContentLength, Digest: resp.Header.Get("Content-Digest"), Body: got,
	})
}

func errorReason(err error) string {
	var n net.Error
	if e, ok := err.(interface{ Unwrap() error }); ok {
		err = e.Unwrap()
	}
	if e, ok := err.(net.Error); ok {
		n = e
	}
	if n != nil && n.Timeout() {
		return "timed out"
	}
	return err.Error()
}
