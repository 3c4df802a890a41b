// The simulated world: its event queue, its set-up and its end.

package sim

import (
	"container/heap"
	"math/rand/v2"

	"wallport/control/state"
	"wallport/lab/check"
	"wallport/lab/fleet"
	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

type event struct {
	at  clock.Micros
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World is one simulated fleet.
type World struct {
	Shape   fleet.Shape
	Script  *script.Script
	Seed    uint64
	Checker *check.Checker
	Trace   func(at int64, text string)

	now             clock.Micros
	seq             uint64
	queue           events
	rng             *rand.Rand
	processes       map[string]*process
	names           []string
	processesByAddr map[string]*process
	net             network
	servers         map[string]*server
	serverIDs       []string
	serversByAddr   map[string]*server
	platform        platform
	operators       operators
	callers         callers
	shardMaps       map[string]int
	lostAt          clock.Micros
	restoredAt      clock.Micros
	nextID          uint64
	seeds           []string
	digest          uint64
	killed          map[string]bool
	unservedAt      map[shardKey]int64
	afterHealing    healedCounts
	// day is set if the scenario plays a day on the users' platform.
	day *day
	// isolatedNodes counts the nodes that are partitioned from the greater part of the fleet.
	isolatedNodes int
	// diskWrites counts the writes of all disks, for scenarios that lose power at one of them.
	diskWrites int
}

// New makes a world from a scenario and a seed.
func New(s *script.Script, seed uint64) *World {
	shape, ok := fleet.Shapes[s.Text("shape", "small")]
	if !ok {
		shape = fleet.Shapes["small"]
	}
	shape.Nodes = int(s.Int("nodes", int64(shape.Nodes)))
	shape.Cores = int(s.Int("cores", int64(shape.Cores)))
	shape.PerShard = int(s.Int("per_shard", int64(shape.PerShard)))
	w := &World{
		Shape: shape, Script: s, Seed: seed, Checker: check.New(), rng: rand.New(rand.NewPCG(seed, 0x73696d)),
		processes: map[string]*process{}, processesByAddr: map[string]*process{}, servers: map[string]*server{}, serversByAddr: map[string]*server{},
		shardMaps: map[string]int{"c1": shape.Shards}, lostAt: -1, restoredAt: -1, killed: map[string]bool{}, unservedAt: map[shardKey]int64{},
	}
	w.net.init(w)
	w.platform.init(w)
	w.operators.init(w)
	w.callers.init(w)
	if site := s.Text("site", ""); site != "" {
		w.day = newDay(w, site)
	}
	return w
}

func (w *World) after(d clock.Micros, f func()) { w.at(w.now+max(d, 0), f) }

func (w *World) at(t int64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, f})
}

// logEvent adds an event to the digest by which two runs are compared, and to the trace.
func (w *World) logEvent(text string) {
	for i := range len(text) {
		w.digest = (w.digest ^ uint64(text[i])) * 0x100000001b3
	}
	w.digest = (w.digest ^ uint64(w.now)) * 0x100000001b3
	if w.Trace != nil {
		w.Trace(w.now, text)
	}
}

// Digest returns the hash of all events; equal runs have equal digests.
func (w *World) Digest() uint64 { return w.digest }

// Run plays the whole scenario.
func (w *World) Run() {
	w.build()
	end := w.Script.Int("seconds", 30) * clock.Second
	if w.day != nil {
		end = w.day.end()
	}
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.finish()
}

func (w *World) build() {
	if w.day != nil {
		w.day.build()
		return
	}
	s := w.Shape
	for i := range s.Cores {
		addr := coreAddr(i)
		if i < 3 {
			w.seeds = append(w.seeds, addr)
		}
	}
	for i := range s.Cores {
		w.add(roleCore, i, coreAddr(i))
	}
	for i := range s.Nodes {
		w.add(roleNode, i, nodeAddr(i))
	}
	for i := range s.PerShard * s.Shards {
		w.addServer(s.Backend(i, "c1", s.Shards, ""), s.Shards)
	}
	w.addOtherServers()
	w.platform.publish()
	for _, name := range w.names {
		w.after(w.rng.Int64N(200*clock.Millisecond), func() { w.processes[name].start() })
	}
	for _, st := range w.Script.Steps {
		w.at(st.At, func() { w.runStep(st) })
	}
	w.operators.putFirst()
	w.at(w.Script.Int("callers_from_us", 10*clock.Second), w.checkLimits)
	w.callers.begin()
	w.after(100*clock.Millisecond, w.sample)
}

// sample records ten times a second which configuration every node has in force.
func (w *World) sample() {
	w.after(100*clock.Millisecond, w.sample)
	w.updateReachability()
	w.recordUnservedShards()
	for _, name := range w.names {
		p := w.processes[name]
		if p.role != roleNode || !p.running() {
			continue
		}
		cp := p.snapshots.Current()
		if cp == nil || cp.Version.Term == 0 {
			continue
		}
		since := w.reachableSince(p)
		mark := int64(0)
		if cp.Configuration != nil && len(cp.Configuration.Services) > 0 {
			mark = cp.Configuration.Services[0].RampUs
		}
		w.checkBookings(p, cp.Config.ActiveBookings, since)
		w.Checker.InForce(name, cp.Config.ConfigVersion, mark, w.now, since)
	}
}

// reachableSince returns since when a node has been up, running and connected; -1 if it is not.
func (w *World) reachableSince(p *process) clock.Micros {
	if p.isolated || p.frozen {
		return -1
	}
	return max(p.startedAt, p.reachedAt)
}

func (w *World) finish() {
	if w.day != nil {
		w.day.finish()
		return
	}
	w.Checker.Chain()
	w.Checker.Budgets()
	w.Checker.SlowStarts()
	w.Checker.CheckLimits(w.callers.until)
	w.callers.finish()
	w.checkHealed()
	if w.restoredAt >= 0 {
		w.Checker.Recovers(w.lostAt, w.restoredAt)
	}
	w.countBehind()
	for _, name := range w.names {
		p := w.processes[name]
		if p.kernel == nil {
			continue
		}
		if p.replicas != nil && p.up {
			n := int64(0)
			for part := range state.Partitions {
				if p.replicas.Leads(part) {
					n++
				}
			}
			w.Checker.Counts["owned_by_one"] = max(w.Checker.Counts["owned_by_one"], n)
			w.Checker.Count("owned", n)
		}
		p.kernel.Counts.Each(func(name string, n int64) { w.Checker.Count("sum."+name, n) })
	}
}

func (w *World) versionInForce(p *process) wire.Version {
	if cp := p.snapshots.Current(); cp != nil {
		return cp.Version
	}
	return wire.Version{}
}
