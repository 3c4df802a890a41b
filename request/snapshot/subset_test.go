package snapshot

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

const zones = 4

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zones) }

func poolOf(backends int, connections int64) *Pool {
	p := &Pool{Pool: &routingpb.Pool{MaxConnections: connections}}
	for i := range backends {
		p.Backends = append(p.Backends, &Backend{Backend: wire.Backend{ID: fmt.Sprintf("s%d", i), Zone: zoneOf(i)}})
	}
	return p
}

// idle returns the greatest number of nodes that keep idle connections to the same backend, and the smallest
// number of backends to which a node keeps idle connections.
func idle(backends int, connections int64, nodes int) (most, fewest int) {
	by := map[string]int{}
	fewest = backends
	for n := range nodes {
		p, kept := poolOf(backends, connections), 0
		p.assignSubset(subsetNode{name: fmt.Sprintf("node-%d", n), zone: zoneOf(n), nodes: nodes, zoneNodes: (nodes + zones - 1) / zones})
		for _, s := range p.Backends {
			if !s.CloseAfterUse {
				by[s.ID]++
				kept++
			}
		}
		fewest = min(fewest, kept)
	}
	for _, n := range by {
		most = max(most, n)
	}
	return most, fewest
}

func TestIdleConnectionsStayWithinLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		backends      int
		connections   int64
		nodes, fewest int
	}{
		{"more nodes than connections", 8, 26, 88, 1},
		{"too few connections to keep any idle", 4, 24, 88, 0},
		{"connections for all nodes", 8, 330, 72, 8},
		{"a small fleet", 4, 69, 11, 4},
		{"a small fleet with many connections", 4, 110, 11, 4},
		{"no limit", 4, 0, 88, 4},
		{"one backend", 1, 24, 88, 0},
		{"no backend", 0, 24, 88, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			most, fewest := idle(c.backends, c.connections, c.nodes)
			must.Eq(t, c.fewest, fewest)
			if c.connections > 0 {
				must.LessEq(t, int(c.connections), most)
			}
		})
	}
}
