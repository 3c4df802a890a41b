// Defects of the stand-ins' responses, for real and simulated servers.

package backend

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/request/search"
)

// EncodeWithDefect encodes a response with the defect that mode names. If mode does not name a defect of responses,
// the response is intact. closed reports that the connection must be closed before the announced length is sent.
func EncodeWithDefect(mode string, status int, s search.BackendResponse) (raw search.RawResponse, closed bool) {
	switch mode {
	case "foreign":
		s.RequestID = "somebody-else-1.aa"
	case "othercut":
		s.ShardMap = "another"
	case "othershard":
		s.Shard++
	case "unsorted":
		s.Records = slices.Clone(s.Records)
		slices.Reverse(s.Records)
	case "wrongrecord":
		// The response is well-formed and of the right shard, but the record is not the requested one.
		if len(s.Records) == 1 {
			s.Records = slices.Clone(s.Records)
			for n := 0; ; n++ {
				s.Records[0].ID = fmt.Sprintf("alien-%d", n)
				if search.ShardOf(s.Records[0].ID, 4) == s.Shard {
					break
				}
			}
		}
	case "otherrecord":
		// The response is well-formed, but the records belong to other shards.
		s.Records = slices.Clone(s.Records)
		for i := range s.Records {
			for n := 0; ; n++ {
				s.Records[i].ID = fmt.Sprintf("alien-%d-%d", i, n)
				if search.ShardOf(s.Records[i].ID, 4) != s.Shard {
					break
				}
			}
		}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return search.RawResponse{Status: 500}, false
	}
	raw = search.RawResponse{Status: status, Length: int64(len(b)), Digest: search.ContentDigest(b), Body: b}
	switch mode {
	case "garbage":
		raw.Body = []byte("\x00\xff{{{")
		raw.Length = int64(len(raw.Body))
	case "truncate":
		raw.Body = b[:len(b)/2]
		closed = true
	case "short":
		raw.Body = b[:len(b)-2]
		raw.Length = int64(len(raw.Body))
	case "flipped":
		raw.Body = slices.Clone(b)
		raw.Body[len(b)/2] ^= 1
	case "undigested":
		raw.Digest = ""
	}
	return raw, closed
}
