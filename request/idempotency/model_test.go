package idempotency

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	ms     = int64(1000)
	second = 1000 * ms
	// modelMaxCrashes is the maximum number of nodes that crash at the same time. It is less than half of modelNodes.
	modelNodes, modelMaxCrashes = 8, 3
	modelSeconds                = 40 * second
	// justStartedFor is how long after its start a node counts as just started.
	justStartedFor = 1500 * ms
)

// modelSeeds is the number of runs of the model, each with its own seed. For more runs use
// go test ./request/idempotency -model.seeds 500.
var modelSeeds = flag.Uint64("model.seeds", 12, "runs of the model")

type modelEvent struct {
	at  int64
	seq int
	do  func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model simulates a fleet whose nodes have different rosters while some of them crash and restart. Every node runs
// the package's code in simulated time. Messages are delayed, and lost if their receiver has crashed.
type model struct {
	t *testing.T

	rand  *rand.Rand
	now   int64
	seq   int
	queue modelQueue
	nodes []*modelNode
	// replyRoutes holds the sender and receiver of each message, by the connection on which it was received.
	replyRoutes map[uint64]route
	lastConn    uint64
	// arrives holds, for a sender and a receiver, when the last message arrives. Messages from one to the other
	// arrive in the order in which they were sent.
	arrives map[[2]incarnation]int64
	// admittedKeys holds the keys that were admitted and not released; admitted counts all admissions.
	admittedKeys  map[string]bool
	admitted      int
	admittedTwice []string
	calls         map[uint64]func(v search.Admission)
	lastCall      uint64
}

// incarnation is one process of a node.
type incarnation struct {
	node  *modelNode
	count int
}

type route struct{ from, to incarnation }

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, rand: rand.New(rand.NewPCG(seed, 3)), now: second, replyRoutes: map[uint64]route{}, arrives: map[[2]incarnation]int64{},
		admittedKeys: map[string]bool{}, calls: map[uint64]func(search.Admission){},
	}
	for i := range modelNodes {
		m.nodes = append(m.nodes, &modelNode{model: m, name: fmt.Sprintf("node-%d", i)})
	}
	for _, n := range m.nodes {
		n.start()
	}
	for _, n := range m.nodes {
		n.observe(m.nodes)
		n.step(mesh.CaughtUp{})
		// This is the first start of the fleet, so no key was admitted before and no records can be missing.
		n.coordinator.epochs = nil
	}
	return m
}

func (m *model) after(wait int64, do func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{m.now + wait, m.seq, do})
}

// between returns a random time between two bounds, both included.
func (m *model) between(least, most int64) int64 { return least + m.rand.Int64N(most-least+1) }

func (m *model) run(until int64) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// send delivers a message to the current process of the addressed node, or a reply to the process that sent
// the request.
func (m *model) send(from incarnation, s kernel.Send) {
	to := m.replyRoutes[s.Conn].from
	if s.Addr != "" {
		i := slices.IndexFunc(m.nodes, func(n *modelNode) bool { return n.name == s.Addr })
		to = m.nodes[i].incarnation()
	}
	wait := m.between(ms/2, 15*ms)
	if m.rand.IntN(20) == 0 {
		wait += m.between(0, 150*ms)
	}
	pair := [2]incarnation{from, to}
	at := max(m.now+wait, m.arrives[pair])
	m.arrives[pair] = at
	m.after(at-m.now, func() {
		if !to.alive() {
			return
		}
		m.lastConn++
		m.replyRoutes[m.lastConn] = route{from: from, to: to}
		f, err := wire.Open(s.Data)
		must.NoError(m.t, err)
		to.node.step(kernel.Message{Conn: m.lastConn, Kind: f.Kind, ID: f.ID, Body: f.Body})
	})
}

// crashSome crashes some nodes at the same time. They restart later; in one of three crashes they restart only
// after the other nodes have removed them from their rosters.
func (m *model) crashSome() {
	all := slices.Clone(m.nodes)
	m.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	downtime := m.between(200*ms, 2*second)
	if m.rand.IntN(3) == 0 {
		downtime += snapshot.RosterTTL
	}
	for _, n := range all[:1+m.rand.IntN(modelMaxCrashes)] {
		n.up, n.downAt = false, m.now
		m.after(downtime+m.between(0, 300*ms), n.restart)
	}
	m.announceRoster()
	m.after(snapshot.RosterTTL, m.announceRoster)
	m.after(downtime+m.between(4*second, 6*second), m.crashSome)
}

// announceRoster makes every node update its roster after a random delay. The new roster reflects the state of the
// fleet at the time of the update.
func (m *model) announceRoster() {
	for _, n := range m.nodes {
		process := n.incarnation()
		m.after(m.between(5*ms, second), func() {
			if process.alive() {
				n.observe(m.nodes)
			}
		})
	}
}

func TestNoKeyIsAdmittedTwiceWhileRostersDiffer(t *testing.T) {
	t.Parallel()
	seeds, admitted := *modelSeeds, 0
	if testing.Short() {
		seeds = min(seeds, 2)
	}
	for seed := range seeds {
		m := newModel(t, seed)
		m.after(second, func() { m.callers(0) })
		m.after(2*second, m.crashSome)
		m.run(modelSeconds)
		must.SliceEmpty(t, m.admittedTwice, must.Sprintf("seed %d: a key was admitted twice", seed))
		admitted += m.admitted
	}
	t.Logf("%d seeds, %d keys admitted", seeds, admitted)
	must.Greater(t, int(seeds)*500, admitted, must.Sprint("too few keys were admitted for the test to be meaningful"))
}
