// A second index on the same fleet, "set other_index NAME": its pool has servers, a
// sheet's service and a cut of its own, and whatever becomes of the first pool must
// not be felt in it.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/request/search"
)

const otherCut = "d1"

// other is the name of the second index, empty without one.
func (w *World) other() string { return w.Script.Text("other_index", "") }

// addOther starts its servers: three a shard.
func (w *World) addOther() {
	if w.other() == "" {
		return
	}
	w.cuts[otherCut] = w.Shape.Shards
	for i := range 3 * w.Shape.Shards {
		row := w.Shape.Server(i, otherCut, w.Shape.Shards, "")
		row.Index = w.other()
		w.addServer(row, w.Shape.Shards)
	}
}

// sheetOther gives it a service and rows like those of the first, with room to spare.
func (w *World) sheetOther(s map[string]any) {
	if w.other() == "" {
		return
	}
	for _, table := range []string{"services", "rows"} {
		for _, row := range s[table].([]any) {
			b, _ := json.Marshal(row)
			var r map[string]any
			if json.Unmarshal(b, &r) != nil {
				return
			}
			r["index"] = w.other()
			delete(r, "ceiling")
			if table == "services" {
				r["capacity"] = 2000
			}
			s[table] = append(s[table].([]any), r)
		}
	}
}

// otherPool counts what the callers of the second index get.
func (w *World) otherPool(in *search.Inquiry, o *search.Outcome) {
	if w.other() == "" || in.Index != w.other() {
		return
	}
	switch {
	case o.Code == search.OK && len(o.Missing) == 0, o.Code == search.Conflict:
		w.Judge.Count("other.good", 1)
	default:
		w.Judge.Count("other.bad", 1)
		w.note(fmt.Sprint("other pool felt it: ", o.Code, " ", o.Why, " ", o.Missing))
	}
}
