// Measurements of what each process of a fleet sends, receives and does, on simulated time: frames and bytes by
// kind, steps and fetches, at rest, at start-up, at configuration changes, and when a node is lost or joins.
// Counts are a function of the options alone, so that two builds can be compared.

package sim

import (
	"fmt"

	"wallport/cluster/mesh"
	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// Growth holds the options of a simulation.
type Growth struct {
	Nodes, Cores, Servers int
	Seed                  uint64
	// Brief leaves out all but the start and the rest.
	Brief bool
}

// Rates is what a process of a role does in a second of a phase, averaged over its processes; MostIn is the
// highest number of bytes received by one process.
type Rates struct {
	Processes                   int
	FramesIn, FramesOut         float64
	BytesIn, BytesOut, MostIn   float64
	Steps, Fetches              float64
	KindIn, KindOut             [Kinds]struct{ Frames, Bytes float64 }
	Peers, Channels, Origins    float64
	PeakSecondIn, PeakSecondOut float64
}

// Phase is one stretch of the run.
type Phase struct {
	Name       string
	From, To   clock.Micros
	Node, Core Rates
	// CPU is the processor time that this program spent on the phase, in cores for each
	// process: a measurement of this machine, not a count that repeats.
	CPU float64
}

// Grown is a run's result; times are in simulated microseconds.
type Grown struct {
	Growth
	Phases []Phase
	// InForceUs is, for each change, from its acknowledgement by the owner of the
	// configuration until every node has it in force.
	InForceUs []clock.Micros
	// LostUs is from a node's end until no other node takes it for live; MetUs from a
	// node's start until every other takes it for live.
	LostUs, MetUs clock.Micros
	// ReadyUs is from the first start until every node may serve.
	ReadyUs clock.Micros
}

// Grow simulates a fleet without requests.
func Grow(g Growth) (Grown, error) {
	end := int64(76 * clock.Second)
	if g.Brief {
		end = 30 * clock.Second
	}
	s, err := script.Parse("growth", fmt.Sprintf("set shape trust\nset nodes %d\nset cores %d\nset per_shard %d\nset seconds %d\nset rate 0\n",
		g.Nodes, g.Cores, max(1, g.Servers/4), end/clock.Second))
	if err != nil {
		return Grown{}, err
	}
	sim := New(s, g.Seed)
	r := Grown{Growth: g, LostUs: -1, MetUs: -1, ReadyUs: -1}
	sim.measurePhase(&r, "start", 0, 20*clock.Second)
	sim.measurePhase(&r, "rest", 20*clock.Second, 30*clock.Second)
	sim.recordDelay(0, func() bool { return len(sim.platform.ready()) == g.Nodes }, &r.ReadyUs)
	if !g.Brief {
		sim.measurePhase(&r, "changes", 30*clock.Second, 40*clock.Second)
		for i := range int64(5) {
			sim.at(30*clock.Second+i*2*clock.Second, func() { sim.timeChange(&r.InForceUs) })
		}
		last := fmt.Sprintf("node-%d", g.Nodes-1)
		sim.measurePhase(&r, "loss", 42*clock.Second, 52*clock.Second)
		sim.at(42*clock.Second, func() {
			sim.applyProcessVerb("kill", sim.processes[last])
			sim.recordDelay(sim.now, func() bool { return sim.nodesSeeingLive(last) == 0 }, &r.LostUs)
		})
		sim.measurePhase(&r, "join", 60*clock.Second, 75*clock.Second)
		sim.at(60*clock.Second, func() {
			sim.applyProcessVerb("restart", sim.processes[last])
			sim.recordDelay(sim.now, func() bool { return sim.nodesSeeingLive(last) == g.Nodes-1 }, &r.MetUs)
		})
	}
	sim.Run()
	if len(r.Phases) < 2 || r.ReadyUs < 0 {
		return r, fmt.Errorf("%d of %d nodes were ready", len(sim.platform.ready()), g.Nodes)
	}
	return r, nil
}

// recordDelay stores in us how long after from the condition became true.
func (sim *Simulation) recordDelay(from clock.Micros, ok func() bool, us *clock.Micros) {
	if ok() {
		*us = sim.now - from
		return
	}
	sim.after(20*clock.Millisecond, func() { sim.recordDelay(from, ok, us) })
}

// nodesSeeingLive counts the other nodes that take a node for live.
func (sim *Simulation) nodesSeeingLive(name string) (n int) {
	for _, p := range sim.processes {
		if p.role != roleNode || !p.running() || p.name == name || p.snapshots.Current() == nil {
			continue
		}
		for _, m := range p.snapshots.Current().Roster {
			if m.Name == name && m.Live {
				n++
			}
		}
	}
	return n
}

// measurePhase measures from one moment to another.
func (sim *Simulation) measurePhase(r *Grown, name string, from, to clock.Micros) {
	var previous map[string]Traffic
	var peakIn, peakOut map[string]int64
	var cpu float64
	sim.at(from, func() {
		cpu = cpuSeconds()
		previous, peakIn, peakOut = sim.traffic(), map[string]int64{}, map[string]int64{}
		sim.measurePeakSeconds(to, previous, peakIn, peakOut)
	})
	sim.at(to, func() {
		now := sim.traffic()
		span := float64(to-from) / 1e6
		p := Phase{Name: name, From: from, To: to, CPU: (cpuSeconds() - cpu) / span / float64(len(sim.processes))}
		p.Node = sim.rates(roleNode, previous, now, span, peakIn, peakOut)
		p.Core = sim.rates(roleCore, previous, now, span, peakIn, peakOut)
		r.Phases = append(r.Phases, p)
	})
}

// measurePeakSeconds records the busiest second of each process.
func (sim *Simulation) measurePeakSeconds(to clock.Micros, previous map[string]Traffic, in, out map[string]int64) {
	if sim.now+clock.Second > to {
		return
	}
	sim.after(clock.Second, func() {
		now := sim.traffic()
		for name, t := range now {
			in[name] = max(in[name], sum(t.In).Bytes-sum(previous[name].In).Bytes)
			out[name] = max(out[name], sum(t.Out).Bytes-sum(previous[name].Out).Bytes)
		}
		sim.measurePeakSeconds(to, now, in, out)
	})
}

func (sim *Simulation) traffic() map[string]Traffic {
	out := make(map[string]Traffic, len(sim.processes))
	for name, p := range sim.processes {
		out[name] = p.traffic
	}
	return out
}

func (sim *Simulation) rates(role string, previous, now map[string]Traffic, span float64, peakIn, peakOut map[string]int64) (r Rates) {
	for _, name := range sim.names {
		p := sim.processes[name]
		if p.role != role || !p.up {
			continue
		}
		r.Processes++
		a, b := previous[name], now[name]
		in, out := sum(b.In).Bytes-sum(a.In).Bytes, sum(b.Out).Bytes-sum(a.Out).Bytes
		r.BytesIn += float64(in) / span
		r.BytesOut += float64(out) / span
		r.MostIn = max(r.MostIn, float64(in)/span)
		r.FramesIn += float64(sum(b.In).Frames-sum(a.In).Frames) / span
		r.FramesOut += float64(sum(b.Out).Frames-sum(a.Out).Frames) / span
		r.Steps += float64(b.Steps-a.Steps) / span
		r.Fetches += float64(b.Fetches-a.Fetches) / span
		r.PeakSecondIn = max(r.PeakSecondIn, float64(peakIn[name]))
		r.PeakSecondOut = max(r.PeakSecondOut, float64(peakOut[name]))
		for k := range Kinds {
			r.KindIn[k].Frames += float64(b.In[k].Frames-a.In[k].Frames) / span
			r.KindIn[k].Bytes += float64(b.In[k].Bytes-a.In[k].Bytes) / span
			r.KindOut[k].Frames += float64(b.Out[k].Frames-a.Out[k].Frames) / span
			r.KindOut[k].Bytes += float64(b.Out[k].Bytes-a.Out[k].Bytes) / span
		}
		r.Peers += float64(kernel.Find[*mesh.Mesh](p.kernel).Peers())
		r.Origins += float64(p.kernel.Counts.Of("mesh_origins").Load())
	}
	// The network may have opened a direct connection twice, of which one is used.
	for _, l := range sim.net.links {
		if !l.mesh {
			continue
		}
		for _, s := range l.ends {
			if s.process.role == role && s.process.up && s.process.incarnation == s.incarnation {
				r.Channels += 0.5
			}
		}
	}
	for _, l := range sim.net.direct {
		for _, s := range l.ends {
			if !l.closed && s.process.role == role && s.process.up && s.process.incarnation == s.incarnation {
				r.Channels++
			}
		}
	}
	n := float64(max(1, r.Processes))
	for _, v := range []*float64{&r.FramesIn, &r.FramesOut, &r.BytesIn, &r.BytesOut, &r.Steps, &r.Fetches, &r.Peers, &r.Origins, &r.Channels} {
		*v /= n
	}
	for k := range Kinds {
		for _, v := range []*float64{&r.KindIn[k].Frames, &r.KindIn[k].Bytes, &r.KindOut[k].Frames, &r.KindOut[k].Bytes} {
			*v /= n
		}
	}
	return r
}
