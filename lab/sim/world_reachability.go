// Reachability. The checks bind a node only while a path through running processes connects it to the greater
// part of the fleet, and operators' calls only while a majority of the disk machines is up, healthy and
// connected. Both are computed from the network's state, not from the scenario.

package sim

import (
	"maps"
	"math"
	"slices"

	"wallport/request/search"
	"wallport/runtime/clock"
)

// updateReachability recomputes both after every step and ten times a second.
func (sim *Simulation) updateReachability() {
	group := sim.connectedGroups(sim.names, func(p *process) bool { return p.running() })
	sim.isolatedNodes = 0
	largest := largestGroup(group, func(name string) int {
		if sim.processes[name].role == roleCore {
			// The side that can change the control state is the fleet; without one the larger side is.
			return 100
		}
		return 1
	})
	for _, name := range sim.names {
		p := sim.processes[name]
		isolated := p.running() && group[name] != largest
		if p.isolated && !isolated {
			p.reachedAt = sim.now
		}
		if isolated && !p.isolated {
			p.isolatedAt = sim.now
		}
		p.isolated = isolated
		if isolated && p.role == roleNode {
			sim.isolatedNodes++
		}
	}
	sim.updateMajoritySince(&sim.Checker.CommandsPossible, func(p *process) bool { return true })
	skews := map[int64]int{}
	for _, name := range sim.names {
		if p := sim.processes[name]; p.role == roleCore && !p.replaced {
			skews[p.skew]++
		}
	}
	usual, most := int64(0), 0
	for _, skew := range slices.Sorted(maps.Keys(skews)) {
		if n := skews[skew]; n > most || n == most && skew == 0 {
			usual, most = skew, n
		}
	}
	sim.updateMajoritySince(&sim.Checker.ClocksAgree, func(p *process) bool { return p.skew == usual })
}

// updateMajoritySince sets *at to since when a majority of the matching disk machines has been up, healthy and
// connected, or to MaxInt64.
func (sim *Simulation) updateMajoritySince(at *clock.Micros, matches func(p *process) bool) {
	connectedCores := sim.connectedGroups(sim.names, func(p *process) bool { return p.role == roleCore && p.running() && p.disk.mode == diskOK && matches(p) })
	connected, total := 0, 0
	most := largestGroup(connectedCores, func(string) int { return 1 })
	for _, name := range sim.names {
		if p := sim.processes[name]; p.role == roleCore && !p.replaced {
			total++
			if g, ok := connectedCores[name]; ok && g == most {
				connected++
			}
		}
	}
	switch {
	case 2*connected <= total:
		*at = math.MaxInt64
	case *at == math.MaxInt64:
		*at = sim.now
	}
}

// connectedGroups numbers the groups of connected processes: two are in one group if a chain of processes joins
// them in which each hears its neighbours both ways.
func (sim *Simulation) connectedGroups(names []string, counts func(p *process) bool) map[string]int {
	out := map[string]int{}
	n := 0
	for _, first := range names {
		if _, seen := out[first]; seen || !counts(sim.processes[first]) {
			continue
		}
		n++
		out[first] = n
		pending := []string{first}
		for len(pending) > 0 {
			a := pending[0]
			pending = pending[1:]
			for _, b := range names {
				if _, seen := out[b]; !seen && counts(sim.processes[b]) && !sim.net.partitioned(a, b) && !sim.net.partitioned(b, a) {
					out[b] = n
					pending = append(pending, b)
				}
			}
		}
	}
	return out
}

func largestGroup(group map[string]int, weight func(name string) int) int {
	size := map[int]int{}
	for name, g := range group {
		size[g] += weight(name)
	}
	best, most := 0, 0
	for g, n := range size {
		if n > most || n == most && g < best {
			best, most = g, n
		}
	}
	return best
}

// lacksServer reports whether the world excuses an unanswered request: some time in the last seconds too few of
// the needed shards had a reachable server that answers correctly.
func (sim *Simulation) lacksServer(index string, shards, shard int) bool {
	since := sim.now - unservedWindow
	down := 0
	for s := range shards {
		if at, ok := sim.unservedAt[shardKey{index, shards, s}]; ok && at >= since {
			if s == shard {
				return true
			}
			down++
		}
	}
	return shard < 0 && (shards-down)*100 < 75*shards
}

// unservedWindow is how long nodes may take to notice that a shard is served again.
const unservedWindow = 3 * clock.Second

type shardKey struct {
	index         string
	shards, shard int
}

// recordUnservedShards records the shards that have no healthy server now.
func (sim *Simulation) recordUnservedShards() {
	served := map[shardKey]bool{}
	for _, id := range sim.serverIDs {
		s := sim.servers[id]
		k := shardKey{s.row.Index, s.shards, s.row.Shard}
		ok := s.up && (s.mode == serverOK || s.mode == serverSlow && s.slowUs <= sim.Shape.Least/4) && s.row.State != "leaving" && !sim.Checker.IsZoneDrained(s.row.Zone)
		served[k] = served[k] || ok
	}
	for k, ok := range served {
		if !ok {
			sim.unservedAt[k] = sim.now
		}
	}
}

// serverRefuses reports whether a server that the request could be sent to rejects by itself.
func (sim *Simulation) serverRefuses(in *search.Request) bool {
	for _, id := range sim.serverIDs {
		if s := sim.servers[id]; s.mode == serverRejects && s.row.Index == in.Index && (in.Kind == search.KindSearch || s.row.Shard == search.ShardOf(in.Record, s.shards)) {
			return true
		}
	}
	return false
}
