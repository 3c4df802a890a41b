// A small world on simulated time: nodes, backends, clients and what lies between them.

package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// shape is what a world is made of.
type shape struct {
	seed              uint64
	nodes, zones      int
	shards, perShard  int
	desk              int
	slots, queue      int
	search, quick     float64 // requests a second of the fleet
	once, read        float64
	pause             int64
	ramp              float64
	tries             int
	linkUs            int64
	allowance         float64
	onceTo, onceTried int
}

func usual(seed uint64) shape {
	return shape{
		seed: seed, nodes: 11, zones: 4, shards: 4, perShard: 4, desk: 4, slots: 2, queue: 8,
		search: 255, quick: 102, once: 153, read: 25.5, pause: 40_000, tries: 1, linkUs: 3_000, allowance: 62, onceTried: 1,
	}
}

type world struct {
	shape
	now      int64
	seq      int
	q        events
	rnd      *rand.Rand
	nodes    []*simNode
	backends []*simBackend
	byID     map[string]*simBackend
	config   *routingpb.RoutingTable
	configs  []*routingpb.RoutingTable
	emptied  map[string]bool
	log      journal
	ids      int
	works    map[string]int64
}

type simNode struct {
	w      *world
	zone   string
	desk   *Dispatcher
	gauges *snapshot.Gauges
	snap   *snapshot.Snapshot
	rt     *routing.Table
	dead   bool
	// late is how long after a change its table follows.
	late int64
}

func (w *world) after(us int64, do func()) {
	w.seq++
	heap.Push(&w.q, event{at: w.now + us, seq: w.seq, do: do})
}

// run plays until a moment.
func (w *world) run(until int64) {
	for len(w.q) > 0 && w.q[0].at <= until {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) zone(i int) string { return fmt.Sprintf("z%d", i%w.zones) }

func newWorld(s shape) *world {
	w := &world{shape: s, rnd: rand.New(rand.NewPCG(s.seed, 7)), emptied: map[string]bool{}, works: map[string]int64{}, byID: map[string]*simBackend{}, now: 60_000_000}
	w.log.began = w.now
	w.log.init()
	w.config = &routingpb.RoutingTable{Revision: 1}
	var shards []string
	for i := range s.shards {
		name := fmt.Sprintf("shard%d", i)
		shards = append(shards, name)
		w.pool(name, s.perShard, s.slots, s.queue)
	}
	w.pool("desk", s.desk, 6, 24)
	w.pool("spare", s.desk, 6, 24)
	w.config.Routes = []*routingpb.Route{
		{Name: "search", Host: "h", Prefix: "/search/", Repeatable: true, TimeoutUs: 400_000, TargetLatencyUs: 80_000, Priority: 1, MaxBackends: 2, FanoutPools: shards, ResultLimit: 20, MinCoverage: 0.75},
		{Name: "quick", Host: "h", Prefix: "/quick/", Repeatable: true, TimeoutUs: 250_000, TargetLatencyUs: 40_000, Priority: 2, MaxBackends: 2, FanoutPools: shards, ResultLimit: 5, MinCoverage: 0.5},
		{Name: "once", Host: "h", Prefix: "/once/", TimeoutUs: 1_500_000, TargetLatencyUs: 250_000, MaxBackends: int32(max(1, s.onceTo)), Pool: "desk"},
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, TimeoutUs: 1_500_000, TargetLatencyUs: 250_000, Priority: 2, MaxBackends: 2, Pool: "desk"},
	}
	w.configs = append(w.configs, w.config)
	for i := range s.nodes {
		w.nodes = append(w.nodes, w.node(i))
	}
	w.publish()
	return w
}

func (w *world) node(i int) *simNode {
	n := &simNode{w: w, zone: w.zone(i), gauges: &snapshot.Gauges{}, late: int64(w.rnd.IntN(300_000))}
	n.start(w.now - 60_000_000)
	return n
}

// start begins a new life of the node's process.
func (n *simNode) start(began int64) {
	n.desk = NewDispatcher(Config{
		Snapshot: func() *snapshot.Snapshot { return n.snap }, Counts: kernel.NewCounts(), Seed: n.w.rnd.Uint64(), StartedAt: began,
		Retry: RetryConfig{Ratio: 0.2, Allowance: n.w.allowance, Window: 10_000_000},
	})
	n.gauges, n.dead = &snapshot.Gauges{}, false
	n.take()
}

func (w *world) pool(name string, backends, slots, queue int) {
	w.config.Pools = append(w.config.Pools, &routingpb.Pool{Name: name, SlowStartUs: 3_000_000, RampPerS: w.ramp})
	for i := range backends {
		w.backend(name, w.zone(i), slots, queue)
	}
}

func (w *world) backend(pool, zone string, slots, queue int) *simBackend {
	b := &simBackend{w: w, id: fmt.Sprintf("%s-%d", pool, len(w.backends)), pool: pool, zone: zone, slots: slots, limit: queue, times: 1}
	w.backends, w.byID[b.id] = append(w.backends, b), b
	if w.pause > 0 {
		w.after(int64(w.rnd.IntN(4_000_000)), b.pauses)
	}
	return b
}

// publish lets every node take what the world is now, each after its own while.
func (w *world) publish() {
	for _, n := range w.nodes {
		w.after(n.late, n.take)
	}
}

// take makes the node's snapshot of what is so now.
func (n *simNode) take() {
	w := n.w
	if n.rt == nil || n.rt.Source != w.config {
		n.rt = routing.Compile(w.config)
	}
	live := 0
	for _, o := range w.nodes {
		if !o.dead {
			live++
		}
	}
	snap := &snapshot.Snapshot{At: w.now, Zone: n.zone, Divisor: max(live, w.shape.nodes), Peers: live, Routing: n.rt, Pools: map[string]*snapshot.Pool{}, Complete: true}
	for name, p := range n.rt.Pools {
		snap.Pools[name] = &snapshot.Pool{Pool: p}
	}
	for _, b := range w.backends {
		if b.gone {
			continue
		}
		s := &snapshot.Backend{Backend: wire.Backend{ID: b.id, Zone: b.zone, Pool: b.pool, Slots: b.slots, WarmUpRemaining: max(0, b.cold-w.now)}, Gauge: n.gauges.Of(b.id)}
		switch {
		case b.leaving:
			s.Health = snapshot.Draining
		case w.emptied[b.zone]:
			s.Health = snapshot.ZoneDrained
		}
		if p := snap.Pools[b.pool]; p != nil {
			p.Backends = append(p.Backends, s)
		}
	}
	n.snap = snap
}
