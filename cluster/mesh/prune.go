// Links that are one too many.

package mesh

import (
	"cmp"
	"slices"

	"wallport/runtime/kernel"
)

// prune gives up a link that is one too many, one at a time, and none that its other end needs.
func (m *Mesh) prune(ctx *kernel.Context, v view, open map[string]int) {
	if len(m.peers) <= PeersLeast || ctx.Now-m.prunedAt < PruneEvery {
		return
	}
	var spare []*peer
	for _, id := range sortedKeys(m.peers) {
		p := m.peers[id]
		o := m.store.origins[p.key]
		if o == nil || o.row == nil || ctx.Now-p.since < PruneAfter || len(o.links) <= PeersLeast {
			continue
		}
		z := o.row.Zone
		across := z != v.zone && v.zone != ""
		switch {
		case !across && (len(m.peers) <= PeersEasy || open[v.zone] <= ZonePeers):
		case across && m.first(v.zones[v.zone], hash(z), Bridges) && open[z] <= 1:
		case across && rank(v.zones[z], o, hash(v.zone)) < Bridges:
		default:
			spare = append(spare, p)
		}
	}
	if len(spare) == 0 {
		return
	}
	m.prunedAt = ctx.Now
	ctx.Counts.Add("mesh_peers_pruned", 1)
	m.leave(ctx, slices.MaxFunc(spare, func(a, b *peer) int {
		return cmp.Compare(len(m.store.origins[a.key].links), len(m.store.origins[b.key].links))
	}))
	m.relink(ctx)
}

// rank is how many of some come before one of them in a matter.
func rank(of []*origin, o *origin, matter uint64) (above int) {
	for _, q := range of {
		if mix(q.hash^matter) > mix(o.hash^matter) {
			above++
		}
	}
	return above
}
