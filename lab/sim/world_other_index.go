// A second index on the same fleet, "set other_index NAME": its pool has its own servers, service and shard map,
// and faults of the first pool must not affect it.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/request/search"
)

const otherShardMap = "d1"

// otherIndex returns the name of the second index, "" without one.
func (w *World) otherIndex() string { return w.Script.Text("other_index", "") }

// addOtherServers starts its servers, three a shard.
func (w *World) addOtherServers() {
	if w.otherIndex() == "" {
		return
	}
	w.shardMaps[otherShardMap] = w.Shape.Shards
	for i := range 3 * w.Shape.Shards {
		row := w.Shape.Backend(i, otherShardMap, w.Shape.Shards, "")
		row.Index = w.otherIndex()
		w.addServer(row, w.Shape.Shards)
	}
}

// addOtherConfig adds a service and rows like those of the first index, with spare capacity.
func (w *World) addOtherConfig(s map[string]any) {
	if w.otherIndex() == "" {
		return
	}
	for _, table := range []string{"services", "rows"} {
		for _, row := range s[table].([]any) {
			b, _ := json.Marshal(row)
			var r map[string]any
			if json.Unmarshal(b, &r) != nil {
				return
			}
			r["index"] = w.otherIndex()
			delete(r, "ceiling")
			if table == "services" {
				r["capacity"] = 2000
			}
			s[table] = append(s[table].([]any), r)
		}
	}
}

// countOtherPool counts the responses to callers of the second index.
func (w *World) countOtherPool(in *search.Request, o *search.Outcome) {
	if w.otherIndex() == "" || in.Index != w.otherIndex() {
		return
	}
	switch {
	case o.Code == search.CodeOK && len(o.Missing) == 0, o.Code == search.CodeConflict:
		w.Checker.Count("other.good", 1)
	default:
		w.Checker.Count("other.bad", 1)
		w.logEvent(fmt.Sprint("other pool felt it: ", o.Code, " ", o.Why, " ", o.Missing))
	}
}
