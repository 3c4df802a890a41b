// Who can hear whom: the judges bind a node only while some way through running
// processes leads from it to the greater part of the fleet, and operators' calls
// only while a majority of the disk machines is up, well and connected. Both are
// worked out from the network as it is, not from what a scenario says it did.

package sim

import (
	"maps"
	"math"
	"slices"

	"wallport/request/search"
)

// reach works out both after every step and ten times a second.
func (w *World) reach() {
	group := w.groups(w.names, func(p *proc) bool { return p.runs() })
	w.lonely = 0
	best := biggest(group, func(name string) int {
		if w.procs[name].role == "core" {
			// The half that can change the control state is the fleet; else the greater one is.
			return 100
		}
		return 1
	})
	for _, name := range w.names {
		p := w.procs[name]
		off := p.runs() && group[name] != best
		if p.isolated && !off {
			p.reachedAt = w.now
		}
		if off && !p.isolated {
			p.aloneAt = w.now
		}
		p.isolated = off
		if off && p.role == "node" {
			w.lonely++
		}
	}
	w.since(&w.Judge.Able, func(p *proc) bool { return true })
	skews := map[int64]int{}
	for _, name := range w.names {
		if p := w.procs[name]; p.role == "core" && !p.replaced {
			skews[p.skew]++
		}
	}
	usual, most := int64(0), 0
	for _, skew := range slices.Sorted(maps.Keys(skews)) {
		if n := skews[skew]; n > most || n == most && skew == 0 {
			usual, most = skew, n
		}
	}
	w.since(&w.Judge.Timely, func(p *proc) bool { return p.skew == usual })
}

// since keeps from when a majority of the disk machines that fit has been up, well and connected.
func (w *World) since(at *int64, fits func(p *proc) bool) {
	cores := w.groups(w.names, func(p *proc) bool { return p.role == "core" && p.runs() && p.disk.mode == "" && fits(p) })
	in, all := 0, 0
	most := biggest(cores, func(string) int { return 1 })
	for _, name := range w.names {
		if p := w.procs[name]; p.role == "core" && !p.replaced {
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

// groups gives every process that counts the number of its group; two are in one if
// a chain of processes joins them of which each hears its neighbours both ways.
func (w *World) groups(names []string, counts func(p *proc) bool) map[string]int {
	out := map[string]int{}
	n := 0
	for _, first := range names {
		if _, seen := out[first]; seen || !counts(w.procs[first]) {
			continue
		}
		n++
		out[first] = n
		todo := []string{first}
		for len(todo) > 0 {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if _, seen := out[b]; !seen && counts(w.procs[b]) && !w.net.cut(a, b) && !w.net.cut(b, a) {
					out[b] = n
					todo = append(todo, b)
				}
			}
		}
	}
	return out
}

func biggest(group map[string]int, weight func(name string) int) int {
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

// noServer reports whether the world itself gave no way to answer: some time in
// the last seconds too few of the shards that are needed had a server that
// answers whole, may be asked, and can be reached.
func (w *World) noServer(index string, shards, shard int) bool {
	since := w.now - noServerFor
	down := 0
	for s := range shards {
		if at, ok := w.bare[shardKey{index, shards, s}]; ok && at >= since {
			if s == shard {
				return true
			}
			down++
		}
	}
	return shard < 0 && (shards-down)*100 < 75*shards
}

// noServerFor is how long nodes may take to see that a shard is served again.
const noServerFor = 3_000_000

type shardKey struct {
	index         string
	shards, shard int
}

// lookForBare notes the shards that have no good server at this moment.
func (w *World) lookForBare() {
	good := map[shardKey]bool{}
	for _, id := range w.serverN {
		s := w.servers[id]
		k := shardKey{s.row.Index, s.shards, s.row.Shard}
		ok := s.up && (s.mode == "" || s.mode == "slow" && s.us <= w.Shape.Least/4) && s.row.State != "leaving" && !w.Judge.IsEmptied(s.row.Zone)
		good[k] = good[k] || ok
	}
	for k, ok := range good {
		if !ok {
			w.bare[k] = w.now
		}
	}
}

// refusing reports whether a server that the inquiry could be sent to refuses by itself.
func (w *World) refusing(in *search.Inquiry) bool {
	for _, id := range w.serverN {
		if s := w.servers[id]; s.mode == "refuse" && s.row.Index == in.Index && (in.Kind == search.Search || s.row.Shard == search.ShardOf(in.Record, s.shards)) {
			return true
		}
	}
	return false
}
