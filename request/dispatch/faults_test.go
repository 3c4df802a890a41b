// Tests that clients receive a minimum value while a fault is injected into the simulated deployment.

package dispatch

import (
	"cmp"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// someBackends draws backends at random: for each name prefix in pools, the given share of the backends in the pools
// with that prefix, and at least one backend.
func (w *simulation) someBackends(share float64, pools ...string) (out []*simBackend) {
	for _, p := range pools {
		var all []*simBackend
		for _, b := range w.backends {
			if !b.departed && len(b.pool) >= len(p) && b.pool[:len(p)] == p {
				all = append(all, b)
			}
		}
		w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		out = append(out, all[:max(1, int(share*float64(len(all))+0.5))]...)
	}
	return out
}

// setFor calls set on the backends now and unset after s seconds.
func (w *simulation) setFor(s float64, all []*simBackend, set, unset func(*simBackend)) {
	for _, b := range all {
		set(b)
		w.after(int64(s*second), func() { unset(b) })
	}
}

// crash stops backends. After s seconds new backends replace them.
func (w *simulation) crash(s float64, all []*simBackend) {
	for _, b := range all {
		b.down = true
		w.after(2*second, func() { b.departed = true; w.publishSnapshots() })
		w.after(int64(s*second), func() {
			n := w.addBackend(b.pool, b.zone, b.slots, b.queueLimit)
			n.warmUntil = w.now + 3*second
			w.publishSnapshots()
		})
	}
}

// fault is a fault that TestFaults injects 3 s after clients start to send requests.
type fault struct {
	name string
	// least is the minimum share of the possible value that clients must receive.
	least  float64
	inject func(w *simulation)
	// seconds is how long the simulation runs; 0 means defaultSeconds.
	seconds int64
}

// defaultSeconds is how long the simulation of a fault runs by default.
const defaultSeconds = 12

var faults = []fault{
	{name: "slow", least: 0.9, inject: func(w *simulation) {
		w.setFor(6, w.someBackends(0.15, "shard", "desk"), func(b *simBackend) { b.workFactor = 8.5 }, func(b *simBackend) { b.workFactor = 1 })
	}},
	{name: "unresponsive", least: 0.9, inject: func(w *simulation) {
		w.setFor(5, w.someBackends(0.15, "shard", "desk"), func(b *simBackend) { b.unresponsive = true }, func(b *simBackend) { b.unresponsive = false })
	}},
	{name: "unresponsive shard", least: 0.8, inject: func(w *simulation) {
		w.setFor(4, w.someBackends(1, "shard0"), func(b *simBackend) { b.unresponsive = true }, func(b *simBackend) { b.unresponsive = false })
	}},
	{name: "unresponsive pool", least: 0.6, inject: func(w *simulation) {
		w.setFor(4, w.someBackends(1, "desk"), func(b *simBackend) { b.unresponsive = true }, func(b *simBackend) { b.unresponsive = false })
	}},
	{name: "errors", least: 0.9, inject: func(w *simulation) {
		w.setFor(6, w.someBackends(0.3, "shard", "desk"), func(b *simBackend) { b.errorRate = 0.5 }, func(b *simBackend) { b.errorRate = 0 })
	}},
	{name: "errors of a shard", least: 0.8, inject: func(w *simulation) {
		w.setFor(6, w.someBackends(1, "shard1"), func(b *simBackend) { b.errorRate = 0.5 }, func(b *simBackend) { b.errorRate = 0 })
	}},
	{name: "invalid responses", least: 0.9, inject: func(w *simulation) {
		w.setFor(6, w.someBackends(0.35, "shard", "desk"), func(b *simBackend) { b.invalidRate = 0.03 }, func(b *simBackend) { b.invalidRate = 0 })
	}},
	{name: "lost responses", least: 0.9, inject: func(w *simulation) {
		w.setFor(4, w.someBackends(0.5, "shard", "desk"), func(b *simBackend) { b.lossRate = 0.05 }, func(b *simBackend) { b.lossRate = 0 })
	}},
	{name: "crash", least: 0.9, inject: func(w *simulation) { w.crash(4, w.someBackends(0.2, "shard", "desk")) }},
	{name: "crash shard", least: 0.8, inject: func(w *simulation) { w.crash(4, w.someBackends(1, "shard2")) }},
	{name: "flapping", least: 0.85, inject: func(w *simulation) {
		for _, b := range w.someBackends(0.2, "shard", "desk") {
			for i := range 8 {
				w.after(int64(i)*second, func() { b.down = i%2 == 0 })
			}
		}
	}},
	{name: "restart of half the nodes", least: 0.7, inject: func(w *simulation) {
		for i, n := range w.nodes {
			if i%2 == 0 {
				n.down = true
				w.after(1_500_000, func() { n.restart(w.now) })
			}
		}
	}},
	{name: "overload", least: 0.5, inject: func(w *simulation) {
		until := w.now + 5*second
		for range 3 {
			w.startClients(until)
		}
	}},
	// The shard and desk pools lose 70 % of the responses from 3 to 13 s.
	{name: "most responses lost", least: 0.4, seconds: 16, inject: func(w *simulation) {
		w.setFor(10, w.someBackends(1, "shard", "desk"), func(b *simBackend) { b.lossRate = 0.7 }, func(b *simBackend) { b.lossRate = 0 })
	}},
}

func TestFaults(t *testing.T) {
	t.Parallel()
	for _, tr := range faults {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := defaultDeployment(seed + 10)
				s.onceMaxBackends = 1 + int(seed)
				w := newSimulation(s)
				w.run(t, cmp.Or(tr.seconds, defaultSeconds), map[float64]func(){3: func() { tr.inject(w) }})
				t.Logf("seed %d: clients received %.3f of the possible value; at least %.2f is required", w.seed, w.journal.earned(), tr.least)
				must.GreaterEq(t, tr.least, w.journal.earned(), must.Sprintf("seed %d: share of the possible value that clients received", w.seed))
			}
		})
	}
}

