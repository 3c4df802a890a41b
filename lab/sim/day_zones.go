// Faults of whole zones, and backends that no machine reaches.

package sim

import (
	"slices"

	"wallport/runtime/clock"
)

// drawZone returns the zone that a step names, or a random one.
func (d *day) drawZone(step *dayStep) string {
	if step.zone != "" {
		return step.zone
	}
	return d.site.zones[d.sim.rng.IntN(len(d.site.zones))].name
}

// toleratesZoneLoss reports whether the deployment tolerates the loss of a zone in addition to the losses so far.
func (d *day) toleratesZoneLoss(zone string) bool {
	membersInZone, lostElsewhere := 0, false
	for _, m := range d.machines {
		if m.coreMember() && m.zone == zone {
			membersInZone++
		} else if m.coreMember() {
			lostElsewhere = lostElsewhere || d.faulty(m)
		}
	}
	if len(d.site.zones) < 2 || len(d.zonePartitions) > 0 {
		return false
	}
	return membersInZone == 0 || !lostElsewhere && (d.site.tolerance[1] > 0 || membersInZone <= d.site.tolerance[0])
}

// onZone applies f to a zone once the deployment tolerates its loss.
func (d *day) onZone(step *dayStep, f func(zone string)) {
	zone := d.drawZone(step)
	if !d.toleratesZoneLoss(zone) {
		d.sim.after(faultRetryUs, func() { d.onZone(step, f) })
		return
	}
	d.recordUnplanned(step.forUs)
	d.sim.Checker.Count("troubled."+step.verb, 1)
	f(zone)
	d.updateFaultSpans()
}

// zoneRestoreWindow is the time over which the machines and backends of a lost zone return.
const zoneRestoreWindow = 1500 * clock.Millisecond

// powerOffZone cuts the power of a zone's machines and backends.
func (d *day) powerOffZone(step *dayStep) {
	d.onZone(step, func(zone string) {
		for _, m := range d.machines {
			if m.zone == zone && !m.removed && !m.poweredOff {
				m.powerOff()
				d.endFaultAfter(step, m, step.forUs+d.sim.rng.Int64N(zoneRestoreWindow), m.powerOn)
			}
		}
		d.downZone(zone, step.forUs, true)
	})
}

// downZone crashes a zone's backends. After forUs they are replaced within zoneRestoreWindow; the replacements are
// cold.
func (d *day) downZone(zone string, forUs clock.Micros, silent bool) {
	for _, inc := range d.backends.of("*") {
		if inc.row.Zone != zone {
			continue
		}
		inc.crash(silent)
		d.sim.after(forUs+d.sim.rng.Int64N(zoneRestoreWindow), func() {
			d.backends.start(inc.shape, inc.row.Pool, zone)
			d.backends.publish()
		})
	}
}

// partitionZone partitions a zone from the other zones; clients still reach it.
func (d *day) partitionZone(step *dayStep) {
	d.onZone(step, func(zone string) {
		d.zonePartitions[zone] = true
		events := func() {
			for _, m := range d.machines {
				if m.coreMember() && m.zone == zone {
					m.recordEvent()
				}
			}
		}
		if step.has("reset") {
			d.sim.net.closePartitioned()
		}
		events()
		first := slices.IndexFunc(d.machines, func(m *machine) bool { return m.coreMember() && m.zone == zone })
		end := func() { delete(d.zonePartitions, zone); events() }
		if first < 0 {
			d.sim.after(step.forUs, func() { end(); d.updateFaultSpans() })
			return
		}
		d.sendDuringPartition(step, d.machines[first])
		d.endFaultAfter(step, d.machines[first], step.forUs, end)
	})
}

// partitionBackends partitions random backends from all machines for step.forUs.
func (d *day) partitionBackends(step *dayStep) {
	targets := d.drawBackends(&dayStep{how: "across"}, step.shareOr(0.1))
	d.sim.Checker.Count("troubled.node_cut", int64(len(targets)))
	for _, inc := range targets {
		inc.unreachable = true
	}
	d.sim.after(step.forUs, func() {
		for _, inc := range targets {
			inc.unreachable = false
		}
	})
}

// unreachable reports whether a machine and a backend are partitioned from each other.
func (d *day) unreachable(m *machine, inc *incarnation) bool {
	return inc.unreachable || d.zonesPartitioned(m.zone, inc.row.Zone)
}

// whenReachable calls f once the machine reaches the backend, with held set if that took longer than
// partitionRetryUs. After stallTimeout the data is lost and f is not called.
func (d *day) whenReachable(m *machine, inc *incarnation, since clock.Micros, f func(held bool)) {
	switch {
	case !d.unreachable(m, inc):
		f(d.sim.now-since > partitionRetryUs)
	case d.sim.now-since < stallTimeout:
		d.sim.after(partitionRetryUs, func() { d.whenReachable(m, inc, since, f) })
	}
}

// partitionRetryUs is the interval at which the delivery of data that a partition delays is tried again.
const partitionRetryUs = 100 * clock.Millisecond
