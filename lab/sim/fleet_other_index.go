// A second index on the same fleet ("set other_index NAME"). It has its own servers, service and shard map, and
// faults of the first index must not affect its callers.

package sim

import (
	"encoding/json"
	"fmt"

	"wallport/request/search"
)

const otherShardMap = "d1"

// otherIndex returns the name of the second index, or "" if there is none.
func (sim *Simulation) otherIndex() string { return sim.Script.Text("other_index", "") }

// addOtherServers starts the servers of the second index, three for each shard.
func (sim *Simulation) addOtherServers() {
	if sim.otherIndex() == "" {
		return
	}
	sim.shardMaps[otherShardMap] = sim.Shape.Shards
	for i := range 3 * sim.Shape.Shards {
		row := sim.Shape.Backend(i, otherShardMap, sim.Shape.Shards, "")
		row.Index = sim.otherIndex()
		sim.addServer(row, sim.Shape.Shards)
	}
}

// addOtherConfig adds to a configuration a service and rows like those of the first index, but with ample capacity
// and no ceilings.
func (sim *Simulation) addOtherConfig(s map[string]any) {
	if sim.otherIndex() == "" {
		return
	}
	for _, table := range []string{"services", "rows"} {
		for _, row := range s[table].([]any) {
			b, _ := json.Marshal(row)
			var r map[string]any
			if json.Unmarshal(b, &r) != nil {
				return
			}
			r["index"] = sim.otherIndex()
			delete(r, "ceiling")
			if table == "services" {
				r["capacity"] = 2000
			}
			s[table] = append(s[table].([]any), r)
		}
	}
}

// countOtherPool counts the good and bad responses to callers of the second index.
func (sim *Simulation) countOtherPool(in *search.Request, o *search.Outcome) {
	if sim.otherIndex() == "" || in.Index != sim.otherIndex() {
		return
	}
	switch {
	case o.Code == search.CodeOK && len(o.Missing) == 0, o.Code == search.CodeConflict:
		sim.Checker.Count("other.good", 1)
	default:
		sim.Checker.Count("other.bad", 1)
		sim.logEvent(fmt.Sprint("request of the second index failed or was partial: ", o.Code, " ", o.Why, " ", o.Missing))
	}
}
