// Planned and unplanned work on backends that changes how many there are, and
// what clients press beyond the usual.

package sim

// scaled brings about releases, more and fewer backends, and more load.
func (d *day) scaled(e *entry) bool {
	switch e.verb {
	case "release":
		d.release(e)
	case "scale_out":
		for i, l := range d.some(e, 0.3) {
			d.w.after(int64(i)*e.gapUs/8, func() {
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
		c.eager, c.eagerTries = int(100*e.shareOr(0.5)), int(e.xOr(2))
		d.w.after(e.forUs, func() { c.eager, c.eagerTries = was, eagerTries })
	default:
		return false
	}
	return true
}

// some draws a share of all backends, of no pool so many that none is left.
func (d *day) some(e *entry, share float64) []*life {
	how := "across"
	if e.service != "" {
		how = ""
	}
	lives := d.victims(&entry{service: e.service, how: how, count: e.count}, e.shareOr(share))
	d.w.Judge.Count("troubled."+e.verb, int64(len(lives)))
	return lives
}

// release replaces backends a few at a time: the new one starts first, then the old one drains.
func (d *day) release(e *entry) {
	at := max(1, int(e.xOr(1)))
	for i, l := range d.some(e, 0.5) {
		d.w.after(int64(i/at)*e.gapUs, func() {
			d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
			d.w.after(warmUpUs, l.leave)
		})
	}
}

// spotBack is how long after a spot backend's end another one comes.
const spotBack = 4_000_000

// scaleIn lets backends leave; spot ones are gone a moment after the notice.
func (d *day) scaleIn(e *entry) {
	if e.is("spot") {
		d.trouble(int64(e.xOr(2) * 1e6))
	}
	for _, l := range d.some(e, 0.15) {
		l.leave()
		if !e.is("spot") {
			continue
		}
		d.w.after(int64(e.xOr(2)*1e6), func() { l.crash(false) })
		d.w.after(int64(e.xOr(2)*1e6)+spotBack, func() {
			d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
		})
	}
}

// reuse ends backends for good; their addresses go to another service, and others take their work.
func (d *day) reuse(e *entry) {
	d.trouble(e.forUs)
	b := &d.backends
	for _, l := range d.some(e, 0.15) {
		d.backends.start(l.shape, l.row.Pool, l.row.Zone)
		in := reuseUs
		if e.is("drain") {
			l.leave()
			in += listLagUs + int(d.journal.Bounds.DrainUs) + 400_000
		} else {
			l.crash(e.is("dark"))
		}
		d.w.after(int64(in)+1000, func() { d.reuseAt(l) })
	}
	b.publish()
}

// reuseAt starts a backend of another service at the address of one that has ended.
func (d *day) reuseAt(was *life) {
	b := &d.backends
	for _, name := range d.singles() {
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
