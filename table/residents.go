// Which backends this node keeps idle connections to. Where a pool allows each backend fewer
// connections than there are nodes, every node keeps them to a few backends only, chosen by
// rendezvous, and closes those to the others after use: a backend's connections are then
// for requests under way and not filled with idle ones, beyond which it resets.
package table

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// idleShare is how many thousandths of a backend's connections may be idle, fleet-wide.
const idleShare = 600

// keptIdle is to how many of a pool's backends each node keeps connections.
func keptIdle(connections int64, backends, nodes int) int {
	if connections <= 0 || int64(nodes)*1000 <= connections*idleShare {
		return backends
	}
	return int(connections * idleShare / 1000 * int64(backends) / int64(max(1, nodes)))
}

// reside marks the backends of a pool whose connections are closed after use.
func (p *Pool) reside(self string, nodes int) {
	kept := keptIdle(p.MaxConnections, len(p.Servers), nodes)
	if kept >= len(p.Servers) {
		return
	}
	ranked := make([]rankedServer, 0, len(p.Servers))
	for _, server := range p.Servers {
		ranked = append(ranked, rankedServer{rendezvous(self, server.ID), server})
	}
	slices.SortFunc(ranked, func(a, b rankedServer) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.server.ID, b.server.ID))
	})
	for _, r := range ranked[kept:] {
		r.server.CloseAfterUse = true
	}
}

type rankedServer struct {
	rank   uint64
	server *Server
}

func rendezvous(node, server string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(node))
	h.Write([]byte{0})
	h.Write([]byte(server))
	return mix(h.Sum64())
}
