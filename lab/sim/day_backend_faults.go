// Backend faults: crashes, slowness, partial failures, wrong health reports, dropped idle connections, and garbled
// and lost responses.

package sim

import (
	"slices"

	"wallport/runtime/clock"
)

// drawBackends draws the backends that a fault affects: step.count backends, or a share of the backends, of one
// service, or with "across" of all services. It leaves out at least one backend of each pool. With "all" it returns
// all backends of one pool, and with "all" and "across" all backends.
func (d *day) drawBackends(step *dayStep, share float64) []*incarnation {
	b := &d.backends
	service := step.service
	if service == "" {
		service = d.site.pools[0].name
		if d.sim.rng.IntN(3) == 0 {
			service = d.site.kinds[len(d.site.kinds)-1].pool
		}
	}
	if step.has("across") {
		service = "*"
	}
	all := b.of(service)
	if step.has("all") {
		if step.has("across") || len(all) == 0 {
			return all
		}
		if p := d.site.pool(service); p != nil && p.shards > 0 {
			// All backends of one shard.
			return b.of(all[d.sim.rng.IntN(len(all))].row.Pool)
		}
		return all
	}
	n := step.count
	if n == 0 {
		n = max(1, int(share*float64(len(all))+0.5))
	}
	d.sim.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []*incarnation
	perPool := map[string]int{}
	for _, inc := range all {
		if len(out) < n && (perPool[inc.row.Pool] == 0 || perPool[inc.row.Pool]+1 < len(b.of(inc.row.Pool))) && len(b.of(inc.row.Pool)) > 1 {
			perPool[inc.row.Pool]++
			out = append(out, inc)
		}
	}
	return out
}

// backendFault runs the step if it is a backend fault, and reports whether it was one.
func (d *day) backendFault(step *dayStep) bool {
	set := func(share float64, on, off func(inc *incarnation)) {
		targets := d.drawBackends(step, step.shareOr(share))
		d.sim.Checker.Count("troubled."+step.verb, int64(len(targets)))
		d.recordUnplanned(step.forUs)
		for _, inc := range targets {
			on(inc)
		}
		d.sim.after(step.forUs, func() {
			for _, inc := range targets {
				off(inc)
			}
		})
	}
	switch step.verb {
	case "srv_crash":
		set(0.15, func(inc *incarnation) { inc.crash(step.has("dark")) }, func(inc *incarnation) {
			if !step.has("gone") {
				d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
				d.backends.publish()
			}
		})
	case "srv_slow":
		set(0.15, func(inc *incarnation) { inc.slowdown = int64(step.factorOr(4) * 1000) }, func(inc *incarnation) { inc.slowdown = 0 })
	case "srv_grey":
		set(0.15, func(inc *incarnation) { inc.partialFailure = partialFailureOf(step) }, func(inc *incarnation) { inc.partialFailure = partialFailure{} })
	case "srv_lying_health":
		set(0.15, func(inc *incarnation) {
			inc.partialFailure, inc.reportsUnhealthy = misreportedHealthOf(step), step.has("bad")
		}, func(inc *incarnation) { inc.partialFailure, inc.reportsUnhealthy = partialFailure{}, false })
	case "idle_race":
		set(0.5, func(inc *incarnation) { inc.connTimeout = int64(step.factorOr(300) * 1000) }, func(inc *incarnation) { inc.connTimeout = 0 })
	case "garble":
		set(0.5, func(inc *incarnation) {
			if step.has("extra") {
				inc.surplusShare = step.factorOr(0.02)
			} else {
				inc.garbledShare = step.factorOr(0.02)
			}
		}, func(inc *incarnation) { inc.surplusShare, inc.garbledShare = 0, 0 })
	case "answer_lost":
		set(0.5, func(inc *incarnation) { inc.lostShare = step.factorOr(0.03) }, func(inc *incarnation) { inc.lostShare = 0 })
	case "replace_with_reuse":
		d.reuse(step)
	case "cold_return":
		d.recordUnplanned(step.forUs)
		d.sim.Checker.Count("troubled.cold_return", 1)
		d.downZone(d.drawZone(step), step.forUs, step.has("dark"))
	case "srv_flap":
		d.recordUnplanned(step.forUs)
		d.flap(step, d.drawBackends(step, step.shareOr(0.15)), d.sim.now+step.forUs)
	default:
		return false
	}
	return true
}

// flap crashes and restarts backends alternately until the given time; each phase lasts step.gapUs.
func (d *day) flap(step *dayStep, targets []*incarnation, until clock.Micros) {
	if d.sim.now >= until {
		return
	}
	for i, inc := range targets {
		inc.crash(false)
		d.sim.after(step.gapUs, func() {
			targets[i] = d.backends.start(inc.shape, inc.row.Pool, inc.row.Zone)
			d.backends.publish()
		})
	}
	d.sim.after(2*step.gapUs, func() { d.flap(step, slices.Clone(targets), until) })
}
