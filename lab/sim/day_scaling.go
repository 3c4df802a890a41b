// Changes of the number of backends, planned and unplanned, and of the clients' load.

package sim

import "wallport/runtime/clock"

// scaled runs the step if it is a release, a change of the number of backends or of the load, and reports
// whether it is.
func (d *day) scaled(step *dayStep) bool {
	switch step.verb {
	case "release":
		d.release(step)
	case "scale_out":
		for i, inc := range d.some(step, 0.3) {
			d.world.after(int64(i)*step.gapUs/8, func() {
				d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
				d.backends.publish()
			})
		}
	case "scale_in":
		d.scaleIn(step)
	case "burst":
		d.clients.burst(step)
	case "retry_abuse":
		c, was := &d.clients, d.clients.eager
		c.eager, c.eagerRetries = int(100*step.shareOr(0.5)), int(step.factorOr(2))
		d.world.after(step.forUs, func() { c.eager, c.eagerRetries = was, defaultEagerRetries })
	default:
		return false
	}
	return true
}

// some draws a share of all backends, but never all of a pool.
func (d *day) some(step *dayStep, share float64) []*incarnation {
	how := "across"
	if step.service != "" {
		how = ""
	}
	lives := d.drawBackends(&dayStep{service: step.service, how: how, count: step.count}, step.shareOr(share))
	d.world.Checker.Count("troubled."+step.verb, int64(len(lives)))
	return lives
}

// release replaces backends a few at a time: the new one starts first, then the old one drains.
func (d *day) release(step *dayStep) {
	at := max(1, int(step.factorOr(1)))
	for i, inc := range d.some(step, 0.5) {
		d.world.after(int64(i/at)*step.gapUs, func() {
			d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
			d.backends.publish()
			d.world.after(warmUpUs, inc.drain)
		})
	}
}

// spotBack is how long after a spot backend's end its replacement starts.
const spotBack = 4 * clock.Second

// scaleIn drains backends; spot ones end a moment after the notice.
func (d *day) scaleIn(step *dayStep) {
	if step.has("spot") {
		d.recordUnplanned(int64(step.factorOr(2) * 1e6))
	}
	for _, inc := range d.some(step, 0.15) {
		inc.drain()
		if !step.has("spot") {
			continue
		}
		d.world.after(int64(step.factorOr(2)*1e6), func() { inc.crash(false) })
		d.world.after(int64(step.factorOr(2)*1e6)+spotBack, func() {
			d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
			d.backends.publish()
		})
	}
}

// reuse ends backends for good; their addresses go to another service, and others take over their work.
func (d *day) reuse(step *dayStep) {
	d.recordUnplanned(step.forUs)
	b := &d.backends
	for _, inc := range d.some(step, 0.15) {
		d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
		in := reuseUs
		if step.has("drain") {
			inc.drain()
			in += listLagUs + d.journal.Bounds.DrainUs + 400*clock.Millisecond
		} else {
			inc.crash(step.has("dark"))
		}
		d.world.after(in+clock.Millisecond, func() { d.reuseAt(inc) })
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
