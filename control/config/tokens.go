// Operators' tokens: who may look, who may edit the rows of which indexes, who may do
// everything. Read with protojson, every fault with its place.

package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Scopes of tokens, each with what the one before it allows.
const (
	ScopeRead = "read"
	ScopeRows = "rows"
	ScopeAll  = "all"
)

const minTokenBytes = 8

// ReadTokens decodes and checks a file of tokens.
func ReadTokens(body []byte) (*configpb.Tokens, []wire.Finding) {
	f := &collector{found: DuplicateNames(body)}
	out := new(configpb.Tokens)
	var file struct {
		Tokens []json.RawMessage `json:"tokens"`
	}
	if err := json.Unmarshal(body, &file); err != nil {
		f.add("tokens", "cannot be read: %v", err)
		return out, f.found
	}
	seen := map[string]int{}
	for i, raw := range file.Tokens {
		at := fmt.Sprintf("tokens[%d]", i)
		t := new(configpb.Token)
		f.row(at, raw, t)
		out.Tokens = append(out.Tokens, t)
		if len(t.Token) < minTokenBytes {
			f.add(at+".token", "needs %d characters at least", minTokenBytes)
		} else if was, twice := seen[t.Token]; twice {
			f.add(at+".token", "is that of tokens[%d] already", was)
		}
		seen[t.Token] = i
		if t.Who == "" {
			f.add(at+".who", "is needed, for the audit")
		}
		if !slices.Contains([]string{ScopeRead, ScopeRows, ScopeAll}, t.Scope) {
			f.add(at+".scope", "%q is not one of read, rows, all", t.Scope)
		}
		if (t.Scope == ScopeRows) != (len(t.Indexes) > 0) {
			f.add(at+".indexes", "go with the scope rows, and only with it")
		}
	}
	if len(file.Tokens) == 0 {
		f.add("tokens", "are missing: nobody could do anything")
	}
	return out, f.found
}

// EditedIndexes lists the indexes whose rows the edits name, an empty name where one
// cannot be told.
func EditedIndexes(s *configpb.Sheet, body []byte) []string {
	var edits []RowEdit
	if json.Unmarshal(body, &edits) != nil {
		return []string{""}
	}
	var out []string
	for _, e := range edits {
		var r struct{ Index, ID string }
		if json.Unmarshal(e.Row, &r) != nil {
			return []string{""}
		}
		out = append(out, r.Index)
		for _, b := range s.GetBookings() {
			// A booking is also of the index that it is taken from.
			if e.Table == "bookings" && b.Id == r.ID {
				out = append(out, b.Index)
			}
		}
		if e.Table == "bookings" && e.Op == "remove" && r.Index == "" {
			out = slices.DeleteFunc(out, func(x string) bool { return x == "" })
		}
	}
	return out
}
