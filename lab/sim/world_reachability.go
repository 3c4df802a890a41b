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
func (w *World) updateReachability() {
	group := w.connectedGroups(w.names, func(p *process) bool { return p.running() })
	w.isolatedNodes = 0
	best := largestGroup(group, func(name string) int {
		if w.processes[name].role == roleCore {
			// The side that can change the control state is the fleet; without one the larger side is.
			return 100
		}
		return 1
	})
	for _, name := range w.names {
		p := w.processes[name]
		off := p.running() && group[name] != best
		if p.isolated && !off {
			p.reachedAt = w.now
		}
		if off && !p.isolated {
			p.isolatedAt = w.now
		}
		p.isolated = off
		if off && p.role == roleNode {
			w.isolatedNodes++
		}
	}
	w.updateMajoritySince(&w.Checker.CommandsPossible, func(p *process) bool { return true })
	skews := map[int64]int{}
	for _, name := range w.names {
		if p := w.processes[name]; p.role == roleCore && !p.replaced {
			skews[p.skew]++
		}
	}
	usual, most := int64(0), 0
	for _, skew := range slices.Sorted(maps.Keys(skews)) {
		if n := skews[skew]; n > most || n == most && skew == 0 {
			usual, most = skew, n
		}
	}
	w.updateMajoritySince(&w.Checker.ClocksAgree, func(p *process) bool { return p.skew == usual })
}

// updateMajoritySince sets *at to since when a majority of the matching disk machines has been up, healthy and
// connected, or to MaxInt64.
func (w *World) updateMajoritySince(at *clock.Micros, fits func(p *process) bool) {
	cores := w.connectedGroups(w.names, func(p *process) bool { return p.role == roleCore && p.running() && p.disk.mode == diskOK && fits(p) })
	in, all := 0, 0
	most := largestGroup(cores, func(string) int { return 1 })
	for _, name := range w.names {
		if p := w.processes[name]; p.role == roleCore && !p.replaced {
			all++
			if g, ok := cores[name]; ok && g == most {
				in++
			}
		}
	}
	switch {
	case 2*in <= all:
		*at = math.MaxInt64
	case *at == math.MaxInt64:
		*at = w.now
	}
}

// connectedGroups numbers the groups of connected processes: two are in one group if a chain of processes joins
// them in which each hears its neighbours both ways.
func (w *World) connectedGroups(names []string, counts func(p *process) bool) map[string]int {
	out := map[string]int{}
	n := 0
	for _, first := range names {
		if _, seen := out[first]; seen || !counts(w.processes[first]) {
			continue
		}
		n++
		out[first] = n
		todo := []string{first}
		for len(todo) > 0 {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if _, seen := out[b]; !seen && counts(w.processes[b]) && !w.net.partitioned(a, b) && !w.net.partitioned(b, a) {
					out[b] = n
					todo = append(todo, b)
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
func (w *World) lacksServer(index string, shards, shard int) bool {
	since := w.now - unservedWindow
	down := 0
	for s := range shards {
		if at, ok := w.unservedAt[shardKey{index, shards, s}]; ok && at >= since {
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
func (w *World) recordUnservedShards() {
	good := map[shardKey]bool{}
	for _, id := range w.serverIDs {
		s := w.servers[id]
		k := shardKey{s.row.Index, s.shards, s.row.Shard}
		ok := s.up && (s.mode == serverOK || s.mode == serverSlow && s.slowUs <= w.Shape.Least/4) && s.row.State != "leaving" && !w.Checker.IsZoneDrained(s.row.Zone)
		good[k] = good[k] || ok
	}
	for k, ok := range good {
		if !ok {
			w.unservedAt[k] = w.now
		}
	}
}

// serverRefuses reports whether a server that the request could be sent to rejects by itself.
func (w *World) serverRefuses(in *search.Request) bool {
	for _, id := range w.serverIDs {
		if s := w.servers[id]; s.mode == serverRejects && s.row.Index == in.Index && (in.Kind == search.KindSearch || s.row.Shard == search.ShardOf(in.Record, s.shards)) {
			return true
		}
	}
	return false
}
