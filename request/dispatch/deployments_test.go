// Tests that the rules of rules_test.go also hold in deployments of other sizes.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// largeDeployment returns a deployment with so many nodes that each of them sends few requests to any one backend.
func largeDeployment(seed uint64) deployment {
	s := defaultDeployment(seed)
	s.nodes, s.shards, s.perShard, s.allowance = 88, 12, 8, 216
	s.search, s.quick, s.once, s.read = 227, 91, 136, 23
	return s
}

// pausingDeployment returns a large deployment whose backends have long pauses.
func pausingDeployment(seed uint64) deployment {
	s := largeDeployment(seed)
	s.nodes, s.pauseLength, s.poolBackends, s.allowance, s.clientLink = 72, 190_000, 8, 184, 1_000
	return s
}

func TestDeploymentSizes(t *testing.T) {
	for name, s := range map[string]deployment{"grown": largeDeployment(1), "pausing": pausingDeployment(1)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(s)
			w.run(t, 8, nil)
			must.Greater(t, 0.9, w.journal.earned())
		})
	}
}
