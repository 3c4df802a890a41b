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

// Limits of connections to backends and of their responses.
const (
	// maxResponseBytes is the maximum size of the body of a response.
	maxResponseBytes       = 4 << 20
	maxResponseHeaderBytes = 16 << 10
	backendDialTimeout     = 300 * time.Millisecond
	backendKeepAlive       = 15 * time.Second
	backendIdleTimeout     = 20 * time.Second
	// maxIdleConns is the maximum number of idle connections to one backend.
	maxIdleConns = 64
)

// BackendRequest is the JSON body of a request to a backend.
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
	// Timeout is the time within which the backend must respond, in microseconds.
	Timeout clock.Micros `json:"within_us"`
}

// NewBackendRequest returns the request body for an attempt.
func NewBackendRequest(attempt *search.Send) BackendRequest {
	request := attempt.Request
	return BackendRequest{
		ID: attempt.ID, Kind: request.Kind, Index: request.Index, ShardMap: attempt.ShardMap, Shard: attempt.Shard,
		Query: request.Query, Limit: request.Limit, Record: request.Record, Part: request.Part, Body: request.Body,
		Key: request.Key, Timeout: attempt.Timeout,
	}
}

// backendClient sends attempts to backends. The transport must not repeat a request by itself. This is ensured by a body
// that cannot be rewound, and by not sending a header that marks the request as idempotent.
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

// unrewindable hides the type of a body from net/http, which then does not set Request.GetBody.
type unrewindable struct{ io.Reader }

func (unrewindable) Close() error { return nil }

// send sends an attempt and validates the response. The request is written to at most one connection.
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

// sendOnce sends an attempt on one connection. again is set if the connection had been abandoned before any byte of the
// request was written; the caller can then try another connection. net/http does not report whether an error occurred
// before the write. sendOnce therefore uses a client trace, which shows whether a connection was used at all and what was
// written to it. It returns [search.ClassNotSent] only if it is certain that no byte was written.
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

// readReply reads a complete response and validates it.
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

// errorReason returns the reason for a failed attempt, without the method and URL that net/http adds.
func errorReason(err error) string {
	if wrapped, ok := err.(interface{ Unwrap() error }); ok {
		err = wrapped.Unwrap()
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return "timed out"
	}
	return err.Error()
}
