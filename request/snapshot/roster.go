package snapshot

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// RosterTTL is how long a node that is no longer live is still considered a possible owner of
// idempotency keys.
const RosterTTL = 6 * clock.Second

// MaxKeyOwners bounds the number of nodes that may own idempotency keys, since each of these nodes queries
// all others when the set changes.
const MaxKeyOwners = 33

// keyOwners selects up to MaxKeyOwners key owners from the roster: round-robin over the zones, and within a
// zone by the hash of the name.
func keyOwners(roster []Node) []Node {
	if len(roster) <= MaxKeyOwners {
		return roster
	}
	zones := map[string]int{}
	round := make([]int, len(roster))
	order := make([]int, len(roster))
	weight := make([]uint64, len(roster))
	for i, n := range roster {
		h := fnv.New64a()
		h.Write([]byte(n.Name))
		order[i], weight[i] = i, mix(h.Sum64())
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weight[b], weight[a]) })
	for _, i := range order {
		round[i] = zones[roster[i].Zone]
		zones[roster[i].Zone]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(round[a], round[b]) })
	order = order[:MaxKeyOwners]
	slices.Sort(order)
	out := make([]Node, 0, MaxKeyOwners)
	for _, i := range order {
		out = append(out, roster[i])
	}
	return out
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// roster returns the nodes, including those that were live within the last RosterTTL, sorted by name.
func (builder *Builder) roster(ctx *kernel.Context) []Node {
	var out []Node
	builder.members.Each(ctx.Now, func(origin string, r *wire.Member, live bool) {
		if r.Role != settings.RoleNode {
			return
		}
		at, ok := builder.lastLive[origin]
		if !ok || ctx.Now-at > RosterTTL {
			return
		}
		n := Node{Name: r.Name, Zone: r.Zone, Addr: r.Addr, Origin: origin, Live: live}
		// Members are sorted by name. If several have the same name, a live member replaces one that is not
		// live.
		last := len(out) - 1
		switch {
		case last < 0 || out[last].Name != n.Name:
			out = append(out, n)
		case !out[last].Live:
			out[last] = n
		}
	})
	return out
}

// updateLive records which nodes are live. It returns a hash of the snapshot's inputs that can change
// without a new entry, by the passage of time alone: the live nodes, the possible key owners and the size
// of the fleet.
func (builder *Builder) updateLive(now clock.Micros) uint64 {
	h := uint64(builder.members.Divisor())
	builder.members.Each(now, func(origin string, _ *wire.Member, live bool) {
		at, ok := builder.lastLive[origin]
		if !live && (!ok || now-at > RosterTTL) {
			return
		}
		x := fnv.New64a()
		x.Write([]byte(origin))
		if live {
			builder.lastLive[origin] = now
			h += x.Sum64()
			return
		}
		h += 3 * x.Sum64()
	})
	return h
}
