package idempotency

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// maxOwners bounds the owners of a key. It is odd, and at least the size of current fleets: if all nodes are
// owners, only one side of a network partition can have a majority of a key's owners.
const maxOwners = 11

// Owners returns the owners of a key: all nodes of a fleet of up to eleven, otherwise the eleven with the highest
// rendezvous weight, spread over the zones. The result must be the same in all releases, since nodes of two
// releases run at the same time during an upgrade.
func Owners(key string, roster []snapshot.Node) []snapshot.Node {
	type ranked struct {
		w uint64
		n snapshot.Node
	}
	all := make([]ranked, 0, len(roster))
	for _, n := range roster {
		h := fnv.New64a()
		h.Write([]byte(n.Name))
		h.Write([]byte{0})
		h.Write([]byte(key))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		all = append(all, ranked{x, n})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.w, a.w) })
	want := min(maxOwners, len(all))
	// Each round takes at most one owner from every zone, which spreads the owners evenly.
	out := make([]snapshot.Node, 0, want)
	taken := make([]bool, len(all))
	for len(out) < want {
		zones := map[string]bool{}
		for i, r := range all {
			if len(out) == want || taken[i] || zones[r.n.Zone] {
				continue
			}
			zones[r.n.Zone], taken[i] = true, true
			out = append(out, r.n)
		}
	}
	return out
}

func isOwner(key, name string, roster []snapshot.Node) bool {
	if len(roster) > maxOwners {
		roster = Owners(key, roster)
	}
	return slices.ContainsFunc(roster, func(n snapshot.Node) bool { return n.Name == name })
}

// quorum returns how many of a key's owners must admit it. intersectingQuorum returns the smallest n such that
// any n owners include a member of every quorum.
func quorum(owners int) int             { return owners/2 + 1 }
func intersectingQuorum(owners int) int { return owners - quorum(owners) + 1 }

// inMinority reports whether this node is on a side of a network partition that must not admit keys. Only the
// side with more than half of the nodes may admit keys. If both sides have half of the nodes, the side that is in
// contact with the leader of state.ConfigPartition may admit keys: a majority of the cores follows that leader,
// so at most one side has such a leader.
func (c *Coordinator) inMinority(current *snapshot.Snapshot, now clock.Micros) bool {
	votes := 2 * current.LiveNodeCount
	if c.configSync.HasCurrentLeader(state.ConfigPartition, now) {
		votes++
	}
	return votes <= current.Divisor && current.Divisor > 1
}
