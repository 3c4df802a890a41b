package search

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

// Owners of a key that run different releases compare these digests to detect different requests under
// one key, so a release must not change them.
func TestRequestDigestIsUnchanged(t *testing.T) {
	for kind, sum := range map[Kind]uint64{
		"search":  17592480188054273655,
		"read":    8775655374562159203,
		"correct": 4373043006364928751,
		"part":    2107713154920092460,
	} {
		must.Eq(t, sum, RequestDigest(&Request{Kind: kind, Index: "docs", Record: "r1", Part: 3, Body: "text"}), must.Sprint(kind))
	}
	must.Eq(t, []Kind{"search", "read", "correct", "part"}, []Kind{KindSearch, KindRead, KindCorrect, KindPart})
}

// If the mapping changed, requests would go to a shard that does not store the record.
func TestShardOfIsUnchanged(t *testing.T) {
	for record, shards := range map[string][2]int{"": {2, 5}, "r1": {4, 44}, "r2": {5, 37}} {
		must.Eq(t, shards, [2]int{ShardOf(record, 7), ShardOf(record, 64)}, must.Sprint(record))
	}
}

// The owners of a key store the encoded outcome and return it to repeated requests, possibly through a
// node of another release, so a release must not change the encoding.
func TestOutcomeEncodingIsUnchanged(t *testing.T) {
	o := Outcome{
		ID: "n-1", Code: CodeOK, Why: "why", Ran: "no", Retry: 1, Cut: "c1", Shard: 2, Shards: []int{0}, Missing: []int{1},
		Records: []Record{{ID: "r", Score: 3, Body: "b"}}, Repeat: true,
	}
	encoded, err := json.Marshal(o)
	must.NoError(t, err)
	must.Eq(t, `{"ID":"n-1","Code":"ok","Why":"why","Ran":"no","Retry":1,"Cut":"c1","Shard":2,"Shards":[0],"Missing":[1],`+
		`"Records":[{"id":"r","score":3,"body":"b"}],"Repeat":true}`, string(encoded))
	var decoded Outcome
	must.NoError(t, json.Unmarshal(encoded, &decoded))
	must.Eq(t, o, decoded)
}
