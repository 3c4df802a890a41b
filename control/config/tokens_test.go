package config

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
)

func TestReadTokensReportsAllFindings(t *testing.T) {
	cases := map[string]string{
		`{"tokens":[{"token":"12345678","who":"a","scope":"read"},{"token":"abcdefgh","who":"b","scope":"rows","indexes":["x"]}]}`: "",
		`{"tokens":[{"token":"1234567","scope":"root"}]}`:                                                                          "tokens[0].token tokens[0].who tokens[0].scope",
		`{"tokens":[{"token":"12345678","who":"a","scope":"all","indexes":["x"]}]}`:                                                "tokens[0].indexes",
		`{"tokens":[{"token":"12345678","who":"a","scope":"rows"}]}`:                                                               "tokens[0].indexes",
		`{"tokens":[{"token":"12345678","who":"a","scope":"all"},{"token":"12345678","who":"b","scope":"all"}]}`:                   "tokens[1].token",
		`{"tokens":[{"token":"12345678","who":"a","scope":"all","scpe":1}]}`:                                                       "tokens[0].scpe",
		`{"tokens":[{"token":"12345678","who":"a","who":"b","scope":"all"}]}`:                                                      "tokens[0].who tokens[0].who",
		`{"tokens":[]}`: "tokens",
		`[`:             "tokens",
	}
	for text, want := range cases {
		_, found := ReadTokens([]byte(text))
		must.Eq(t, want, findingPaths(found), must.Sprint(text))
	}
}

func TestEditedIndexes(t *testing.T) {
	s := &configpb.Sheet{Bookings: []*configpb.Booking{{Id: "mine", Index: "a"}}}
	cases := map[string][]string{
		`[{"op":"set","table":"rows","row":{"index":"a"}},{"op":"set","table":"services","row":{"index":"b"}}]`: {"a", "b"},
		`[{"op":"remove","table":"bookings","row":{"id":"mine"}}]`:                                              {"a"},
		// Moving a booking to another index affects both indexes.
		`[{"op":"set","table":"bookings","row":{"id":"mine","index":"b"}}]`: {"b", "a"},
		`[{"op":"set","table":"rows","row":{}}]`:                            {""},
		`[{"op":"set","table":"rows","row":3}]`:                             {""},
		`{`:                                                                 {""},
	}
	for text, want := range cases {
		must.Eq(t, want, EditedIndexes(s, []byte(text)), must.Sprint(text))
	}
}
