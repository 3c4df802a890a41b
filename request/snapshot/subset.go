package snapshot

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxIdleMille is the share of a backend's connections, in thousandths, that all nodes together may keep
// idle.
const maxIdleMille = 600

// exceedsIdleLimit reports whether one idle connection from each node would exceed the share of a backend's
// connections that may be idle.
func exceedsIdleLimit(connections int64, nodes int) bool {
	return connections > 0 && int64(nodes)*1000 > connections*maxIdleMille
}

// subsetNode is a node for which the subset of backends with idle connections is computed. The nodes of a
// zone divide the backends of the zone among them.
type subsetNode struct {
	name, zone string
	// nodes counts all nodes, zoneNodes those of the zone.
	nodes, zoneNodes int
}

// assignSubset determines the backends of a pool to which this node keeps idle connections. Normally these
// are all backends. If one idle connection from each node would exceed the idle share of a backend's
// MaxConnections, each node keeps idle connections only to a subset of the backends in its zone, chosen by
// rendezvous hashing, and closes all others after use. Otherwise idle connections would use up the backend's
// connections, and it would reset new ones.
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

// rankedBackend is a backend with its rank in this node's rendezvous order.
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
