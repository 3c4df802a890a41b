// Links that are one too many.

package mesh

import (
	"cmp"
	"slices"

	"wallport/runtime/kernel"
)

// pruneLinks gives up a link that is one too many, one at a time, and none that its other end needs.
func (m *Mesh) pruneLinks(ctx *kernel.Context, v fleetView, linksByZone map[string]int) {
	if len(m.peers) <= MinPeers || ctx.Now-m.prunedAt < PruneInterval {
		return
	}
	var surplus []*peerConn
	for _, id := range sortedKeys(m.peers) {
		p := m.peers[id]
		o := m.store.origins[p.key]
		if o == nil || o.member == nil || ctx.Now-p.since < MinPeerAge || len(o.links) <= MinPeers {
			continue
		}
		z := o.member.Zone
		across := z != v.zone && v.zone != ""
		switch {
		case !across && (len(m.peers) <= SoftMaxPeers || linksByZone[v.zone] <= MinZonePeers):
		case across && m.ranksAmong(v.zones[v.zone], hash(z), Bridges) && linksByZone[z] <= 1:
		case across && rankOf(v.zones[z], o, hash(v.zone)) < Bridges:
		default:
			surplus = append(surplus, p)
		}
	}
	if len(surplus) == 0 {
		return
	}
	m.prunedAt = ctx.Now
	ctx.Counts.Add("mesh_peers_pruned", 1)
	m.closePeer(ctx, slices.MaxFunc(surplus, func(a, b *peerConn) int {
		return cmp.Compare(len(m.store.origins[a.key].links), len(m.store.origins[b.key].links))
	}))
	m.updateLinks(ctx)
}

// rankOf is how many of some come before one of them in a matter.
func rankOf(of []*originState, o *originState, topic uint64) (above int) {
	for _, q := range of {
		if mix(q.hash^topic) > mix(o.hash^topic) {
			above++
		}
	}
	return above
}
