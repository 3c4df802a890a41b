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

// Sealed is a server's answer, as it stands in the body.
type Sealed struct {
	Inquiry     string   `json:"inquiry"`
	Cut         string   `json:"cut"`
	Shard       int      `json:"shard"`
	Incarnation int64    `json:"incarnation"`
	Usage       int64    `json:"usage"`
	Records     []Record `json:"records"`
}

// Raw is an answer before it is checked.
type Raw struct {
	Status int
	Length int64
	Digest string
	Body   []byte
}

// Digest is the Content-Digest field of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Check judges an answer to an ask.
func Check(a *Ask, raw Raw) Reply {
	garbage := func(why string) Reply { return Reply{Class: ReplyGarbage, Why: why} }
	if raw.Length >= 0 && raw.Length != int64(len(raw.Body)) {
		return garbage("length")
	}
	if raw.Digest != Digest(raw.Body) {
		return garbage("digest")
	}
	var s Sealed
	if json.Unmarshal(raw.Body, &s) != nil {
		return garbage("body")
	}
	switch {
	case s.Inquiry != a.ID:
		return garbage("answers another inquiry")
	case s.Cut != a.Cut:
		return garbage("another cut")
	case s.Shard != a.Shard:
		return garbage("another shard")
	}
	r := Reply{Class: ReplyOK, Records: s.Records, Incarnation: s.Incarnation, Usage: s.Usage}
	switch raw.Status {
	case 200:
	case 404:
		r.Class = ReplyAbsent
		return r
	case 503:
		r.Class = ReplyShed
		return r
	default:
		r.Class, r.Why = ReplyFailed, "status"
		return r
	}
	if !slices.IsSortedFunc(s.Records, Before) {
		return garbage("records out of order")
	}
	if a.Inquiry.Kind != Search && (len(s.Records) != 1 || s.Records[0].ID != a.Inquiry.Record) {
		return garbage("another record")
	}
	for i, rec := range s.Records {
		if ShardOf(rec.ID, a.Shards) != a.Shard {
			return garbage("a record of another shard")
		}
		if i > 0 && rec.ID == s.Records[i-1].ID {
			return garbage("a record twice")
		}
	}
	return r
}
