// Which nodes own a key: all of them in a fleet of eleven or fewer, in a larger
// one the eleven of the highest rendezvous weight, over as many zones as there are.

package idempotency

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/control/state"
	"wallport/request/snapshot"
)

// maxOwners is odd, and at least the size of the fleets of today: where all nodes are
// owners, no half of a split fleet has a majority of a key's owners beside the other.
const maxOwners = 11

// Owners lists a key's owner nodes, the weightiest first.
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
	// In each round a zone gives one owner: so no zone has more than it must.
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

// quorum is how many of so many owners let a key in; others is how many of them share
// at least one owner with every quorum there can have been.
func quorum(owners int) int             { return owners/2 + 1 }
func intersectingQuorum(owners int) int { return owners - quorum(owners) + 1 }

// inMinority tells that this node is not on the side of a split that may go on letting
// keys in: the one with more than half of the nodes. Of two equal halves it is the one
// that hears the owner of the configuration, which a majority of the cores follows.
func (c *Coordinator) inMinority(cp *snapshot.Snapshot, now int64) bool {
	votes := 2 * cp.Peers
	if c.configSync.HearsLeader(state.ConfigPartition, now) {
		votes++
	}
	return votes <= cp.Divisor && cp.Divisor > 1
}
