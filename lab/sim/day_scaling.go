// Planned and unplanned work on backends that changes how many there are, and
// what clients press beyond the usual.

package sim

// scaled brings about releases, more and fewer backends, and more load.
func (d *day) scaled(e *dayStep) bool {
	switch e.verb {
	case "release":
		d.release(e)
	case "scale_out":
		for i, l := range d.some(e, 0.3) {
			d.world.after(int64(i)*e.gapUs/8, func() {
				d.backends.start(l.shape, l.row.Pool, l.row.Zone)
				d.backends.publish()
			})
		}
	case "scale_in":
		d.scaleIn(e)
	case "burst":
		d.clients.burst(e)
	case "retry_abuse":
		c, was := &d.clients, d.clients.eager
		c.eager, c.eagerRetries = int(100*e.shareOr(0.5)), int(e.factorOr(2))
		d.world.after(e.forUs, func() { c.eager, c.eagerRetries = was, defaultEagerRetries })
	default:
		return false
	}
	return true
}

// some draws a share of all backends, of no pool so many that none is left.
func (d *day) some(e *dayStep, share float64) []*incarnation {
	how := "across"
	if e.service != "" {
		how = ""
	}
	lives := d.drawBackends(&dayStep{service: e.service, how: how, count: e.count}, e.shareOr(share))
	d.world.Checker.Count("troubled."+e.verb, int64(len(lives)))
	return lives
}

// release replaces backends a few at a time: the new one starts first, then the old one drains.
func (d *day) release(e *dayStep) {
	at := max(1, int(e.factorOr(1)))
	for i, l := range d.some(e, 0.5) {
		d.world.after(int64(i/at)*e.gapUs, func() {
			d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
			d.world.after(warmUpUs, l.drain)
		})
	}
}

// spotBack is how long after a spot backend's end another one comes.
const spotBack = 4_000_000

// scaleIn lets backends leave; spot ones are gone a moment after the notice.
func (d *day) scaleIn(e *dayStep) {
	if e.has("spot") {
		d.recordUnplanned(int64(e.factorOr(2) * 1e6))
	}
	for _, l := range d.some(e, 0.15) {
		l.drain()
		if !e.has("spot") {
			continue
		}
		d.world.after(int64(e.factorOr(2)*1e6), func() { l.crash(false) })
		d.world.after(int64(e.factorOr(2)*1e6)+spotBack, func() {
			d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
		})
	}
}

// reuse ends backends for good; their addresses go to another service, and others take their work.
func (d *day) reuse(e *dayStep) {
	d.recordUnplanned(e.forUs)
	b := &d.backends
	for _, l := range d.some(e, 0.15) {
		d.backends.start(l.shape, l.row.Pool, l.row.Zone)
		in := reuseUs
		if e.has("drain") {
			l.drain()
			in += listLagUs + int(d.journal.Bounds.DrainUs) + 400_000
		} else {
			l.crash(e.has("dark"))
		}
		d.world.after(int64(in)+1000, func() { d.reuseAt(l) })
	}
	b.publish()
}

// reuseAt starts a backend of another service at the address of one that has ended.
func (d *day) reuseAt(was *incarnation) {
	b := &d.backends
	for _, name := range d.unshardedPools() {
		if name == was.row.Pool {
			continue
		}
		b.reuses = true
		b.start(d.site.pool(name), name, was.row.Zone)
		b.reuses = false
		b.publish()
		return
	}
}
