// Troubles of the world, and what is earned in them at least.

package dispatch

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// some are that share of the backends of pools with a prefix, one at least.
func (w *world) some(share float64, pools ...string) (out []*simBackend) {
	for _, p := range pools {
		var all []*simBackend
		for _, b := range w.backends {
			if !b.gone && len(b.pool) >= len(p) && b.pool[:len(p)] == p {
				all = append(all, b)
			}
		}
		w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		out = append(out, all[:max(1, int(share*float64(len(all))+0.5))]...)
	}
	return out
}

// lasting sets something on backends for a while.
func (w *world) lasting(s float64, all []*simBackend, set, unset func(*simBackend)) {
	for _, b := range all {
		set(b)
		w.after(int64(s*second), func() { unset(b) })
	}
}

// crash ends backends, which come back as new ones.
func (w *world) crash(s float64, all []*simBackend) {
	for _, b := range all {
		b.down = true
		w.after(2*second, func() { b.gone = true; w.publish() })
		w.after(int64(s*second), func() {
			n := w.backend(b.pool, b.zone, b.slots, b.limit)
			n.cold = w.now + 3*second
			w.publish()
		})
	}
}

type trouble struct {
	name string
	// least is what is earned at least, of all that is owed.
	least float64
	do    func(w *world)
	// seconds is how long the world is played, usualSeconds where it is 0.
	seconds int64
}

// usualSeconds is how long the world of a trouble is played.
const usualSeconds = 12

var troubles = []trouble{
	{name: "slow", least: 0.9, do: func(w *world) {
		w.lasting(6, w.some(0.15, "shard", "desk"), func(b *simBackend) { b.times = 8.5 }, func(b *simBackend) { b.times = 1 })
	}},
	{name: "dark", least: 0.9, do: func(w *world) {
		w.lasting(5, w.some(0.15, "shard", "desk"), func(b *simBackend) { b.dark = true }, func(b *simBackend) { b.dark = false })
	}},
	{name: "dark shard", least: 0.8, do: func(w *world) {
		w.lasting(4, w.some(1, "shard0"), func(b *simBackend) { b.dark = true }, func(b *simBackend) { b.dark = false })
	}},
	{name: "dark desk", least: 0.6, do: func(w *world) {
		w.lasting(4, w.some(1, "desk"), func(b *simBackend) { b.dark = true }, func(b *simBackend) { b.dark = false })
	}},
	{name: "grey", least: 0.9, do: func(w *world) {
		w.lasting(6, w.some(0.3, "shard", "desk"), func(b *simBackend) { b.grey = 0.5 }, func(b *simBackend) { b.grey = 0 })
	}},
	{name: "grey shard", least: 0.8, do: func(w *world) {
		w.lasting(6, w.some(1, "shard1"), func(b *simBackend) { b.grey = 0.5 }, func(b *simBackend) { b.grey = 0 })
	}},
	{name: "garble", least: 0.9, do: func(w *world) {
		w.lasting(6, w.some(0.35, "shard", "desk"), func(b *simBackend) { b.garble = 0.03 }, func(b *simBackend) { b.garble = 0 })
	}},
	{name: "lost", least: 0.9, do: func(w *world) {
		w.lasting(4, w.some(0.5, "shard", "desk"), func(b *simBackend) { b.lost = 0.05 }, func(b *simBackend) { b.lost = 0 })
	}},
	{name: "crash", least: 0.9, do: func(w *world) { w.crash(4, w.some(0.2, "shard", "desk")) }},
	{name: "crash shard", least: 0.8, do: func(w *world) { w.crash(4, w.some(1, "shard2")) }},
	{name: "flap", least: 0.85, do: func(w *world) {
		for _, b := range w.some(0.2, "shard", "desk") {
			for i := range 8 {
				w.after(int64(i)*second, func() { b.down = i%2 == 0 })
			}
		}
	}},
	{name: "herd", least: 0.7, do: func(w *world) {
		for i, n := range w.nodes {
			if i%2 == 0 {
				n.dead = true
				w.after(1_500_000, func() { n.start(w.now) })
			}
		}
	}},
	{name: "overload", least: 0.5, do: func(w *world) {
		until := w.now + 5*second
		for range 3 {
			w.offer(until)
		}
	}},
	// Its pools lose most answers from 3 to 13 s.
	{name: "lossy", least: 0.4, seconds: 16, do: func(w *world) {
		w.lasting(10, w.some(1, "shard", "desk"), func(b *simBackend) { b.lost = 0.7 }, func(b *simBackend) { b.lost = 0 })
	}},
}

func TestTroubles(t *testing.T) {
	t.Parallel()
	for _, tr := range troubles {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := usual(seed + 10)
				s.onceTo = 1 + int(seed)
				w := newWorld(s)
				w.play(t, cmp.Or(tr.seconds, usualSeconds), map[float64]func(){3: func() { tr.do(w) }})
				t.Logf("seed %d: earned %.3f, %.2f at least", w.seed, w.log.earned(), tr.least)
				must.GreaterEq(t, tr.least, w.log.earned(), must.Sprintf("seed %d", w.seed))
			}
		})
	}
}

func (j *journal) earned() float64 {
	owed, earned := 0.0, 0.0
	for _, s := range j.sums {
		owed, earned = owed+s.owed, earned+s.earned
	}
	return earned / max(1, owed)
}

// change puts a new configuration in force.
func (w *world) change(f func(c *routingpb.RoutingTable)) {
	c := proto.Clone(w.config).(*routingpb.RoutingTable)
	c.Revision++
	f(c)
	w.config, w.configs = c, append(w.configs, c)
	w.publish()
}

var _ = fmt.Sprint

// While a pool is silent its requests are refused, which promises that they have not run, and soon
// after it is back they are served.
func TestSilentPoolIsRefusedAndFoundAgain(t *testing.T) {
	t.Parallel()
	for _, read := range []float64{25, 0} {
		for seed := range uint64(3) {
			s := usual(seed)
			s.search, s.quick, s.read = 0, 0, read
			w := newWorld(s)
			from := w.now + second + 2*second
			w.play(t, 9, map[float64]func(){2: func() {
				w.lasting(4, w.some(1, "desk"), func(b *simBackend) { b.dark = true }, func(b *simBackend) { b.dark = false })
			}})
			began := map[string]int64{}
			for _, v := range w.log.tries {
				began[v.id] = v.at
			}
			count := func(from, to int64, status int) (share float64) {
				n, all := 0, 0
				for _, v := range w.log.told_ {
					if at := began[v.id]; v.kind.once && at >= from && at < to {
						all++
						if v.o.Status == status {
							n++
						}
					}
				}
				return float64(n) / float64(max(1, all))
			}
			must.Greater(t, 0.7, count(from+1_500_000, from+3_900_000, 503), must.Sprintf("seed %d", seed))
			must.Greater(t, 0.8, count(from+5*second, from+6*second, 200), must.Sprintf("seed %d", seed))
		}
	}
}
