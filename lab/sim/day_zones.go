// Troubles of whole zones, and backends that no machine reaches.

package sim

import "slices"

// zoneOf is the zone that an entry names, or one by lot.
func (d *day) zoneOf(e *entry) string {
	if e.zone != "" {
		return e.zone
	}
	return d.site.zones[d.w.rnd.IntN(len(d.site.zones))].name
}

// bearsZone tells that a zone may be lost beside what is lost already.
func (d *day) bearsZone(zone string) bool {
	in, lostElsewhere := 0, false
	for _, m := range d.machines {
		if m.counted() && m.zone == zone {
			in++
		} else if m.counted() {
			lostElsewhere = lostElsewhere || d.lost(m)
		}
	}
	if len(d.site.zones) < 2 || len(d.zoneCuts) > 0 {
		return false
	}
	return in == 0 || !lostElsewhere && (d.site.tolerance[1] > 0 || in <= d.site.tolerance[0])
}

// onZone does something to a zone once it may be lost.
func (d *day) onZone(e *entry, f func(zone string)) {
	zone := d.zoneOf(e)
	if !d.bearsZone(zone) {
		d.w.after(waitTurn, func() { d.onZone(e, f) })
		return
	}
	d.trouble(e.forUs)
	d.w.Judge.Count("troubled."+e.verb, 1)
	f(zone)
	d.look()
}

// zoneBackWithin is how far apart a zone's machines and backends come back.
const zoneBackWithin = 1_500_000

// loseZone takes the power from a zone's machines and backends.
func (d *day) loseZone(e *entry) {
	d.onZone(e, func(zone string) {
		for _, m := range d.machines {
			if m.zone == zone && !m.gone && !m.dark {
				m.powerOff()
				d.later(e, m, e.forUs+d.w.rnd.Int64N(zoneBackWithin), m.powerOn)
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
		d.w.after(forUs+d.w.rnd.Int64N(zoneBackWithin), func() {
			d.backends.start(l.shape, l.row.Pool, zone)
			d.backends.publish()
		})
	}
}

// cutZone cuts a zone off from the others; clients still reach it.
func (d *day) cutZone(e *entry) {
	d.onZone(e, func(zone string) {
		d.zoneCuts[zone] = true
		events := func() {
			for _, m := range d.machines {
				if m.counted() && m.zone == zone {
					m.event()
				}
			}
		}
		if e.is("reset") {
			d.w.net.breakCut()
		}
		events()
		first := slices.IndexFunc(d.machines, func(m *machine) bool { return m.counted() && m.zone == zone })
		end := func() { delete(d.zoneCuts, zone); events() }
		if first < 0 {
			d.w.after(e.forUs, func() { end(); d.look() })
			return
		}
		d.during(e, d.machines[first])
		d.later(e, d.machines[first], e.forUs, end)
	})
}

// cutServers cuts backends off from all machines.
func (d *day) cutServers(e *entry) {
	lives := d.victims(&entry{how: "across"}, e.shareOr(0.1))
	d.w.Judge.Count("troubled.node_cut", int64(len(lives)))
	for _, l := range lives {
		l.away = true
	}
	d.w.after(e.forUs, func() {
		for _, l := range lives {
			l.away = false
		}
	})
}

// shut tells that nothing gets from a machine to a backend.
func (d *day) shut(m *machine, l *life) bool { return l.away || d.apart(m.zone, l.row.Zone) }

// pass does something once the way between a machine and a backend is open; what waits too long is lost.
func (d *day) pass(m *machine, l *life, since int64, f func(held bool)) {
	switch {
	case !d.shut(m, l):
		f(d.w.now-since > cutRetryUs)
	case d.w.now-since < stalled:
		d.w.after(cutRetryUs, func() { d.pass(m, l, since, f) })
	}
}

// cutRetryUs is how often what a cut holds up tries again.
const cutRetryUs = 100_000