// earned returns the share of the possible value that clients received.
func (j *journal) earned() float64 {
	possible, earned := 0.0, 0.0
	for _, s := range j.tallies {
		possible, earned = possible+s.possible, earned+s.earned
	}
	return earned / max(1, possible)
}

// change publishes a changed routing table with the next revision.
func (w *simulation) change(f func(c *routingpb.RoutingTable)) {
	c := proto.Clone(w.table).(*routingpb.RoutingTable)
	c.Revision++
	f(c)
	w.table, w.tables = c, append(w.tables, c)
	w.publishSnapshots()
}

// TestUnresponsivePoolIsRejectedAndRecovers checks that requests to an unresponsive pool are rejected without having
// run, and that they are served soon after the pool has recovered.
func TestUnresponsivePoolIsRejectedAndRecovers(t *testing.T) {
	t.Parallel()
	for _, read := range []float64{25, 0} {
		for seed := range uint64(3) {
			s := defaultDeployment(seed)
			s.search, s.quick, s.read = 0, 0, read
			w := newSimulation(s)
			from := w.now + second + 2*second
			w.run(t, 9, map[float64]func(){2: func() {
				w.setFor(4, w.someBackends(1, "desk"), func(b *simBackend) { b.unresponsive = true }, func(b *simBackend) { b.unresponsive = false })
			}})
			began := map[string]clock.Micros{}
			for _, v := range w.journal.attempts {
				began[v.id] = v.at
			}
			count := func(from, to clock.Micros, status int) (share float64) {
				n, all := 0, 0
				for _, v := range w.journal.outcomes {
					if at := began[v.id]; v.kind.atMostOnce && at >= from && at < to {
						all++
						if v.outcome.Status == status {
							n++
						}
					}
				}
				return float64(n) / float64(max(1, all))
			}
			must.Greater(t, 0.7, count(from+1_500_000, from+3_900_000, 503), must.Sprintf("seed %d: share of requests rejected with 503 while the pool is unresponsive", seed))
			must.Greater(t, 0.8, count(from+5*second, from+6*second, 200), must.Sprintf("seed %d: share of requests that succeed after the pool has recovered", seed))
		}
	}
}
