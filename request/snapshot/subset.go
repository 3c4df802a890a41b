// Which backends this node keeps idle connections to. Where a pool allows each backend fewer
// connections than there are nodes, every node keeps them to a few backends of its own zone only,
// chosen by rendezvous, and closes those to the others after use: a backend's connections are
// then for requests under way and not filled with idle ones, beyond which it resets.

package snapshot

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxIdleMille is how many thousandths of a backend's connections may be idle, fleet-wide.
const maxIdleMille = 600

// exceedsIdleLimit tells that the idle connections of all nodes would be too many for a backend.
func exceedsIdleLimit(connections int64, nodes int) bool {
	return connections > 0 && int64(nodes)*1000 > connections*maxIdleMille
}

// subsetNode is a node as it holds connections: all nodes of its zone share its zone's backends.
type subsetNode struct {
	name, zone string
	// nodes counts all nodes, zoned those of the zone.
	nodes, zoneNodes int
}

// assignSubset marks the backends of a pool whose connections are closed after use.
func (p *Pool) assignSubset(h subsetNode) {
	if !exceedsIdleLimit(p.MaxConnections, h.nodes) {
		return
	}
	ranked := make([]rankedBackend, 0, len(p.Backends))
	for _, server := range p.Backends {
		server.CloseAfterUse = server.Zone != h.zone
		if !server.CloseAfterUse {
			ranked = append(ranked, rankedBackend{rendezvous(h.name, server.ID), server})
		}
	}
	kept := int(p.MaxConnections*maxIdleMille/1000) * len(ranked) / max(1, h.zoneNodes)
	if kept >= len(ranked) {
		return
	}
	slices.SortFunc(ranked, func(a, b rankedBackend) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.backend.ID, b.backend.ID))
	})
	for _, r := range ranked[kept:] {
		r.backend.CloseAfterUse = true
	}
}

type rankedBackend struct {
	rank    uint64
	backend *Backend
}

func rendezvous(node, server string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(server))
	return mix(h.Sum64())
}
