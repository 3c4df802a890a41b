package search

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
)

// BackendResponse is the JSON body of a backend's response.
type BackendResponse struct {
	RequestID   string   `json:"inquiry"`
	ShardMap    string   `json:"cut"`
	Shard       int      `json:"shard"`
	Incarnation int64    `json:"incarnation"`
	Load        int64    `json:"usage"`
	Records     []Record `json:"records"`
}

// RawResponse is a backend's response before [CheckResponse] has validated it.
type RawResponse struct {
	Status int
	// Length is the value of the Content-Length field; negative if the field is absent.
	Length int64
	// Digest is the value of the Content-Digest field.
	Digest string
	Body   []byte
}

// ContentDigest returns the value of the Content-Digest field for a body.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// CheckResponse validates the response to an attempt. The length and the digest of the body must
// match, the response must echo the attempt's id, shard and shard map, and its records must belong
// to that shard, be sorted and contain no duplicates. A response that fails a check yields
// [ClassInvalid] with the reason, and its content is never passed on.
func CheckResponse(a *Send, raw RawResponse) Result {
	if raw.Length >= 0 && raw.Length != int64(len(raw.Body)) {
		return invalid("length")
	}
	if raw.Digest != ContentDigest(raw.Body) {
		return invalid("digest")
	}
	var response BackendResponse
	if json.Unmarshal(raw.Body, &response) != nil {
		return invalid("body")
	}
	switch {
	case response.RequestID != a.ID:
		return invalid("answers another inquiry")
	case response.ShardMap != a.ShardMap:
		return invalid("another cut")
	case response.Shard != a.Shard:
		return invalid("another shard")
	}
	result := Result{Class: ClassOK, Records: response.Records, Incarnation: response.Incarnation, Load: response.Load}
	switch raw.Status {
	case http.StatusOK:
	case http.StatusNotFound:
		result.Class = ClassNotFound
		return result
	case http.StatusServiceUnavailable:
		result.Class = ClassRejected
		return result
	default:
		result.Class, result.Reason = ClassFailed, "status"
		return result
	}
	if reason := checkRecords(a, response.Records); reason != "" {
		return invalid(reason)
	}
	return result
}

func invalid(reason string) Result { return Result{Class: ClassInvalid, Reason: reason} }

// checkRecords returns why the records of a response are invalid, or an empty string if they are valid.
func checkRecords(a *Send, records []Record) string {
	if !slices.IsSortedFunc(records, Before) {
		return "records out of order"
	}
	if a.Request.Kind != KindSearch && (len(records) != 1 || records[0].ID != a.Request.Record) {
		return "another record"
	}
	for i, record := range records {
		if ShardOf(record.ID, a.ShardCount) != a.Shard {
			return "a record of another shard"
		}
		if i > 0 && record.ID == records[i-1].ID {
			return "a record twice"
		}
	}
	return ""
}
