// Reachability. The checks apply to a node only while a path through running processes connects it to the main
// group of the fleet, and to operators' calls only while a majority of the cores is up, healthy and connected. Both
// conditions are computed from the state of the network and the processes, not from the scenario.

package sim

import (
	"maps"
	"math"
	"slices"

	"wallport/request/search"
	"wallport/runtime/clock"
)

// updateReachability recomputes which processes are isolated and since when a majority of the cores is available.
// It runs after every step of the scenario and ten times a second.
func (sim *Simulation) updateReachability() {
	group := sim.connectedGroups(sim.names, func(p *process) bool { return p.running() })
	sim.isolatedNodes = 0
	largest := largestGroup(group, func(name string) int {
		if sim.processes[name].role == roleCore {
			// The group with the most cores counts as the fleet, because only a majority of the cores can change
			// the control state. Among groups with equally many cores, the largest group counts.
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

// updateMajoritySince sets *at to the time since which a majority of the cores has been up, healthy and connected, or
// to MaxInt64 if there is no such majority now. It counts only cores for which matches returns true.
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

// connectedGroups assigns a group number to each process for which counts returns true. Two processes have the same
// number if a chain of such processes connects them and frames pass in both directions between neighbours in the
// chain.
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

// lacksServer reports whether a request may go unanswered for lack of servers: during the last unservedWindow, the
// needed shard, or for a search (shard -1) more than a quarter of the shards, had at some time no server that answers
// correctly.
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

// unservedWindow is the time within which nodes must notice that a shard has a healthy server again.
const unservedWindow = 3 * clock.Second

type shardKey struct {
	index         string
	shards, shard int
}

// recordUnservedShards records, for every shard that has no healthy server now, the current time.
func (sim *Simulation) recordUnservedShards() {
	served := map[shardKey]bool{}
	for _, id := range sim.serverIDs {
		s := sim.servers[id]
		k := shardKey{s.row.Index, s.shards, s.row.Shard}
		ok := s.up && (s.mode == serverOK || s.mode == serverSlow && s.slowUs <= sim.Shape.MinDeadline/4) && s.row.State != "leaving" && !sim.Checker.IsZoneDrained(s.row.Zone)
		served[k] = served[k] || ok
	}
	for k, ok := range served {
		if !ok {
			sim.unservedAt[k] = sim.now
		}
	}
}

// serverRefuses reports whether any server to which the request could be sent rejects all requests.
func (sim *Simulation) serverRefuses(in *search.Request) bool {
	for _, id := range sim.serverIDs {
		if s := sim.servers[id]; s.mode == serverRejects && s.row.Index == in.Index && (in.Kind == search.KindSearch || s.row.Shard == search.ShardOf(in.Record, s.shards)) {
			return true
		}
	}
	return false
}
