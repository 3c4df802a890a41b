package config

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Conflicts lists the rows that a JSON list of row edits names and that changed between the configuration
// which the edits are based on and the current one. Two operators who edit different rows at once both
// succeed; of two who edit the same row one does, and the other learns what changed meanwhile. Edits that
// cannot be decoded conflict with nothing; Apply reports them.
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
				c.add(key, "was removed meanwhile")
			case !existed:
				c.add(key, "was made meanwhile")
			case !proto.Equal(before, now):
				c.add(key, "changed meanwhile: %s", strings.Join(changedFields(before, now), " "))
			}
			seen[key] = true
		}
	}
	return c.found
}
