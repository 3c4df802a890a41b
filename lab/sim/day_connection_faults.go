// Faults of connections and of single machines' speed: resets, refused dials, partitions with restarts, slow
// processes, settings that are read again.

package sim

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

const (
	// slowStepUs is the time that an input takes in a slowed process, per unit of slowness.
	slowStepUs = 60
	// maxBusyWait bounds how long a machine that is to be stopped waits until it has a request in flight.
	maxBusyWait = 2 * clock.Second
)

// slow makes each input of the machine's processes take the given time; 0 restores the usual speed.
func (m *machine) slow(us clock.Micros) {
	m.recordEvent()
	for _, p := range m.processes() {
		p.inputDelay = us
	}
	m.day.updateFaultSpans()
}

// resetConns resets a share of the connections of some machines.
func (d *day) resetConns(step *dayStep) {
	d.recordUnplanned(0)
	targets := d.drawOthers(step, d.machineCount(step, 0.1))
	if m := d.drawCoreMember(step); m != nil && (step.on == "core" || d.sim.rng.IntN(2) == 0) {
		targets = append(targets, m)
	}
	for _, m := range targets {
		d.sim.Checker.Count("troubled.reset_conns", 1)
		m.recordEvent()
		d.sim.net.reset(m, step.factorOr(0.5))
		if g := d.gateways[m.node]; g != nil {
			g.resetConns(step.factorOr(0.5))
		}
		d.sendAfterReturn(step, m)
	}
}

// resetConns closes a share of a node's connections with clients and backends.
func (g *gateway) resetConns(share float64) {
	rnd := g.day.sim.rng
	for _, x := range slices.Clone(g.exchanges) {
		if x.sent && rnd.Float64() < share {
			x.failed("reset")
		}
	}
	for _, request := range slices.Clone(g.requests) {
		if !request.ended && rnd.Float64() < share {
			g.day.sim.Checker.Count("clients_reset", 1)
			request.disconnect()
		}
	}
	for _, inc := range g.day.backends.all {
		for _, c := range g.idleConns[inc.row.ID] {
			c.reset = c.reset || rnd.Float64() < share
		}
	}
}

// restartAroundPartition restarts machines, or changes the seeds, around a partitioned machine.
func (d *day) restartAroundPartition(step *dayStep, m *machine) {
	restart := func(o *machine, delay int64) {
		d.sim.after(delay, func() {
			if o.poweredOff || o.removed || o.draining {
				return
			}
			o.kill()
			d.sim.after(restartUs, o.start)
		})
	}
	switch {
	case step.has("seeds"):
		d.rotateSeedsTo(m)
		for i, o := range d.drawOthers(step, 3) {
			restart(o, int64(i+1)*step.forUs/8)
		}
	case step.has("both"):
		restart(m, step.forUs/4)
		delay := step.forUs / 2
		d.eachCoreMember(func(o *machine) {
			if o != m {
				restart(o, delay)
				delay += restartUs
			}
		})
	}
}

// setRefused makes dials over the given partitioned links fail at once instead of timing out.
func (d *day) setRefused(links []string, on bool) {
	for _, mode := range links {
		d.refusedLinks[mode] = on
	}
}

// rereadSettings makes machines read their settings again.
func (d *day) rereadSettings(step *dayStep) {
	all := slices.Clone(d.machines)
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := max(1, int(step.shareOr(0.3)*float64(len(all))+0.5))
	for _, m := range all[:min(n, len(all))] {
		d.sim.after(d.sim.rng.Int64N(step.gapUs+1), func() {
			for _, p := range m.processes() {
				if p.running() {
					d.sim.Checker.Count("troubled.hup", 1)
					d.recordPlanned(d.journal.Bounds.ApplyUs)
					p.step(kernel.SeedsChanged{Seeds: slices.Clone(p.settings.Seeds)})
				}
			}
		})
	}
}
