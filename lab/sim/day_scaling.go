// Releases, planned and unplanned changes of the number of backends, and changes of the clients' load.

package sim

import "wallport/runtime/clock"

// scalingStep runs the step if it is a release or a change of the number of backends or of the load, and reports
// whether it was one.
func (d *day) scalingStep(step *dayStep) bool {
	switch step.verb {
	case "release":
		d.release(step)
	case "scale_out":
		for i, inc := range d.drawShare(step, 0.3) {
			d.sim.after(int64(i)*step.gapUs/8, func() {
				d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
				d.backends.publish()
			})
		}
	case "scale_in":
		d.scaleIn(step)
	case "burst":
		d.clients.burst(step)
	case "retry_abuse":
		c, previous := &d.clients, d.clients.eager
		c.eager, c.eagerRetries = int(100*step.shareOr(0.5)), int(step.factorOr(2))
		d.sim.after(step.forUs, func() { c.eager, c.eagerRetries = previous, defaultEagerRetries })
	default:
		return false
	}
	return true
}

// drawShare draws a share of the backends of a service or of all services, but never all backends of a pool.
func (d *day) drawShare(step *dayStep, share float64) []*incarnation {
	how := "across"
	if step.service != "" {
		how = ""
	}
	targets := d.drawBackends(&dayStep{service: step.service, how: how, count: step.count}, step.shareOr(share))
	d.sim.Checker.Count("troubled."+step.verb, int64(len(targets)))
	return targets
}

// release replaces backends in batches. A new backend starts, and once it is warm the old one drains.
func (d *day) release(step *dayStep) {
	batch := max(1, int(step.factorOr(1)))
	for i, inc := range d.drawShare(step, 0.5) {
		d.sim.after(int64(i/batch)*step.gapUs, func() {
			d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
			d.backends.publish()
			d.sim.after(warmUpUs, inc.drain)
		})
	}
}

// spotReplaceDelay is the time after the end of a spot backend at which its replacement starts.
const spotReplaceDelay = 4 * clock.Second

// scaleIn drains backends. With "spot" it ends them a given time after the drain began, even if they still have requests
// in flight, and starts replacements spotReplaceDelay later.
func (d *day) scaleIn(step *dayStep) {
	if step.has("spot") {
		d.recordUnplanned(int64(step.factorOr(2) * 1e6))
	}
	for _, inc := range d.drawShare(step, 0.15) {
		inc.drain()
		if !step.has("spot") {
			continue
		}
		d.sim.after(int64(step.factorOr(2)*1e6), func() { inc.crash(false) })
		d.sim.after(int64(step.factorOr(2)*1e6)+spotReplaceDelay, func() {
			d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
			d.backends.publish()
		})
	}
}

// reuse ends backends for good and starts replacements at other addresses. Once the old addresses may be reused,
// backends of another service start there.
func (d *day) reuse(step *dayStep) {
	d.recordUnplanned(step.forUs)
	b := &d.backends
	for _, inc := range d.drawShare(step, 0.15) {
		d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
		delay := addressReuseUs
		if step.has("drain") {
			inc.drain()
			delay += listLagUs + d.journal.Bounds.DrainUs + 400*clock.Millisecond
		} else {
			inc.crash(step.has("dark"))
		}
		d.sim.after(delay+clock.Millisecond, func() { d.reuseAt(inc) })
	}
	b.publish()
}

// reuseAt starts a backend of another service at a free address in the zone of a backend that has ended.
func (d *day) reuseAt(previous *incarnation) {
	b := &d.backends
	for _, name := range d.unshardedPools() {
		if name == previous.row.Pool {
			continue
		}
		b.preferReuse = true
		b.start(d.site.pool(name), name, previous.row.Zone)
		b.preferReuse = false
		b.publish()
		return
	}
}
