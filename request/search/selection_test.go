package search

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

func TestDrainingBackendsAreNeverSelected(t *testing.T) {
	snap := newSnapshot(3, 1)
	backends := snap.Indexes["a"].Shards[0]
	backends[0].Health, backends[1].Health, backends[2].Health = snapshot.Draining, snapshot.ZoneDrained, snapshot.Unreachable
	r := random.Source(1)
	for range 50 {
		c, ok := selectBackend(snap, snap.Indexes["a"], backends, nil, 0, &r)
		must.True(t, ok)
		must.Eq(t, backends[2].ID, c.Backend.ID, must.Sprint("the only backend that is not draining must be selected"))
	}
	_, ok := selectBackend(snap, snap.Indexes["a"], backends, []string{backends[2].ID}, 0, &r)
	must.False(t, ok)
}

func TestSlowStartBackendIsSelectedByItsWarmth(t *testing.T) {
	snap := newSnapshot(10, 1)
	backends := snap.Indexes["a"].Shards[0]
	backends[0].IncarnationStartedAt = 0
	for _, s := range backends {
		s.Zone = "z0"
	}
	r := random.Source(7)
	for _, at := range []clock.Micros{0, 250 * clock.Millisecond, 500 * clock.Millisecond} {
		n := 0
		for range 20000 {
			if c, _ := selectBackend(snap, snap.Indexes["a"], backends, nil, at, &r); c.Backend == backends[0] {
				n++
			}
		}
		fair := 20000 * max(100, at*1000/clock.Second) / 1000 / 10
		must.Less(t, int(fair)*3/2, n, must.Sprintf("selected too often %d us after its start", at))
	}
}

func TestShardInSlowStartIsServedAtOnce(t *testing.T) {
	snap := newSnapshot(4, 1)
	for _, s := range snap.Indexes["a"].Shards[0] {
		s.IncarnationStartedAt = 0
	}
	r := random.Source(7)
	seen := map[string]int{}
	for range 4000 {
		c, ok := selectBackend(snap, snap.Indexes["a"], snap.Indexes["a"].Shards[0], nil, 0, &r)
		must.True(t, ok)
		seen[c.Backend.ID]++
	}
	for id, n := range seen {
		must.Greater(t, 500, n, must.Sprint(id))
	}
}
