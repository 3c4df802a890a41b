// Which nodes a snapshot names: those that claims may live at, dead ones for a
// while too, and what of it changes as time passes alone.

package snapshot

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// RosterTTL is how long a silent node still counts as a home of claims.
const RosterTTL = 6_000_000

// MaxKeyOwners bounds the nodes that claims may live at: a change of who they are has each of
// them ask every other.
const MaxKeyOwners = 33

// keyOwners picks them out of a larger fleet: the weightiest by name, each zone in turn.
func keyOwners(roster []Node) []Node {
	if len(roster) <= MaxKeyOwners {
		return roster
	}
	zones := map[string]int{}
	turn := make([]int, len(roster))
	order := make([]int, len(roster))
	weight := make([]uint64, len(roster))
	for i, n := range roster {
		h := fnv.New64a()
		h.Write([]byte(n.Name))
		order[i], weight[i] = i, mix(h.Sum64())
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weight[b], weight[a]) })
	for _, i := range order {
		turn[i] = zones[roster[i].Zone]
		zones[roster[i].Zone]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(turn[a], turn[b]) })
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

// roster lists the nodes, dead ones for a while too.
func (table *Table) roster(ctx *kernel.Context) []Node {
	var out []Node
	table.members.Each(ctx.Now, func(origin string, r *wire.Member, live bool) {
		if r.Role != "node" {
			return
		}
		at, ok := table.lastLive[origin]
		if !ok || ctx.Now-at > RosterTTL {
			return
		}
		n := Node{Name: r.Name, Zone: r.Zone, Addr: r.Addr, Origin: origin, Live: live}
		// Rows of one name follow one another.
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

// updateLive notes who is live, and sums up what a snapshot takes from the clock: who is, who
// still counts as a home of claims, and the size of the fleet.
func (table *Table) updateLive(now int64) uint64 {
	h := uint64(table.members.Divisor())
	table.members.Each(now, func(origin string, _ *wire.Member, live bool) {
		at, ok := table.lastLive[origin]
		if !live && (!ok || now-at > RosterTTL) {
			return
		}
		x := fnv.New64a()
		x.Write([]byte(origin))
		if live {
			table.lastLive[origin] = now
			h += x.Sum64()
			return
		}
		h += 3 * x.Sum64()
	})
	return h
}
