// Tests of draining backends, drained zones and routing table changes under load.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// deliverySlack is how long after a node has received a change its earlier attempts may still arrive at backends.
const deliverySlack = 20 * clock.Millisecond

func TestDrainingBackendGetsNoRequests(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := defaultDeployment(seed)
		s.slots = 1
		w := newSimulation(s)
		for _, b := range w.backends {
			b.lossRate, b.errorRate = 0.1, 0.1 // causes many retries, each of which must use the newest snapshot
		}
		var left []*simBackend
		var when clock.Micros
		w.run(t, 8, map[float64]func(){3: func() {
			when, left = w.now, w.someBackends(0.5, "shard", "desk")
			for _, b := range left {
				b.draining = true
			}
			w.publishSnapshots()
		}})
		for _, b := range left {
			must.SliceEmpty(t, w.journal.arrivalsAt(b, when+300_000+deliverySlack, w.now), must.Sprintf("seed %d: attempts reached a draining backend", seed))
			must.SliceNotEmpty(t, w.journal.arrivalsAt(b, when-2*second, when), must.Sprint("the backend received requests before it drained"))
		}
	}
}

func TestDrainedZoneGetsNoRequestsUntilRestored(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := newSimulation(defaultDeployment(seed))
		var from, to clock.Micros
		w.run(t, 10, map[float64]func(){
			2: func() { from = w.now; w.drainedZones["z1"] = true; w.publishSnapshots() },
			6: func() { to = w.now; w.drainedZones["z1"] = false; w.publishSnapshots() },
		})
		after := 0
		for _, b := range w.backends {
			if b.zone != "z1" {
				continue
			}
			must.SliceEmpty(t, w.journal.arrivalsAt(b, from+300_000+deliverySlack, to), must.Sprintf("seed %d: attempts reached a backend in the drained zone", seed))
			after += len(w.journal.arrivalsAt(b, to+300_000, w.now))
		}
		must.Positive(t, after, must.Sprint("the restored zone receives requests again"))
	}
}

func TestReshardingNeverMixesShardSets(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := newSimulation(defaultDeployment(seed))
		var old []*simBackend
		for _, b := range w.backends {
			if b.pool != "desk" {
				old = append(old, b)
			}
			b.lossRate = 0.1
		}
		var set []string
		var when clock.Micros
		w.run(t, 10, map[float64]func(){
			2: func() {
				for _, name := range []string{"new0", "new1", "new2", "new3", "new4", "shard3"} {
					set = append(set, name)
					if name != "shard3" {
						w.change(func(c *routingpb.RoutingTable) {
							c.Pools = append(c.Pools, &routingpb.Pool{Name: name, SlowStartUs: 3 * second})
						})
						for i := range 4 {
							w.addBackend(name, w.zone(i), w.slots, 8)
						}
					}
				}
			},
			4: func() {
				when = w.now
				w.change(func(c *routingpb.RoutingTable) {
					for _, r := range c.Routes {
						if len(r.FanoutPools) > 0 {
							r.FanoutPools = set
						}
					}
				})
			},
		})
		for _, b := range old {
			if b.pool != "shard3" && b.pool != "spare" {
				// A request that began before the change sent its first attempts to the old shards immediately. Its later
				// attempts are not sent to the old shards.
				must.SliceEmpty(t, w.journal.arrivalsAt(b, when+300_000+deliverySlack, w.now), must.Sprintf("seed %d: attempts reached a pool that no route uses any more", seed))
			}
		}
		must.SliceNotEmpty(t, w.journal.arrivalsAt(w.backends[len(w.backends)-1], when, w.now))
	}
}

func TestRouteWeightAndPoolChanges(t *testing.T) {
	t.Parallel()
	w := newSimulation(defaultDeployment(5))
	var when clock.Micros
	w.run(t, 9, map[float64]func(){
		1: func() {
			w.change(func(c *routingpb.RoutingTable) {
				for _, r := range c.Routes[2:] {
					r.Pool, r.PoolWeights = "", []*routingpb.PoolWeight{{Pool: "desk", Weight: 3}, {Pool: "spare", Weight: 1}, {Pool: "shard0", Weight: 0}}
				}
			})
		},
		5: func() {
			when = w.now
			w.change(func(c *routingpb.RoutingTable) {
				for _, r := range c.Routes[2:] {
					r.Pool, r.PoolWeights = "spare", nil
				}
			})
		},
	})
	n := map[string]int{}
	for _, a := range w.journal.arrivals {
		if k := w.journal.kinds[a.id].name; k == "once" || k == "read" {
			if a.at > when-3*second && a.at < when {
				n[a.pool]++
			}
			if a.at > when+300_000+deliverySlack {
				must.Eq(t, "spare", a.pool)
			}
		}
	}
	must.Eq(t, 0, n["shard0"])
	must.Between(t, 2.2, float64(n["desk"])/float64(n["spare"]), 4.0)
}
