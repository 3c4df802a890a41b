// Measurements of how the control plane scales: the mesh's traffic at rest, what one configuration change costs,
// and how long it takes to be in force everywhere, for fleets of different sizes.

package sim

import (
	"fmt"

	"wallport/lab/script"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Scaled is the measurement of one fleet size.
type Scaled struct {
	Nodes        int
	RestPerNode  float64
	BytesPerNode float64
	ChangeFrames float64
	MedianUs     clock.Micros
	WorstUs      clock.Micros
	HealUs       clock.Micros
}

// Scale measures a fleet of so many nodes.
func Scale(nodes int, seed uint64) (Scaled, error) {
	text := fmt.Sprintf("set shape trust\nset nodes %d\nset seconds 110\nset rate 0\n", nodes)
	s, err := script.Parse("scale", text)
	if err != nil {
		return Scaled{}, err
	}
	w := New(s, seed)
	r := Scaled{Nodes: nodes}
	procs := float64(nodes + w.Shape.Cores)
	var frames, bytes int64
	var took []int64
	w.at(20*clock.Second, func() { frames, bytes = w.net.frames, w.net.bytes })
	w.at(30*clock.Second, func() {
		r.RestPerNode = float64(w.net.frames-frames) / procs / 10
		r.BytesPerNode = float64(w.net.bytes-bytes) / procs / 10
	})
	const changes = 10
	for i := range changes {
		w.at(30*clock.Second+int64(i)*2*clock.Second, func() { w.timeChange(&took) })
	}
	var entries int64
	w.at(30*clock.Second, func() { entries = w.net.partitionFrames })
	w.at(30*clock.Second+changes*2*clock.Second, func() { r.ChangeFrames = float64(w.net.partitionFrames-entries) / changes })
	// Half of the fleet is partitioned for 20 s, changes go on, and the cut heals.
	half := w.halves()
	w.at(52*clock.Second, func() { w.net.setBlocked(half, w.names, true, true); w.net.setBlocked(half, half, true, false) })
	w.at(53*clock.Second, func() { w.operators.put(w.processes["core-0"].peerNode(), w.operators.current(), "put", 0, nil) })
	w.at(72*clock.Second, func() {
		w.net.setBlocked(half, w.names, true, false)
		w.awaitAgreement(w.now, func(us clock.Micros) { r.HealUs = us })
	})
	w.Run()
	if len(took) < changes/2 {
		return r, fmt.Errorf("only %d of %d changes were in force", len(took), changes)
	}
	for i := range took {
		for j := i; j > 0 && took[j] < took[j-1]; j-- {
			took[j], took[j-1] = took[j-1], took[j]
		}
	}
	r.MedianUs, r.WorstUs = took[len(took)/2], took[len(took)-1]
	return r, nil
}

// halves returns every second node.
func (w *World) halves() []string {
	var out []string
	for i := 1; i < w.Shape.Nodes; i += 2 {
		out = append(out, fmt.Sprintf("node-%d", i))
	}
	return out
}

// peerNode returns a node on the same side of the partition as the cores.
func (p *process) peerNode() *process { return p.world.processes["node-0"] }

// timeChange sends one change and records how long it takes until every node has it in force.
func (w *World) timeChange(took *[]clock.Micros) {
	began := w.now
	w.operators.put(w.processes["node-0"], w.operators.current(), "put", 0, func(code wire.Code) {
		if code == wire.CodeOK {
			w.awaitAgreement(began, func(us clock.Micros) { *took = append(*took, us) })
		}
	})
}

// awaitAgreement waits until all nodes agree on the newest configuration.
func (w *World) awaitAgreement(began clock.Micros, done func(us int64)) {
	var newest wire.Version
	all := true
	for _, name := range w.names {
		if p := w.processes[name]; p.role == roleNode && p.snapshots.Current() != nil {
			if at := p.snapshots.Current().Config.ConfigVersion; at.Term > newest.Term || at.Term == newest.Term && at.Seq > newest.Seq {
				newest = at
			}
		}
	}
	for _, name := range w.names {
		if p := w.processes[name]; p.role == roleNode {
			all = all && p.snapshots.Current() != nil && p.snapshots.Current().Config.ConfigVersion == newest
		}
	}
	if all {
		done(w.now - began)
		return
	}
	w.after(2*clock.Millisecond, func() { w.awaitAgreement(began, done) })
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
