// Package fleet starts a fleet of real processes in the shape of one of the deployments, injects a scenario's faults,
// and checks the outcome. [Run] performs one run with the given [RunOptions], [Load] performs a series of measurements
// with the given [LoadOptions]. The package owns the processes, their data folders and their ports. It is a test tool:
// the product itself starts no processes.
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

// Shape is the size of a deployment. PerShard is the number of backends per shard; MinDeadline and MaxDeadline are
// the callers' shortest and longest deadlines.
type Shape struct {
	Name        string
	Index       string
	Zones       int
	Nodes       int
	Cores       int
	PerShard    int
	Shards      int
	MinDeadline clock.Micros
	MaxDeadline clock.Micros
}

// Shapes are the known deployments and a small shape for quick tests.
var Shapes = map[string]Shape{
	"trust":    {"trust", "scores", 4, 11, 4, 12, 4, 250 * clock.Millisecond, 1500 * clock.Millisecond},
	"registry": {"registry", "tenancies", 3, 10, 3, 17, 4, 500 * clock.Millisecond, 5 * clock.Second},
	"small":    {"small", "scores", 3, 3, 3, 2, 2, 500 * clock.Millisecond, 1500 * clock.Millisecond},
}

// Zone returns the zone of the i-th machine: machines are spread over the zones in turn.
func (s Shape) Zone(i int) string { return fmt.Sprintf("z%d", i%s.Zones+1) }

// Backend returns the i-th backend of a shard map: backends are spread over the shards in turn.
func (s Shape) Backend(i int, shardMap string, shards int, addr string) wire.Backend {
	return wire.Backend{
		ID: fmt.Sprintf("%s-%d-%d", shardMap, i%shards, i/shards), Addr: addr, Zone: s.Zone(i / shards), Index: s.Index,
		ShardMap: shardMap, Shard: i % shards, State: "ready",
	}
}

// Config returns a configuration for the shape, as JSON.
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
			"index": s.Index, "capacity": 1000, "required_share": 75, "deadline_us": s.MaxDeadline / 2, "max_deadline_us": s.MaxDeadline,
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

// FullRate is the present load of a deployment, in requests per second.
const FullRate = 530

// ApplyFullSize changes a scenario to the full size of the shape: its machines, zones, cores, backends and deadlines,
// at FullRate. The configured capacity is scaled with the rate.
func (s Shape) ApplyFullSize(sc *script.Script) {
	rate := sc.Int("rate", 100)
	if c := sc.Int("capacity", 0); c > 0 && rate > 0 {
		sc.Set["capacity"] = fmt.Sprint(max(c, c*FullRate/rate))
	}
	sc.Expects = slices.Clone(sc.Expects)
	for i := range sc.Expects {
		// Upper bounds on counts of failures are scaled with the rate too; percentages and small bounds are not.
		if e := &sc.Expects[i]; e.Op == "<=" && e.Want > 100 && !strings.Contains(e.Name, "percent") {
			e.Want = e.Want * FullRate / rate
		}
	}
	sc.Set["shape"] = s.Name
	sc.Set["rate"] = fmt.Sprint(FullRate)
	if sc.Int("cores", 0) <= int64(s.Cores) {
		// Scenarios that need more cores than the deployment has keep their own number.
		delete(sc.Set, "cores")
	}
	delete(sc.Set, "nodes")
	delete(sc.Set, "per_shard")
}
