// Package fleet starts a fleet of real processes with the shape of one of the deployments, plays a scenario's
// faults on it, and checks and counts the outcome. Input are [RunOptions] or [LoadOptions]; the package owns the
// processes, their data folders and their ports. It is a test tool: the product itself starts no process.
package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Shape is the size of a deployment.
type Shape struct {
	Name     string
	Index    string
	Zones    int
	Nodes    int
	Cores    int
	PerShard int
	Shards   int
	Least    clock.Micros
	Most     clock.Micros
}

// Shapes are the deployments, and a small shape for quick tests.
var Shapes = map[string]Shape{
	"trust":    {"trust", "scores", 4, 11, 4, 12, 4, 250 * clock.Millisecond, 1500 * clock.Millisecond},
	"registry": {"registry", "tenancies", 3, 10, 3, 17, 4, 500 * clock.Millisecond, 5 * clock.Second},
	"small":    {"small", "scores", 3, 3, 3, 2, 2, 500 * clock.Millisecond, 1500 * clock.Millisecond},
}

// Zone returns the zone of the i-th machine.
func (s Shape) Zone(i int) string { return fmt.Sprintf("z%d", i%s.Zones+1) }

// Backend returns the i-th server of a shard map, with its zone and address.
func (s Shape) Backend(i int, shardMap string, shards int, addr string) wire.Backend {
	return wire.Backend{
		ID: fmt.Sprintf("%s-%d-%d", shardMap, i%shards, i/shards), Addr: addr, Zone: s.Zone(i / shards), Index: s.Index,
		ShardMap: shardMap, Shard: i % shards, State: "ready",
	}
}

// Config returns a configuration that fits the shape.
func (s Shape) Config() json.RawMessage {
	kinds := []map[string]any{}
	for _, k := range []struct {
		kind  string
		share int
	}{{"search", 60}, {"read", 20}, {"correct", 10}, {"part", 10}} {
		kinds = append(kinds, map[string]any{"index": s.Index, "kind": k.kind, "share": k.share})
	}
	b, err := json.Marshal(map[string]any{
		"services": []map[string]any{{
			"index": s.Index, "capacity": 1000, "required_share": 75, "deadline_us": s.Most / 2, "max_deadline_us": s.Most,
			"hedge_us": 40000, "ramp_us": 3000000,
		}},
		"rows": kinds,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Config returns the configuration that the fleet was started with.
func (f *Fleet) Config() json.RawMessage { return f.options.Shape.Config() }

// FullRate is what a deployment serves today, in requests a second.
const FullRate = 530

// Full makes a scenario run at the full size of the shape: its machines, zones, cores, backends and deadlines,
// at its rate. The capacity grows with the rate.
func (s Shape) Full(sc *script.Script) {
	rate := sc.Int("rate", 100)
	if c := sc.Int("capacity", 0); c > 0 && rate > 0 {
		sc.Set["capacity"] = fmt.Sprint(max(c, c*FullRate/rate))
	}
	sc.Expects = slices.Clone(sc.Expects)
	for i := range sc.Expects {
		// What a fault may cost at most grows with the load too.
		if e := &sc.Expects[i]; e.Op == "<=" && e.Want > 100 && !strings.Contains(e.Name, "percent") {
			e.Want = e.Want * FullRate / rate
		}
	}
	sc.Set["shape"] = s.Name
	sc.Set["rate"] = fmt.Sprint(FullRate)
	if sc.Int("cores", 0) <= int64(s.Cores) {
		// Scenarios that need more disk machines than a deployment has keep their own number.
		delete(sc.Set, "cores")
	}
	delete(sc.Set, "nodes")
	delete(sc.Set, "per_shard")
}
