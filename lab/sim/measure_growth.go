// Measurements, in simulated time, of the traffic and work of each process of a fleet: frames and bytes by kind,
// steps and fetches. They cover start-up, the idle fleet, configuration changes, and the loss and the join of a
// node. The counts depend only on the options, so that two builds can be compared.

package sim

import (
	"fmt"

	"wallport/cluster/mesh"
	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// FleetOptions holds the options of a measurement.
type FleetOptions struct {
	Nodes, Cores, Servers int
	Seed                  uint64
	// Brief limits the measurement to the start-up and the idle fleet.
	Brief bool
}

// Rates holds what a process of a role does per second of a phase, averaged over the processes of the role. MostIn
// is the highest average number of bytes per second that one process received. PeakSecondIn and PeakSecondOut are
// the most bytes that one process received and sent in one second.
type Rates struct {
	Processes                   int
	FramesIn, FramesOut         float64
	BytesIn, BytesOut, MostIn   float64
	Steps, Fetches              float64
	KindIn, KindOut             [Kinds]struct{ Frames, Bytes float64 }
	Peers, Channels, Origins    float64
	PeakSecondIn, PeakSecondOut float64
}

// Phase holds the measurements of one time span of the run.
type Phase struct {
	Name       string
	From, To   clock.Micros
	Node, Core Rates
	// CPU is the processor time that the simulator spent on the phase, in processor cores per simulated process.
	// Unlike the counts it depends on the machine and differs between runs.
	CPU float64
}

// FleetMeasurement is the result of a measurement; times are in simulated microseconds.
type FleetMeasurement struct {
	FleetOptions
	Phases []Phase
	// InForceUs holds, for each change that was acknowledged, the time from sending it until every node has it in
	// force.
	InForceUs []clock.Micros
	// LostUs is the time from the end of a node until no other node considers it live. MetUs is the time from the
	// start of the node until every other node considers it live. Both are -1 if that did not happen.
	LostUs, MetUs clock.Micros
	// ReadyUs is the time from the start of the run until every node is ready, -1 if that did not happen.
	ReadyUs clock.Micros
}

// MeasureFleet measures a fleet without client requests.
func MeasureFleet(g FleetOptions) (FleetMeasurement, error) {
	end := int64(76 * clock.Second)
	if g.Brief {
		end = 30 * clock.Second
	}
	s, err := script.Parse("growth", fmt.Sprintf("set shape trust\nset nodes %d\nset cores %d\nset per_shard %d\nset seconds %d\nset rate 0\n",
		g.Nodes, g.Cores, max(1, g.Servers/4), end/clock.Second))
	if err != nil {
		return FleetMeasurement{}, err
	}
	sim := New(s, g.Seed)
	r := FleetMeasurement{FleetOptions: g, LostUs: -1, MetUs: -1, ReadyUs: -1}
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
		return r, fmt.Errorf("only %d of %d nodes were ready at the end of the run", len(sim.platform.ready()), g.Nodes)
	}
	return r, nil
}

// recordDelay stores in us the time from the given moment until the condition is true, to within 20 ms.
func (sim *Simulation) recordDelay(from clock.Micros, ok func() bool, us *clock.Micros) {
	if ok() {
		*us = sim.now - from
		return
	}
	sim.after(20*clock.Millisecond, func() { sim.recordDelay(from, ok, us) })
}

// nodesSeeingLive returns the number of other running nodes that consider a node live.
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

// measurePhase adds the measurements of a time span to r.
func (sim *Simulation) measurePhase(r *FleetMeasurement, name string, from, to clock.Micros) {
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

// measurePeakSeconds records, for each process, the most bytes received and sent in one second.
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
	// Two processes may have two direct connections, of which one is used; only that one is in direct. A mesh
	// connection is listed in links under both of its ends, so each listing counts half.
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
