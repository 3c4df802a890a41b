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
	"wallport/runtime/clock"
)

// Bounds of the connections to backends.
const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes       = 4 << 20
	maxResponseHeaderBytes = 16 << 10
	backendDialTimeout     = 300 * time.Millisecond
	backendKeepAlive       = 15 * time.Second
	backendIdleTimeout     = 20 * time.Second
	// maxIdleConns bounds the unused connections to one backend.
	maxIdleConns = 64
)

// BackendRequest is the body of a request to a backend.
type BackendRequest struct {
	ID       string      `json:"inquiry"`
	Kind     search.Kind `json:"kind"`
	Index    string      `json:"index"`
	ShardMap string      `json:"cut"`
	Shard    int         `json:"shard"`
	Query    string      `json:"query,omitempty"`
	Limit    int         `json:"limit,omitempty"`
	Record   string      `json:"record,omitempty"`
	Part     int         `json:"part,omitempty"`
	Body     string      `json:"body,omitempty"`
	Key      string      `json:"key,omitempty"`
	// Timeout is the time that the backend has, in microseconds.
	Timeout clock.Micros `json:"within_us"`
}

// NewBackendRequest returns the body of an attempt.
func NewBackendRequest(attempt *search.Send) BackendRequest {
	request := attempt.Request
	return BackendRequest{
		ID: attempt.ID, Kind: request.Kind, Index: request.Index, ShardMap: attempt.ShardMap, Shard: attempt.Shard,
		Query: request.Query, Limit: request.Limit, Record: request.Record, Part: request.Part, Body: request.Body,
		Key: request.Key, Timeout: attempt.Timeout,
	}
}

// backendClient sends attempts to backends. The transport must not repeat a request by itself: the body cannot be
// rewound, and no header marks the request as idempotent.
type backendClient struct{ client *http.Client }

func newBackendClient() *backendClient {
	dialer := &net.Dialer{Timeout: backendDialTimeout, KeepAlive: backendKeepAlive}
	return &backendClient{client: &http.Client{
		Transport: &http.Transport{
			DialContext: dialBackend(dialer), MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: backendIdleTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// unrewindable hides a body's type, so that net/http makes no GetBody for it.
type unrewindable struct{ io.Reader }

func (unrewindable) Close() error { return nil }

// send sends an attempt and checks the response. The request is written to one connection at most.
func (c *backendClient) send(ctx context.Context, attempt *search.Send) search.Result {
	request := NewBackendRequest(attempt)
	body, err := json.Marshal(&request)
	if err != nil {
		return search.Result{Class: search.ClassNotSent, Reason: err.Error()}
	}
	for {
		reply, again := c.sendOnce(ctx, attempt, string(request.Kind), body)
		if !again {
			return reply
		}
	}
}

// sendOnce sends an attempt on one connection. again reports whether to try another connection: this one had been
// abandoned before anything was written to it. net/http does not tell whether an error came before the write; the
// client trace tells whether there was a connection at all, so that [search.ClassNotSent] is given only where that is certain.
func (c *backendClient) sendOnce(ctx context.Context, attempt *search.Send, kind string, body []byte) (reply search.Result, again bool) {
	var use atomic.Pointer[connUse]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { use.Store(beginUse(i.Conn)) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Backend.Addr+"/v1/"+kind, unrewindable{bytes.NewReader(body)})
	if err != nil {
		return search.Result{Class: search.ClassNotSent, Reason: err.Error()}, false
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	used := use.Load()
	switch {
	case err != nil && used == nil:
		return search.Result{Class: search.ClassNotSent, Reason: errorReason(err)}, false
	case err != nil && used.unwritten(err):
		return search.Result{Class: search.ClassNotSent, Reason: errorReason(err)}, ctx.Err() == nil
	case err != nil:
		return search.Result{Class: search.ClassFailed, Reason: errorReason(err)}, false
	}
	reply = readReply(attempt, resp)
	if reply.Class == search.ClassInvalid && used != nil {
		used.abandon()
	}
	return reply, false
}

// readReply reads a complete response and checks it.
func readReply(attempt *search.Send, resp *http.Response) search.Result {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return search.Result{Class: search.ClassFailed, Reason: "answer cut short or too large"}
	}
	return search.CheckResponse(attempt, search.RawResponse{
		Status: resp.StatusCode, Length: resp.ContentLength, Digest: resp.Header.Get("Content-Digest"), Body: body,
	})
}

// errorReason returns the reason of a failed attempt, without the method and address that net/http puts before it.
func errorReason(err error) string {
	if wrapped, ok := err.(interface{ Unwrap() error }); ok {
		err = wrapped.Unwrap()
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return "timed out"
	}
	return err.Error()
}
