// Two operators who edit different rows at once both have their way; of two who
// edit the same row one does, and the other is told what changed under it.

package config

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/proto"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

// Conflicts lists the rows that the edits name and that are not now what they were in
// the sheet that the edits are based on. Edits that cannot be read clash with nothing.
func Conflicts(base, now *configpb.Sheet, body []byte) []wire.Finding {
	var edits []RowEdit
	if json.Unmarshal(body, &edits) != nil {
		return nil
	}
	was, is := rowsByKey(base), rowsByKey(now)
	f := &collector{}
	seen := map[string]bool{}
	for _, e := range edits {
		tmp := new(configpb.Sheet)
		(&collector{}).row("", e.Row, newRow(tmp, e.Table))
		for key := range rowsByKey(tmp) {
			a, had := was[key]
			b, has := is[key]
			switch {
			case seen[key] || !had && !has:
			case had && !has:
				f.add(key, "was removed meanwhile")
			case !had:
				f.add(key, "was made meanwhile")
			case !proto.Equal(a, b):
				f.add(key, "changed meanwhile: %s", strings.Join(changedFields(a, b), " "))
			}
			seen[key] = true
		}
	}
	return f.found
}
