// Package sim runs the product's own state machines on simulated time, network,
// disks and clocks, with stand-ins for back ends, platform, callers and
// operators. A run is a function of its scenario and seed: it replays exactly.
package sim

import (
	"container/heap"
	"math/rand/v2"

	"wallport/control/state"
	"wallport/lab/check"
	"wallport/lab/fleet"
	"wallport/lab/script"
	"wallport/runtime/wire"
)

type event struct {
	at  int64
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
	Shape  fleet.Shape
	Script *script.Script
	Seed   uint64
	Judge  *check.Judge
	Trace  func(at int64, text string)

	now     int64
	seq     uint64
	queue   events
	rnd     *rand.Rand
	procs   map[string]*proc
	names   []string
	byAddr  map[string]*proc
	net     network
	servers map[string]*server
	serverN []string
	srvAddr map[string]*server
	plat    platform
	oper    operators
	calls   callers
	cuts    map[string]int
	lost    int64
	back    int64
	nextID  uint64
	seeds   []string
	digest  uint64
	killed  map[string]bool
	bare    map[shardKey]int64
	calm    healing
	// day is set where the scenario plays a day on the users' platform.
	day *day
	// lonely counts the nodes that are cut off from the greater part of the fleet.
	lonely int
	// writes counts those of the disks, where the power is to go at one of them.
	writes int
}

// New makes a world of a scenario and a seed.
func New(s *script.Script, seed uint64) *World {
	shape, ok := fleet.Shapes[s.Text("shape", "small")]
	if !ok {
		shape = fleet.Shapes["small"]
	}
	shape.Nodes = int(s.Int("nodes", int64(shape.Nodes)))
	shape.Cores = int(s.Int("cores", int64(shape.Cores)))
	shape.PerShard = int(s.Int("per_shard", int64(shape.PerShard)))
	w := &World{
		Shape: shape, Script: s, Seed: seed, Judge: check.New(), rnd: rand.New(rand.NewPCG(seed, 0x73696d)),
		procs: map[string]*proc{}, byAddr: map[string]*proc{}, servers: map[string]*server{}, srvAddr: map[string]*server{},
		cuts: map[string]int{"c1": shape.Shards}, lost: -1, back: -1, killed: map[string]bool{}, bare: map[shardKey]int64{},
	}
	w.net.init(w)
	w.plat.init(w)
	w.oper.init(w)
	w.calls.init(w)
	if site := s.Text("site", ""); site != "" {
		w.day = newDay(w, site)
	}
	return w
}

func (w *World) after(d int64, f func()) { w.at(w.now+max(d, 0), f) }

func (w *World) at(t int64, f func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, f})
}

// note folds what happened into a digest, by which two runs are compared.
func (w *World) note(text string) {
	for i := range len(text) {
		w.digest = (w.digest ^ uint64(text[i])) * 0x100000001b3
	}
	w.digest = (w.digest ^ uint64(w.now)) * 0x100000001b3
	if w.Trace != nil {
		w.Trace(w.now, text)
	}
}

// Digest tells two runs apart.
func (w *World) Digest() uint64 { return w.digest }

// Run plays the whole scenario.
func (w *World) Run() {
	w.build()
	end := w.Script.Int("seconds", 30) * 1_000_000
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
		w.add("core", i, coreAddr(i))
	}
	for i := range s.Nodes {
		w.add("node", i, nodeAddr(i))
	}
	for i := range s.PerShard * s.Shards {
		w.addServer(s.Server(i, "c1", s.Shards, ""), s.Shards)
	}
	w.addOther()
	w.plat.publish()
	for _, name := range w.names {
		w.after(w.rnd.Int64N(200_000), func() { w.procs[name].start() })
	}
	for _, st := range w.Script.Steps {
		w.at(st.At, func() { w.do(st) })
	}
	w.oper.first()
	w.at(w.Script.Int("callers_from_us", 10_000_000), w.judgedLimits)
	w.calls.begin()
	w.after(100_000, w.sample)
}

// sample looks ten times a second at what every node has in force.
func (w *World) sample() {
	w.after(100_000, w.sample)
	w.reach()
	w.lookForBare()
	for _, name := range w.names {
		p := w.procs[name]
		if p.role != "node" || !p.runs() {
			continue
		}
		cp := p.table.Current()
		if cp == nil || cp.Version.Term == 0 {
			continue
		}
		since := w.reachableSince(p)
		mark := int64(0)
		if cp.Configuration != nil && len(cp.Configuration.Services) > 0 {
			mark = cp.Configuration.Services[0].RampUs
		}
		w.judgeBookings(p, cp.Config.ActiveBookings, since)
		w.Judge.InForce(name, cp.Config.ConfigVersion, mark, w.now, since)
	}
}

// reachableSince is from when a node has been up, awake and not cut off; -1 if it is not.
func (w *World) reachableSince(p *proc) int64 {
	if p.isolated || p.frozen {
		return -1
	}
	return max(p.upAt, p.reachedAt)
}

func (w *World) finish() {
	if w.day != nil {
		w.day.finish()
		return
	}
	w.Judge.Chain()
	w.Judge.Budgets()
	w.Judge.Ramps()
	w.Judge.LimitsHeld(w.calls.until)
	w.calls.finish()
	w.heals()
	if w.back >= 0 {
		w.Judge.Recovers(w.lost, w.back)
	}
	w.countBehind()
	for _, name := range w.names {
		p := w.procs[name]
		if p.kernel == nil {
			continue
		}
		if p.seats != nil && p.up {
			n := int64(0)
			for part := range state.Partitions {
				if p.seats.Leads(part) {
					n++
				}
			}
			w.Judge.Counts["owned_by_one"] = max(w.Judge.Counts["owned_by_one"], n)
			w.Judge.Count("owned", n)
		}
		p.kernel.Counts.Each(func(name string, n int64) { w.Judge.Count("sum."+name, n) })
	}
}

func (w *World) stampOf(p *proc) wire.Version {
	if cp := p.table.Current(); cp != nil {
		return cp.Version
	}
	return wire.Version{}
}
