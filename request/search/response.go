// The check of a server's answer: it must echo the ask, come from the shard
// and cut that were asked, be whole by length and digest, and be in order.
// Anything else is garbage and is never passed on.

package search

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"
)

// ServerResponse is a server's answer, as it stands in the body.
type ServerResponse struct {
	RequestID   string   `json:"inquiry"`
	ShardMap    string   `json:"cut"`
	Shard       int      `json:"shard"`
	Incarnation int64    `json:"incarnation"`
	Load        int64    `json:"usage"`
	Records     []Record `json:"records"`
}

// RawResponse is an answer before it is checked.
type RawResponse struct {
	Status int
	Length int64
	Digest string
	Body   []byte
}

// ContentDigest is the Content-Digest field of a body.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// CheckResponse judges an answer to an ask.
func CheckResponse(a *Send, raw RawResponse) Reply {
	garbage := func(why string) Reply { return Reply{Class: ReplyInvalid, Reason: why} }
	if raw.Length >= 0 && raw.Length != int64(len(raw.Body)) {
		return garbage("length")
	}
	if raw.Digest != ContentDigest(raw.Body) {
		return garbage("digest")
	}
	var s ServerResponse
	if json.Unmarshal(raw.Body, &s) != nil {
		return garbage("body")
	}
	switch {
	case s.RequestID != a.ID:
		return garbage("answers another inquiry")
	case s.ShardMap != a.ShardMap:
		return garbage("another cut")
	case s.Shard != a.Shard:
		return garbage("another shard")
	}
	r := Reply{Class: ReplyOK, Records: s.Records, Incarnation: s.Incarnation, Load: s.Load}
	switch raw.Status {
	case 200:
	case 404:
		r.Class = ReplyNotFound
		return r
	case 503:
		r.Class = ReplyRejected
		return r
	default:
		r.Class, r.Reason = ReplyFailed, "status"
		return r
	}
	if !slices.IsSortedFunc(s.Records, Before) {
		return garbage("records out of order")
	}
	if a.Request.Kind != KindSearch && (len(s.Records) != 1 || s.Records[0].ID != a.Request.Record) {
		return garbage("another record")
	}
	for i, rec := range s.Records {
		if ShardOf(rec.ID, a.ShardCount) != a.Shard {
			return garbage("a record of another shard")
		}
		if i > 0 && rec.ID == s.Records[i-1].ID {
			return garbage("a record twice")
		}
	}
	return r
}
