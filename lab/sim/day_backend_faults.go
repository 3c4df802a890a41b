// Troubles of backends: crashes, slowness, spoilt and lost answers, failures.

package sim

import "slices"

// drawBackends draws the backends that a trouble meets: a share of one service's, of all services' (across), or
// all of one pool (all). One at least stays well in each pool unless all are meant.
func (d *day) drawBackends(e *dayStep, share float64) []*incarnation {
	b := &d.backends
	service := e.service
	if service == "" {
		service = d.site.pools[0].name
		if d.world.rng.IntN(3) == 0 {
			service = d.site.kinds[len(d.site.kinds)-1].pool
		}
	}
	if e.has("across") {
		service = "*"
	}
	all := b.of(service)
	if e.has("all") {
		if e.has("across") || len(all) == 0 {
			return all
		}
		if p := d.site.pool(service); p != nil && p.shards > 0 {
			// All of one shard.
			return b.of(all[d.world.rng.IntN(len(all))].row.Pool)
		}
		return all
	}
	n := e.count
	if n == 0 {
		n = max(1, int(share*float64(len(all))+0.5))
	}
	d.world.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []*incarnation
	hit := map[string]int{}
	for _, l := range all {
		if len(out) < n && (hit[l.row.Pool] == 0 || hit[l.row.Pool]+1 < len(b.of(l.row.Pool))) && len(b.of(l.row.Pool)) > 1 {
			hit[l.row.Pool]++
			out = append(out, l)
		}
	}
	return out
}

// backendFault brings a trouble of backends about.
func (d *day) backendFault(e *dayStep) bool {
	set := func(share float64, on, off func(l *incarnation)) {
		lives := d.drawBackends(e, e.shareOr(share))
		d.world.Checker.Count("troubled."+e.verb, int64(len(lives)))
		d.recordUnplanned(e.forUs)
		for _, l := range lives {
			on(l)
		}
		d.world.after(e.forUs, func() {
			for _, l := range lives {
				off(l)
			}
		})
	}
	switch e.verb {
	case "srv_crash":
		set(0.15, func(l *incarnation) { l.crash(e.has("dark")) }, func(l *incarnation) {
			if !e.has("gone") {
				d.backends.start(l.shape, l.row.Pool, l.row.Zone)
				d.backends.publish()
			}
		})
	case "srv_slow":
		set(0.15, func(l *incarnation) { l.slowdown = int64(e.factorOr(4) * 1000) }, func(l *incarnation) { l.slowdown = 0 })
	case "srv_grey":
		set(0.15, func(l *incarnation) { l.grey = greyOf(e) }, func(l *incarnation) { l.grey = grey{} })
	case "srv_lying_health":
		set(0.15, func(l *incarnation) { l.grey, l.reportsUnhealthy = lying(e), e.has("bad") }, func(l *incarnation) { l.grey, l.reportsUnhealthy = grey{}, false })
	case "idle_race":
		set(0.5, func(l *incarnation) { l.connTimeout = int64(e.factorOr(300) * 1000) }, func(l *incarnation) { l.connTimeout = 0 })
	case "garble":
		set(0.5, func(l *incarnation) {
			if e.has("extra") {
				l.surplusShare = e.factorOr(0.02)
			} else {
				l.garbledShare = e.factorOr(0.02)
			}
		}, func(l *incarnation) { l.surplusShare, l.garbledShare = 0, 0 })
	case "answer_lost":
		set(0.5, func(l *incarnation) { l.lostShare = e.factorOr(0.03) }, func(l *incarnation) { l.lostShare = 0 })
	case "replace_with_reuse":
		d.reuse(e)
	case "cold_return":
		d.recordUnplanned(e.forUs)
		d.world.Checker.Count("troubled.cold_return", 1)
		d.downZone(d.drawZone(e), e.forUs, e.has("dark"))
	case "srv_flap":
		d.recordUnplanned(e.forUs)
		d.flap(e, d.drawBackends(e, e.shareOr(0.15)), d.world.now+e.forUs)
	default:
		return false
	}
	return true
}

// flap lets backends go down and come up by turns.
func (d *day) flap(e *dayStep, lives []*incarnation, until int64) {
	if d.world.now >= until {
		return
	}
	for i, l := range lives {
		l.crash(false)
		d.world.after(e.gapUs, func() {
			lives[i] = d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
		})
	}
	d.world.after(2*e.gapUs, func() { d.flap(e, slices.Clone(lives), until) })
}
