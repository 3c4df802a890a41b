// Troubles of whole zones, and backends that no machine reaches.

package sim

import "slices"

// drawZone is the zone that an entry names, or one by lot.
func (d *day) drawZone(e *dayStep) string {
	if e.zone != "" {
		return e.zone
	}
	return d.site.zones[d.world.rng.IntN(len(d.site.zones))].name
}

// toleratesZoneLoss tells that a zone may be lost beside what is lost already.
func (d *day) toleratesZoneLoss(zone string) bool {
	in, lostElsewhere := 0, false
	for _, m := range d.machines {
		if m.coreMember() && m.zone == zone {
			in++
		} else if m.coreMember() {
			lostElsewhere = lostElsewhere || d.faulty(m)
		}
	}
	if len(d.site.zones) < 2 || len(d.zonePartitions) > 0 {
		return false
	}
	return in == 0 || !lostElsewhere && (d.site.tolerance[1] > 0 || in <= d.site.tolerance[0])
}

// onZone does something to a zone once it may be lost.
func (d *day) onZone(e *dayStep, f func(zone string)) {
	zone := d.drawZone(e)
	if !d.toleratesZoneLoss(zone) {
		d.world.after(faultRetryUs, func() { d.onZone(e, f) })
		return
	}
	d.recordUnplanned(e.forUs)
	d.world.Checker.Count("troubled."+e.verb, 1)
	f(zone)
	d.updateFaultSpans()
}

// zoneBackWithin is how far apart a zone's machines and backends come back.
const zoneBackWithin = 1_500_000

// loseZone takes the power from a zone's machines and backends.
func (d *day) loseZone(e *dayStep) {
	d.onZone(e, func(zone string) {
		for _, m := range d.machines {
			if m.zone == zone && !m.removed && !m.poweredOff {
				m.powerOff()
				d.endFaultAfter(e, m, e.forUs+d.world.rng.Int64N(zoneBackWithin), m.powerOn)
			}
		}
		d.downZone(zone, e.forUs, true)
	})
}

// downZone ends a zone's backends; they come back together, cold.
func (d *day) downZone(zone string, forUs int64, dark bool) {
	for _, l := range d.backends.of("*") {
		if l.row.Zone != zone {
			continue
		}
		l.crash(dark)
		d.world.after(forUs+d.world.rng.Int64N(zoneBackWithin), func() {
			d.backends.start(l.shape, l.row.Pool, zone)
			d.backends.publish()
		})
	}
}

// partitionZone cuts a zone off from the others; clients still reach it.
func (d *day) partitionZone(e *dayStep) {
	d.onZone(e, func(zone string) {
		d.zonePartitions[zone] = true
		events := func() {
			for _, m := range d.machines {
				if m.coreMember() && m.zone == zone {
					m.recordEvent()
				}
			}
		}
		if e.has("reset") {
			d.world.net.closePartitioned()
		}
		events()
		first := slices.IndexFunc(d.machines, func(m *machine) bool { return m.coreMember() && m.zone == zone })
		end := func() { delete(d.zonePartitions, zone); events() }
		if first < 0 {
			d.world.after(e.forUs, func() { end(); d.updateFaultSpans() })
			return
		}
		d.meetDuring(e, d.machines[first])
		d.endFaultAfter(e, d.machines[first], e.forUs, end)
	})
}

// partitionBackends cuts backends off from all machines.
func (d *day) partitionBackends(e *dayStep) {
	lives := d.drawBackends(&dayStep{how: "across"}, e.shareOr(0.1))
	d.world.Checker.Count("troubled.node_cut", int64(len(lives)))
	for _, l := range lives {
		l.unreachable = true
	}
	d.world.after(e.forUs, func() {
		for _, l := range lives {
			l.unreachable = false
		}
	})
}

// unreachable tells that nothing gets from a machine to a backend.
func (d *day) unreachable(m *machine, l *incarnation) bool {
	return l.unreachable || d.zonesPartitioned(m.zone, l.row.Zone)
}

// whenReachable does something once the way between a machine and a backend is open; what waits too long is lost.
func (d *day) whenReachable(m *machine, l *incarnation, since int64, f func(held bool)) {
	switch {
	case !d.unreachable(m, l):
		f(d.world.now-since > partitionRetryUs)
	case d.world.now-since < stallTimeout:
		d.world.after(partitionRetryUs, func() { d.whenReachable(m, l, since, f) })
	}
}

// partitionRetryUs is how often what a cut holds up tries again.
const partitionRetryUs = 100_000
