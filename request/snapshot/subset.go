package snapshot

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxIdleMille is how many thousandths of a backend's connections may be idle, from all nodes
// together.
const maxIdleMille = 600

// exceedsIdleLimit reports whether idle connections from all nodes would be too many for a backend.
func exceedsIdleLimit(connections int64, nodes int) bool {
	return connections > 0 && int64(nodes)*1000 > connections*maxIdleMille
}

// subsetNode is a node in the division of idle connections: the nodes of a zone divide the backends
// of the zone among them.
type subsetNode struct {
	name, zone string
	// nodes counts all nodes, zoneNodes those of the zone.
	nodes, zoneNodes int
}

// assignSubset determines to which backends of a pool this node keeps idle connections. If a pool
// allows each backend fewer connections than there are nodes, each node keeps them to a subset of
// its own zone's backends, chosen by rendezvous hashing, and closes the others after use. Otherwise
// idle connections would use up a backend's connections, beyond which it resets new ones.
func (p *Pool) assignSubset(node subsetNode) {
	if !exceedsIdleLimit(p.MaxConnections, node.nodes) {
		return
	}
	ranked := make([]rankedBackend, 0, len(p.Backends))
	for _, backend := range p.Backends {
		backend.CloseAfterUse = backend.Zone != node.zone
		if !backend.CloseAfterUse {
			ranked = append(ranked, rankedBackend{rendezvous(node.name, backend.ID), backend})
		}
	}
	kept := int(p.MaxConnections*maxIdleMille/1000) * len(ranked) / max(1, node.zoneNodes)
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

// rankedBackend is a backend with its rank in the rendezvous order of this node.
type rankedBackend struct {
	rank    uint64
	backend *Backend
}

func rendezvous(node, backend string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(backend))
	return mix(h.Sum64())
}
