// Troubles of connections and of single machines' pace: resets, refusals, cuts
// with restarts, slow processes, settings that are read again.

package sim

import (
	"slices"

	"wallport/runtime/kernel"
)

const (
	// slowStepUs is what an input takes of a process that is slowed down, for each time that it is slower.
	slowStepUs = 60
	// busyWithin bounds how long a machine that is to be stopped waits for a request.
	busyWithin = 2_000_000
)

// slow makes each input take a while; 0 is the usual pace.
func (m *machine) slow(us int64) {
	m.event()
	for _, p := range m.procs() {
		p.slowUs = us
	}
	m.d.look()
}

// resetConns resets a share of the connections of some machines.
func (d *day) resetConns(e *entry) {
	d.trouble(0)
	hit := d.others(e, d.number(e, 0.1))
	if m := d.draw(e); m != nil && (e.on == "core" || d.w.rnd.IntN(2) == 0) {
		hit = append(hit, m)
	}
	for _, m := range hit {
		d.w.Judge.Count("troubled.reset_conns", 1)
		m.event()
		d.w.net.reset(m, e.xOr(0.5))
		if g := d.gates[m.node]; g != nil {
			g.reset(e.xOr(0.5))
		}
		d.returned(e, m)
	}
}

// reset ends a share of a node's connections with clients and backends.
func (g *gate) reset(share float64) {
	rnd := g.d.w.rnd
	for _, x := range slices.Clone(g.open) {
		if x.sent && rnd.Float64() < share {
			x.broke("reset")
		}
	}
	for _, r := range slices.Clone(g.runs) {
		if !r.over && rnd.Float64() < share {
			g.d.w.Judge.Count("clients_reset", 1)
			r.cut()
		}
	}
	for _, l := range g.d.backends.all {
		for _, c := range g.kept[l.row.ID] {
			c.reset = c.reset || rnd.Float64() < share
		}
	}
}

// cutWays restarts machines, or names seeds, around a machine that is cut off.
func (d *day) cutWays(e *entry, m *machine) {
	again := func(o *machine, in int64) {
		d.w.after(in, func() {
			if o.dark || o.gone || o.stops {
				return
			}
			o.kill()
			d.w.after(restartUs, o.start)
		})
	}
	switch {
	case e.is("seeds"):
		d.turnSeedsTo(m)
		for i, o := range d.others(e, 3) {
			again(o, int64(i+1)*e.forUs/8)
		}
	case e.is("both"):
		again(m, e.forUs/4)
		in := e.forUs / 2
		d.eachCounted(func(o *machine) {
			if o != m {
				again(o, in)
				in += restartUs
			}
		})
	}
}

// refuse lets connections over a cut be refused at once.
func (d *day) refuse(ways []string, on bool) {
	for _, way := range ways {
		d.refused[way] = on
	}
}

// hup lets machines read their settings again.
func (d *day) hup(e *entry) {
	all := slices.Clone(d.machines)
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := max(1, int(e.shareOr(0.3)*float64(len(all))+0.5))
	for _, m := range all[:min(n, len(all))] {
		d.w.after(d.w.rnd.Int64N(e.gapUs+1), func() {
			for _, p := range m.procs() {
				if p.runs() {
					d.w.Judge.Count("troubled.hup", 1)
					d.planFor(d.journal.Bounds.ApplyUs)
					p.step(kernel.SeedsChanged{Seeds: slices.Clone(p.env.Seeds)})
				}
			}
		})
	}
}
