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
	w := New(s, g.Seed)
	r := Grown{Growth: g, LostUs: -1, MetUs: -1, ReadyUs: -1}
	w.measurePhase(&r, "start", 0, 20*clock.Second)
	w.measurePhase(&r, "rest", 20*clock.Second, 30*clock.Second)
	w.recordDelay(0, func() bool { return len(w.platform.ready()) == g.Nodes }, &r.ReadyUs)
	if !g.Brief {
		w.measurePhase(&r, "changes", 30*clock.Second, 40*clock.Second)
		for i := range int64(5) {
			w.at(30*clock.Second+i*2*clock.Second, func() { w.timeChange(&r.InForceUs) })
		}
		last := fmt.Sprintf("node-%d", g.Nodes-1)
		w.measurePhase(&r, "loss", 42*clock.Second, 52*clock.Second)
		w.at(42*clock.Second, func() {
			w.applyProcessVerb("kill", w.processes[last])
			w.recordDelay(w.now, func() bool { return w.nodesSeeingLive(last) == 0 }, &r.LostUs)
		})
		w.measurePhase(&r, "join", 60*clock.Second, 75*clock.Second)
		w.at(60*clock.Second, func() {
			w.applyProcessVerb("restart", w.processes[last])
			w.recordDelay(w.now, func() bool { return w.nodesSeeingLive(last) == g.Nodes-1 }, &r.MetUs)
		})
	}
	w.Run()
	if len(r.Phases) < 2 || r.ReadyUs < 0 {
		return r, fmt.Errorf("%d of %d nodes were ready", len(w.platform.ready()), g.Nodes)
	}
	return r, nil
}

// recordDelay stores in us how long after from the condition became true.
func (w *World) recordDelay(from clock.Micros, ok func() bool, us *clock.Micros) {
	if ok() {
		*us = w.now - from
		return
	}
	w.after(20*clock.Millisecond, func() { w.recordDelay(from, ok, us) })
}

// nodesSeeingLive counts the other nodes that take a node for live.
func (w *World) nodesSeeingLive(name string) (n int) {
	for _, p := range w.processes {
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
func (w *World) measurePhase(r *Grown, name string, from, to clock.Micros) {
	var was map[string]Traffic
	var peakIn, peakOut map[string]int64
	var cpu float64
	w.at(from, func() {
		cpu = cpuSeconds()
		was, peakIn, peakOut = w.traffic(), map[string]int64{}, map[string]int64{}
		w.measurePeakSeconds(to, was, peakIn, peakOut)
	})
	w.at(to, func() {
		now := w.traffic()
		span := float64(to-from) / 1e6
		p := Phase{Name: name, From: from, To: to, CPU: (cpuSeconds() - cpu) / span / float64(len(w.processes))}
		p.Node = w.rates(roleNode, was, now, span, peakIn, peakOut)
		p.Core = w.rates(roleCore, was, now, span, peakIn, peakOut)
		r.Phases = append(r.Phases, p)
	})
}

// measurePeakSeconds records the busiest second of each process.
func (w *World) measurePeakSeconds(to clock.Micros, was map[string]Traffic, in, out map[string]int64) {
	if w.now+clock.Second > to {
		return
	}
	w.after(clock.Second, func() {
		now := w.traffic()
		for name, t := range now {
			in[name] = max(in[name], sum(t.In).Bytes-sum(was[name].In).Bytes)
			out[name] = max(out[name], sum(t.Out).Bytes-sum(was[name].Out).Bytes)
		}
		w.measurePeakSeconds(to, now, in, out)
	})
}

func (w *World) traffic() map[string]Traffic {
	out := make(map[string]Traffic, len(w.processes))
	for name, p := range w.processes {
		out[name] = p.traffic
	}
	return out
}

func (w *World) rates(role string, was, now map[string]Traffic, span float64, peakIn, peakOut map[string]int64) (r Rates) {
	for _, name := range w.names {
		p := w.processes[name]
		if p.role != role || !p.up {
			continue
		}
		r.Processes++
		a, b := was[name], now[name]
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
	for _, l := range w.net.links {
		if !l.mesh {
			continue
		}
		for _, s := range l.ends {
			if s.process.role == role && s.process.up && s.process.incarnation == s.incarnation {
				r.Channels += 0.5
			}
		}
	}
	for _, l := range w.net.direct {
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
