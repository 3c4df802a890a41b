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

// idle counts to which backends so many nodes keep connections, and the fewest that a node keeps.
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
		backends      int
		connections   int64
		nodes, fewest int
	}{
		{8, 26, 88, 1}, {4, 24, 88, 0}, {8, 330, 72, 8}, {4, 69, 11, 4}, {4, 110, 11, 4}, {4, 0, 88, 4}, {1, 24, 88, 0}, {0, 24, 88, 0},
	} {
		most, fewest := idle(c.backends, c.connections, c.nodes)
		must.Eq(t, c.fewest, fewest, must.Sprint(c))
		if c.connections > 0 {
			must.LessEq(t, int(c.connections), most, must.Sprint(c))
		}
	}
}
