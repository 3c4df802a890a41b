// Measurements of how the control plane scales with the number of nodes: the mesh traffic of an idle fleet, the
// frames that one configuration change causes, and the time until the change is in force everywhere.

package sim

import (
	"fmt"

	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// ScalingMeasurement holds the measurements of one fleet size. RestPerNode and BytesPerNode are mesh frames and bytes
// per second and process of an idle fleet, and ChangeFrames the gossip frames per change. MedianUs and WorstUs are the
// median and the longest time until a change is in force on all nodes. HealUs is the time from the end of a network
// partition until all nodes have the newest configuration in force.
type ScalingMeasurement struct {
	Nodes        int
	RestPerNode  float64
	BytesPerNode float64
	ChangeFrames float64
	MedianUs     clock.Micros
	WorstUs      clock.Micros
	HealUs       clock.Micros
}

// MeasureScaling measures a fleet with the given number of nodes.
func MeasureScaling(nodes int, seed uint64) (ScalingMeasurement, error) {
	text := fmt.Sprintf("set shape trust\nset nodes %d\nset seconds 110\nset rate 0\n", nodes)
	s, err := script.Parse("scale", text)
	if err != nil {
		return ScalingMeasurement{}, err
	}
	sim := New(s, seed)
	r := ScalingMeasurement{Nodes: nodes}
	procs := float64(nodes + sim.Shape.Cores)
	var frames, bytes int64
	var took []int64
	sim.at(20*clock.Second, func() { frames, bytes = sim.net.frames, sim.net.bytes })
	sim.at(30*clock.Second, func() {
		r.RestPerNode = float64(sim.net.frames-frames) / procs / 10
		r.BytesPerNode = float64(sim.net.bytes-bytes) / procs / 10
	})
	const changes = 10
	for i := range changes {
		sim.at(30*clock.Second+int64(i)*2*clock.Second, func() { sim.timeChange(&took) })
	}
	var entries int64
	sim.at(30*clock.Second, func() { entries = sim.net.partitionFrames })
	sim.at(30*clock.Second+changes*2*clock.Second, func() { r.ChangeFrames = float64(sim.net.partitionFrames-entries) / changes })
	// Half of the nodes are partitioned from the rest for 20 s. A change is sent during the partition, and then the
	// partition heals.
	half := sim.everySecondNode()
	sim.at(52*clock.Second, func() { sim.net.setBlocked(half, sim.names, true, true); sim.net.setBlocked(half, half, true, false) })
	sim.at(53*clock.Second, func() { sim.operators.put(sim.processes["core-0"].peerNode(), sim.operators.current(), "put", 0, nil) })
	sim.at(72*clock.Second, func() {
		sim.net.setBlocked(half, sim.names, true, false)
		sim.awaitAgreement(sim.now, func(us clock.Micros) { r.HealUs = us })
	})
	sim.Run()
	if len(took) < changes/2 {
		return r, fmt.Errorf("only %d of %d configuration changes came into force on all nodes", len(took), changes)
	}
	for i := range took {
		for j := i; j > 0 && took[j] < took[j-1]; j-- {
			took[j], took[j-1] = took[j-1], took[j]
		}
	}
	r.MedianUs, r.WorstUs = took[len(took)/2], took[len(took)-1]
	return r, nil
}

// everySecondNode returns the names of the nodes with odd numbers.
func (sim *Simulation) everySecondNode() []string {
	var out []string
	for i := 1; i < sim.Shape.Nodes; i += 2 {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return out
}

// peerNode returns a node that is on the same side of the partition as the cores.
func (p *process) peerNode() *process { return p.sim.processes["node-0"] }

// timeChange sends one change and, if it is accepted, appends to took the time from sending it until every node has
// it in force.
func (sim *Simulation) timeChange(took *[]clock.Micros) {
	began := sim.now
	sim.operators.put(sim.processes["node-0"], sim.operators.current(), "put", 0, func(code wire.Code) {
		if code == wire.CodeOK {
			sim.awaitAgreement(began, func(us clock.Micros) { *took = append(*took, us) })
		}
	})
}

// awaitAgreement calls done with the time since began once all nodes have the newest configuration in force.
func (sim *Simulation) awaitAgreement(began clock.Micros, done func(us int64)) {
	var newest wire.Version
	all := true
	for _, name := range sim.names {
		if p := sim.processes[name]; p.role == roleNode && p.snapshots.Current() != nil {
			if at := p.snapshots.Current().Config.ConfigVersion; at.Term > newest.Term || at.Term == newest.Term && at.Seq > newest.Seq {
				newest = at
			}
		}
	}
	for _, name := range sim.names {
		if p := sim.processes[name]; p.role == roleNode {
			all = all && p.snapshots.Current() != nil && p.snapshots.Current().Config.ConfigVersion == newest
		}
	}
	if all {
		done(sim.now - began)
		return
	}
	sim.after(2*clock.Millisecond, func() { sim.awaitAgreement(began, done) })
}

func (n *network) count(l *link, data []byte) {
	if !l.mesh {
		return
	}
	n.frames++
	n.bytes += int64(len(data))
	if f, err := wire.Open(data); err == nil && f.Kind == wire.KindGossip {
		var e wire.Entry
		if wire.Decode(f.Body, &e) == nil && e.Type == "part" && e.Version.Partition == 0 {
			n.partitionFrames++
		}
	}
}
