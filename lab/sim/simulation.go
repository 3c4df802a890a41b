// The simulation: its event queue, its set-up, and the checks at its end.

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

// Simulation is one run of a simulated fleet.
type Simulation struct {
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
	// day is set if the scenario simulates a day on the users' platform.
	day *day
	// isolatedNodes counts the running nodes that are partitioned from the main group of the fleet: see
	// updateReachability.
	isolatedNodes int
	// diskWrites counts the writes of all disks, for scenarios that cut the power at a given write.
	diskWrites int
}

// New returns a simulation of a scenario under a seed.
func New(s *script.Script, seed uint64) *Simulation {
	shape, ok := fleet.Shapes[s.Text("shape", "small")]
	if !ok {
		shape = fleet.Shapes["small"]
	}
	shape.Nodes = int(s.Int("nodes", int64(shape.Nodes)))
	shape.Cores = int(s.Int("cores", int64(shape.Cores)))
	shape.PerShard = int(s.Int("per_shard", int64(shape.PerShard)))
	sim := &Simulation{
		Shape: shape, Script: s, Seed: seed, Checker: check.New(), rng: rand.New(rand.NewPCG(seed, 0x73696d)),
		processes: map[string]*process{}, processesByAddr: map[string]*process{}, servers: map[string]*server{}, serversByAddr: map[string]*server{},
		shardMaps: map[string]int{"c1": shape.Shards}, lostAt: -1, restoredAt: -1, killed: map[string]bool{}, unservedAt: map[shardKey]int64{},
	}
	sim.net.init(sim)
	sim.platform.init(sim)
	sim.operators.init(sim)
	sim.callers.init(sim)
	if site := s.Text("site", ""); site != "" {
		sim.day = newDay(sim, site)
	}
	return sim
}

func (sim *Simulation) after(d clock.Micros, f func()) { sim.at(sim.now+max(d, 0), f) }

func (sim *Simulation) at(t int64, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{max(t, sim.now), sim.seq, f})
}

// logEvent adds an event to the trace and to the digest, which shows whether two runs were identical.
func (sim *Simulation) logEvent(text string) {
	for i := range len(text) {
		sim.digest = (sim.digest ^ uint64(text[i])) * 0x100000001b3
	}
	sim.digest = (sim.digest ^ uint64(sim.now)) * 0x100000001b3
	if sim.Trace != nil {
		sim.Trace(sim.now, text)
	}
}

// Digest returns the hash of all events and their times; identical runs have equal digests.
func (sim *Simulation) Digest() uint64 { return sim.digest }

// Run runs the scenario to its end and then the final checks.
func (sim *Simulation) Run() {
	sim.build()
	end := sim.Script.Int("seconds", 30) * clock.Second
	if sim.day != nil {
		end = sim.day.end()
	}
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.finish()
}

func (sim *Simulation) build() {
	if sim.day != nil {
		sim.day.build()
		return
	}
	s := sim.Shape
	for i := range s.Cores {
		addr := coreAddr(i)
		if i < 3 {
			sim.seeds = append(sim.seeds, addr)
		}
	}
	for i := range s.Cores {
		sim.add(roleCore, i, coreAddr(i))
	}
	for i := range s.Nodes {
		sim.add(roleNode, i, nodeAddr(i))
	}
	for i := range s.PerShard * s.Shards {
		sim.addServer(s.Backend(i, "c1", s.Shards, ""), s.Shards)
	}
	sim.addOtherServers()
	sim.platform.publish()
	for _, name := range sim.names {
		sim.after(sim.rng.Int64N(200*clock.Millisecond), func() { sim.processes[name].start() })
	}
	for _, st := range sim.Script.Steps {
		sim.at(st.At, func() { sim.runStep(st) })
	}
	sim.operators.putInitial()
	sim.at(sim.Script.Int("callers_from_us", 10*clock.Second), sim.checkLimits)
	sim.callers.begin()
	sim.after(100*clock.Millisecond, sim.sample)
}

// sample runs ten times a second. It reports to the checker which configuration every running node has in force
// and which bookings are active on it.
func (sim *Simulation) sample() {
	sim.after(100*clock.Millisecond, sim.sample)
	sim.updateReachability()
	sim.recordUnservedShards()
	for _, name := range sim.names {
		p := sim.processes[name]
		if p.role != roleNode || !p.running() {
			continue
		}
		cp := p.snapshots.Current()
		if cp == nil || cp.Version.Term == 0 {
			continue
		}
		since := sim.reachableSince(p)
		mark := int64(0)
		if cp.Configuration != nil && len(cp.Configuration.Services) > 0 {
			mark = cp.Configuration.Services[0].RampUs
		}
		sim.checkBookings(p, cp.Config.ActiveBookings, since)
		sim.Checker.InForce(name, cp.Config.ConfigVersion, mark, sim.now, since)
	}
}

// reachableSince returns the time since which a node has been up, not frozen and not isolated; -1 if it is isolated
// or frozen.
func (sim *Simulation) reachableSince(p *process) clock.Micros {
	if p.isolated || p.frozen {
		return -1
	}
	return max(p.startedAt, p.reachedAt)
}

func (sim *Simulation) finish() {
	if sim.day != nil {
		sim.day.finish()
		return
	}
	sim.Checker.CheckChain()
	sim.Checker.Budgets()
	sim.Checker.SlowStarts()
	sim.Checker.CheckLimits(sim.callers.until)
	sim.callers.finish()
	sim.checkHealed()
	if sim.restoredAt >= 0 {
		sim.Checker.Recovers(sim.lostAt, sim.restoredAt)
	}
	sim.countBehind()
	for _, name := range sim.names {
		p := sim.processes[name]
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
			sim.Checker.Counts["owned_by_one"] = max(sim.Checker.Counts["owned_by_one"], n)
			sim.Checker.Count("owned", n)
		}
		p.kernel.Counts.Each(func(name string, n int64) { sim.Checker.Count("sum."+name, n) })
	}
}

func (sim *Simulation) versionInForce(p *process) wire.Version {
	if cp := p.snapshots.Current(); cp != nil {
		return cp.Version
	}
	return wire.Version{}
}
