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

// answerMost bounds an answer's body.
const answerMost = 4 << 20

// Message is what a server is sent.
type Message struct {
	Inquiry string `json:"inquiry"`
	Kind    string `json:"kind"`
	Index   string `json:"index"`
	Cut     string `json:"cut"`
	Shard   int    `json:"shard"`
	Query   string `json:"query,omitempty"`
	Limit   int    `json:"limit,omitempty"`
	Record  string `json:"record,omitempty"`
	Part    int    `json:"part,omitempty"`
	Body    string `json:"body,omitempty"`
	Key     string `json:"key,omitempty"`
	Within  int64  `json:"within_us"`
}

// Of makes the message of an ask.
func Of(a *search.Ask) Message {
	in := a.Inquiry
	return Message{
		Inquiry: a.ID, Kind: in.Kind, Index: in.Index, Cut: a.Cut, Shard: a.Shard, Query: in.Query, Limit: in.Limit,
		Record: in.Record, Part: in.Part, Body: in.Body, Key: in.Key, Within: a.Within,
	}
}

type asker struct{ client *http.Client }

func newAsker() *asker {
	d := &net.Dialer{Timeout: 300 * time.Millisecond, KeepAlive: 15 * time.Second}
	return &asker{client: &http.Client{
		Transport: &http.Transport{
			DialContext: dialServer(d), MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second,
			DisableCompression: true, MaxResponseHeaderBytes: 16 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// unrewindable hides a body's type, so that no GetBody is made for it.
type unrewindable struct{ io.Reader }

func (unrewindable) Close() error { return nil }

// ask sends a message and checks its answer. It is written to one connection at most.
func (k *asker) ask(ctx context.Context, a *search.Ask) search.Reply {
	m := Of(a)
	body, err := json.Marshal(&m)
	if err != nil {
		return search.Reply{Class: search.ReplyNotWritten, Why: err.Error()}
	}
	for {
		rep, again := k.once(ctx, a, m.Kind, body)
		if !again {
			return rep
		}
	}
}

// once sends a message on one connection; again is that this had been given up before anything was written to it.
func (k *asker) once(ctx context.Context, a *search.Ask, kind string, body []byte) (rep search.Reply, again bool) {
	var had atomic.Pointer[connUse]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { had.Store(beginUse(i.Conn)) }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Server.Addr+"/v1/"+kind, unrewindable{bytes.NewReader(body)})
	if err != nil {
		return search.Reply{Class: search.ReplyNotWritten, Why: err.Error()}, false
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := k.client.Do(req)
	used := had.Load()
	switch {
	case err != nil && used == nil:
		return search.Reply{Class: search.ReplyNotWritten, Why: reason(err)}, false
	case err != nil && used.unwritten(err):
		return search.Reply{Class: search.ReplyNotWritten, Why: reason(err)}, ctx.Err() == nil
	case err != nil:
		return search.Reply{Class: search.ReplyFailed, Why: reason(err)}, false
	}
	rep = receive(a, resp)
	if rep.Class == search.ReplyGarbage && used != nil {
		used.giveUp()
	}
	return rep, false
}

// receive reads an answer whole and checks it.
func receive(a *search.Ask, resp *http.Response) search.Reply {
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, answerMost+1))
	if err != nil || len(got) > answerMost {
		return search.Reply{Class: search.ReplyFailed, Why: "answer cut short or too large"}
	}
	return search.Check(a, search.Raw{
		Status: resp.StatusCode, Length: resp.ContentLength, Digest: resp.Header.Get("Content-Digest"), Body: got,
	})
}

func reason(err error) string {
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
