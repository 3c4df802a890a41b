package reshard

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

func TestReady(t *testing.T) {
	const now, slowStart = 100 * clock.Second, 10 * clock.Second
	backend := func(health snapshot.HealthState, age clock.Micros) *snapshot.Backend {
		return &snapshot.Backend{Backend: wire.Backend{Incarnation: 1}, Health: health, IncarnationStartedAt: now - age}
	}
	warm := backend(snapshot.Healthy, slowStart/2)
	cold := backend(snapshot.Healthy, slowStart/2-clock.Second)
	unhealthy := backend(snapshot.Unreachable, slowStart)
	pair := [][]*snapshot.Backend{{warm, warm}}
	for name, c := range map[string]struct {
		live, next [][]*snapshot.Backend
		ready      bool
	}{
		"two warm backends in each shard":                    {live: pair, next: [][]*snapshot.Backend{{warm, warm}, {cold, warm, warm}}, ready: true},
		"one warm backend in a shard":                        {live: pair, next: [][]*snapshot.Backend{{warm, warm}, {warm, cold}}},
		"one healthy backend in a shard":                     {live: pair, next: [][]*snapshot.Backend{{warm, unhealthy}}},
		"one warm backend, as in a shard of the current map": {live: [][]*snapshot.Backend{{warm, warm}, {warm}}, next: [][]*snapshot.Backend{{warm}}, ready: true},
		"no backend, as in a shard of the current map":       {live: [][]*snapshot.Backend{{}}, next: [][]*snapshot.Backend{{}}},
		"no next shard map":                                  {live: pair},
	} {
		t.Run(name, func(t *testing.T) {
			index := &snapshot.Index{Service: &configpb.Service{RampUs: slowStart}, Shards: c.live, NextShards: c.next}
			must.Eq(t, c.ready, Ready(index, now))
		})
	}
}
