// A simulated deployment in one process, on simulated time, with nodes, backends, clients and network links.

package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// event is a scheduled function; seq orders events that are scheduled for the same time.
type event struct {
	at  clock.Micros
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

// deployment describes the size of a simulated deployment and the traffic of its clients.
type deployment struct {
	seed              uint64
	nodes, zones      int
	shards, perShard  int
	poolBackends      int
	slots, queueLimit int
	search, quick     float64 // requests per second to the whole fleet
	once, read        float64
	// pauseLength is how long each backend pauses every 4 s; 0 means never.
	pauseLength     clock.Micros
	slowStartRate   float64
	clientRetries   int
	clientLink      clock.Micros
	allowance       float64
	onceMaxBackends int
}

func defaultDeployment(seed uint64) deployment {
	return deployment{
		seed: seed, nodes: 11, zones: 4, shards: 4, perShard: 4, poolBackends: 4, slots: 2, queueLimit: 8,
		search: 255, quick: 102, once: 153, read: 25.5, pauseLength: 40 * clock.Millisecond, clientRetries: 1, clientLink: 3 * clock.Millisecond, allowance: 62,
	}
}

// simulation is a running deployment.
type simulation struct {
	deployment
	now          clock.Micros
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
	work         map[string]clock.Micros
}

type simNode struct {
	simulation *simulation
	zone       string
	dispatcher *Dispatcher
	gauges     *snapshot.Gauges
	snap       *snapshot.Snapshot
	table      *routing.Table
	down       bool
	// propagationDelay is the delay after which the node receives a change.
	propagationDelay clock.Micros
}

// after schedules do to run after the delay.
func (w *simulation) after(delay clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, do: do})
}

// advance runs the events up to the given time.
func (w *simulation) advance(until clock.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *simulation) zone(i int) string { return fmt.Sprintf("z%d", i%w.zones) }

func newSimulation(s deployment) *simulation {
	w := &simulation{deployment: s, rnd: rand.New(rand.NewPCG(s.seed, 7)), drainedZones: map[string]bool{}, work: map[string]clock.Micros{}, byID: map[string]*simBackend{}, now: 60 * clock.Second}
	w.journal.startedAt = w.now
	w.journal.init()
	w.table = &routingpb.RoutingTable{Revision: 1}
	var shards []string
	for i := range s.shards {
		name := fmt.Sprintf("shard%d", i)
		shards = append(shards, name)
		w.addPool(name, s.perShard, s.slots, s.queueLimit)
	}
	w.addPool("desk", s.poolBackends, 6, 24)
	w.addPool("spare", s.poolBackends, 6, 24)
	w.table.Routes = []*routingpb.Route{
		{Name: "search", Host: "h", Prefix: "/search/", Repeatable: true, TimeoutUs: 400 * clock.Millisecond, TargetLatencyUs: 80 * clock.Millisecond, Priority: 1, MaxBackends: proto.Int32(2), FanoutPools: shards, ResultLimit: 20, MinCoverage: 0.75},
		{Name: "quick", Host: "h", Prefix: "/quick/", Repeatable: true, TimeoutUs: 250 * clock.Millisecond, TargetLatencyUs: 40 * clock.Millisecond, Priority: 2, MaxBackends: proto.Int32(2), FanoutPools: shards, ResultLimit: 5, MinCoverage: 0.5},
		{Name: "once", Host: "h", Prefix: "/once/", TimeoutUs: 1_500 * clock.Millisecond, TargetLatencyUs: 250 * clock.Millisecond, MaxBackends: proto.Int32(int32(max(1, s.onceMaxBackends))), Pool: "desk"},
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, TimeoutUs: 1_500 * clock.Millisecond, TargetLatencyUs: 250 * clock.Millisecond, Priority: 2, MaxBackends: proto.Int32(2), Pool: "desk"},
	}
	w.tables = append(w.tables, w.table)
	for i := range s.nodes {
		w.nodes = append(w.nodes, w.addNode(i))
	}
	w.publishSnapshots()
	return w
}

func (w *simulation) addNode(i int) *simNode {
	n := &simNode{simulation: w, zone: w.zone(i), gauges: &snapshot.Gauges{}, propagationDelay: int64(w.rnd.IntN(300_000))}
	n.restart(w.now - 60*clock.Second)
	return n
}

// restart starts the node's process again, with empty state.
func (n *simNode) restart(startedAt clock.Micros) {
	n.dispatcher = NewDispatcher(Config{
		Snapshot: func() *snapshot.Snapshot { return n.snap }, Counts: kernel.NewCounts(), Seed: n.simulation.rnd.Uint64(), StartedAt: startedAt,
		Retry: RetryConfig{Ratio: 0.2, Allowance: n.simulation.allowance, Window: 10 * clock.Second},
	})
	n.gauges, n.down = &snapshot.Gauges{}, false
	n.refreshSnapshot()
}

func (w *simulation) addPool(name string, backends, slots, queue int) {
	w.table.Pools = append(w.table.Pools, &routingpb.Pool{Name: name, SlowStartUs: 3 * clock.Second, RampPerS: w.slowStartRate})
	for i := range backends {
		w.addBackend(name, w.zone(i), slots, queue)
	}
}

func (w *simulation) addBackend(pool, zone string, slots, queue int) *simBackend {
	b := &simBackend{simulation: w, id: fmt.Sprintf("%s-%d", pool, len(w.backends)), pool: pool, zone: zone, slots: slots, queueLimit: queue, workFactor: 1}
	w.backends, w.byID[b.id] = append(w.backends, b), b
	if w.pauseLength > 0 {
		w.after(int64(w.rnd.IntN(4_000_000)), b.schedulePauses)
	}
	return b
}

// publishSnapshots schedules a refresh of every node's snapshot after the node's propagation delay.
func (w *simulation) publishSnapshots() {
	for _, n := range w.nodes {
		w.after(n.propagationDelay, n.refreshSnapshot)
	}
}

// refreshSnapshot builds the node's snapshot from the current state of the simulation.
func (n *simNode) refreshSnapshot() {
	w := n.simulation
	if n.table == nil || n.table.Source != w.table {
		n.table = routing.Compile(w.table)
	}
	live := 0
	for _, o := range w.nodes {
		if !o.down {
			live++
		}
	}
	snap := &snapshot.Snapshot{At: w.now, Zone: n.zone, Divisor: max(live, w.deployment.nodes), LiveNodeCount: live, Routing: n.table, Pools: map[string]*snapshot.Pool{}, Complete: true}
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
