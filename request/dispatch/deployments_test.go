// Deployments of other sizes.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// grown is a large deployment: many nodes, each of which sees little of every backend.
func grown(seed uint64) shape {
	s := usual(seed)
	s.nodes, s.shards, s.perShard, s.allowance = 88, 12, 8, 216
	s.search, s.quick, s.once, s.read = 227, 91, 136, 23
	return s
}

// pausing is one whose backends pause for long.
func pausing(seed uint64) shape {
	s := grown(seed)
	s.nodes, s.pause, s.desk, s.allowance, s.linkUs = 72, 190_000, 8, 184, 1_000
	return s
}

func TestOtherSites(t *testing.T) {
	for name, s := range map[string]shape{"grown": grown(1), "pausing": pausing(1)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(s)
			w.play(t, 8, nil)
			must.Greater(t, 0.9, w.log.earned())
		})
	}
}
