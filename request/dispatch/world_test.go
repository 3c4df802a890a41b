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

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(v any)   { *e = append(*e, v.(event)) }
func (e *eventHeap) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// deployment is what a world is made of.
type deployment struct {
	seed                       uint64
	nodes, zones               int
	shards, perShard           int
	deskBackends               int
	slots, queueLimit          int
	search, quick              float64 // requests a second of the fleet
	once, read                 float64
	pause                      int64
	rampPerS                   float64
	clientRetries              int
	clientLink                 int64
	allowance                  float64
	onceMaxBackends, onceTried int
}

func defaultDeployment(seed uint64) deployment {
	return deployment{
		seed: seed, nodes: 11, zones: 4, shards: 4, perShard: 4, deskBackends: 4, slots: 2, queueLimit: 8,
		search: 255, quick: 102, once: 153, read: 25.5, pause: 40_000, clientRetries: 1, clientLink: 3_000, allowance: 62, onceTried: 1,
	}
}

type world struct {
	deployment
	now          int64
	seq          int
	events       eventHeap
	rnd          *rand.Rand
	nodes        []*simNode
	backends     []*simBackend
	byID         map[string]*simBackend
	table        *routingpb.RoutingTable
	tables       []*routingpb.RoutingTable
	drainedZones map[string]bool
	journal      journal
	lastID       int
	work         map[string]int64
}

type simNode struct {
	world      *world
	zone       string
	dispatcher *Dispatcher
	gauges     *snapshot.Gauges
	snap       *snapshot.Snapshot
	table      *routing.Table
	down       bool
	// propagationDelay is how long after a change its table follows.
	propagationDelay int64
}

func (w *world) after(us int64, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + us, seq: w.seq, do: do})
}

// advance plays until a moment.
func (w *world) advance(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) zone(i int) string { return fmt.Sprintf("z%d", i%w.zones) }

func newWorld(s deployment) *world {
	w := &world{deployment: s, rnd: rand.New(rand.NewPCG(s.seed, 7)), drainedZones: map[string]bool{}, work: map[string]int64{}, byID: map[string]*simBackend{}, now: 60_000_000}
	w.journal.began = w.now
	w.journal.init()
	w.table = &routingpb.RoutingTable{Revision: 1}
	var shards []string
	for i := range s.shards {
		name := fmt.Sprintf("shard%d", i)
		shards = append(shards, name)
		w.addPool(name, s.perShard, s.slots, s.queueLimit)
	}
	w.addPool("desk", s.deskBackends, 6, 24)
	w.addPool("spare", s.deskBackends, 6, 24)
	w.table.Routes = []*routingpb.Route{
		{Name: "search", Host: "h", Prefix: "/search/", Repeatable: true, TimeoutUs: 400_000, TargetLatencyUs: 80_000, Priority: 1, MaxBackends: 2, FanoutPools: shards, ResultLimit: 20, MinCoverage: 0.75},
		{Name: "quick", Host: "h", Prefix: "/quick/", Repeatable: true, TimeoutUs: 250_000, TargetLatencyUs: 40_000, Priority: 2, MaxBackends: 2, FanoutPools: shards, ResultLimit: 5, MinCoverage: 0.5},
		{Name: "once", Host: "h", Prefix: "/once/", TimeoutUs: 1_500_000, TargetLatencyUs: 250_000, MaxBackends: int32(max(1, s.onceMaxBackends)), Pool: "desk"},
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, TimeoutUs: 1_500_000, TargetLatencyUs: 250_000, Priority: 2, MaxBackends: 2, Pool: "desk"},
	}
	w.tables = append(w.tables, w.table)
	for i := range s.nodes {
		w.nodes = append(w.nodes, w.addNode(i))
	}
	w.publishSnapshots()
	return w
}

func (w *world) addNode(i int) *simNode {
	n := &simNode{world: w, zone: w.zone(i), gauges: &snapshot.Gauges{}, propagationDelay: int64(w.rnd.IntN(300_000))}
	n.start(w.now - 60_000_000)
	return n
}

// start begins a new life of the node's process.
func (n *simNode) start(began int64) {
	n.dispatcher = NewDispatcher(Config{
		Snapshot: func() *snapshot.Snapshot { return n.snap }, Counts: kernel.NewCounts(), Seed: n.world.rnd.Uint64(), StartedAt: began,
		Retry: RetryConfig{Ratio: 0.2, Allowance: n.world.allowance, Window: 10_000_000},
	})
	n.gauges, n.down = &snapshot.Gauges{}, false
	n.refreshSnapshot()
}

func (w *world) addPool(name string, backends, slots, queue int) {
	w.table.Pools = append(w.table.Pools, &routingpb.Pool{Name: name, SlowStartUs: 3_000_000, RampPerS: w.rampPerS})
	for i := range backends {
		w.addBackend(name, w.zone(i), slots, queue)
	}
}

func (w *world) addBackend(pool, zone string, slots, queue int) *simBackend {
	b := &simBackend{world: w, id: fmt.Sprintf("%s-%d", pool, len(w.backends)), pool: pool, zone: zone, slots: slots, queueLimit: queue, workFactor: 1}
	w.backends, w.byID[b.id] = append(w.backends, b), b
	if w.pause > 0 {
		w.after(int64(w.rnd.IntN(4_000_000)), b.schedulePauses)
	}
	return b
}

// publishSnapshots lets every node take what the world is now, each after its own while.
func (w *world) publishSnapshots() {
	for _, n := range w.nodes {
		w.after(n.propagationDelay, n.refreshSnapshot)
	}
}

// refreshSnapshot makes the node's snapshot of what is so now.
func (n *simNode) refreshSnapshot() {
	w := n.world
	if n.table == nil || n.table.Source != w.table {
		n.table = routing.Compile(w.table)
	}
	live := 0
	for _, o := range w.nodes {
		if !o.down {
			live++
		}
	}
	snap := &snapshot.Snapshot{At: w.now, Zone: n.zone, Divisor: max(live, w.deployment.nodes), Peers: live, Routing: n.table, Pools: map[string]*snapshot.Pool{}, Complete: true}
	for name, p := range n.table.Pools {
		snap.Pools[name] = &snapshot.Pool{Pool: p}
	}
	for _, b := range w.backends {
		if b.departed {
			continue
		}
		s := &snapshot.Backend{Backend: wire.Backend{ID: b.id, Zone: b.zone, Pool: b.pool, Slots: b.slots, WarmUpRemaining: max(0, b.warmUntil-w.now)}, Gauge: n.gauges.Of(b.id)}
		switch {
		case b.draining:
			s.Health = snapshot.Draining
		case w.drainedZones[b.zone]:
			s.Health = snapshot.ZoneDrained
		}
		if p := snap.Pools[b.pool]; p != nil {
			p.Backends = append(p.Backends, s)
		}
	}
	n.snap = snap
}
