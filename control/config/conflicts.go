package config

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Conflicts compares base, the configuration that a JSON list of row edits is based on, with current, the
// configuration in force. It returns a finding for each edited row that differs between them. Concurrent edits of
// different rows therefore both succeed. Of concurrent edits of the same row only one succeeds, and the findings tell
// the other operator what has changed. Edits that cannot be decoded have no conflicts; Apply reports them.
func Conflicts(base, current *configpb.Sheet, body []byte) []wire.Finding {
	var edits []RowEdit
	if json.Unmarshal(body, &edits) != nil {
		return nil
	}
	baseRows, currentRows := rowsByKey(base), rowsByKey(current)
	c := &collector{}
	seen := map[string]bool{}
	for _, edit := range edits {
		decoded := new(configpb.Sheet)
		(&collector{}).row("", edit.Row, newRow(decoded, edit.Table))
		for key := range rowsByKey(decoded) {
			before, existed := baseRows[key]
			now, exists := currentRows[key]
			switch {
			case seen[key] || !existed && !exists:
			case existed && !exists:
				c.add(key, "was removed since the base version")
			case !existed:
				c.add(key, "was added since the base version")
			case !proto.Equal(before, now):
				c.add(key, "changed since the base version: %s", strings.Join(changedFields(before, now), " "))
			}
			seen[key] = true
		}
	}
	return c.found
}
