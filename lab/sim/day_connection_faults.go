// Faults of connections and of the speed of single machines: connection resets, refused dials, restarts during a
// partition, slow processes, and settings that are reread.

package sim

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

const (
	// slowStepUs is the time that a slowed process takes for an input, per unit of the slowdown factor.
	slowStepUs = 60
	// maxBusyWait, times the number of machines, bounds how long a rolling restart with "busy" waits in total for
	// machines to have a request in flight.
	maxBusyWait = 2 * clock.Second
)

// slow makes the machine's processes take the given time for each input; 0 restores the normal speed.
func (m *machine) slow(us clock.Micros) {
	m.recordEvent()
	for _, p := range m.processes() {
		p.inputDelay = us
	}
	m.day.updateFaultSpans()
}

// resetConns resets a share of the connections of random machines, which may include a core member.
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

// resetConns resets a share of a node's connections to clients and backends, including idle ones.
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

// restartAroundPartition restarts machines while machine m is partitioned. With "seeds", m becomes the first seed and
// up to three machines that are not core members restart. With "both", m and then the other core members restart.
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

// setRefused sets whether dials over the given links, while these are partitioned, are refused or time out.
func (d *day) setRefused(links []string, on bool) {
	for _, mode := range links {
		d.refusedLinks[mode] = on
	}
}

// rereadSettings makes a share of the machines reread their settings, as a SIGHUP does.
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
