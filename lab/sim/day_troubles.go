// Troubles of backends: crashes, slowness, spoilt and lost answers, failures.

package sim

import "slices"

// victims draws the backends that a trouble meets: a share of one service's, of all services' (across), or
// all of one pool (all). One at least stays well in each pool unless all are meant.
func (d *day) victims(e *entry, share float64) []*life {
	b := &d.backends
	service := e.service
	if service == "" {
		service = d.site.pools[0].name
		if d.w.rnd.IntN(3) == 0 {
			service = d.site.kinds[len(d.site.kinds)-1].pool
		}
	}
	if e.is("across") {
		service = "*"
	}
	all := b.of(service)
	if e.is("all") {
		if e.is("across") || len(all) == 0 {
			return all
		}
		if p := d.site.pool(service); p != nil && p.shards > 0 {
			// All of one shard.
			return b.of(all[d.w.rnd.IntN(len(all))].row.Pool)
		}
		return all
	}
	n := e.count
	if n == 0 {
		n = max(1, int(share*float64(len(all))+0.5))
	}
	d.w.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []*life
	hit := map[string]int{}
	for _, l := range all {
		if len(out) < n && (hit[l.row.Pool] == 0 || hit[l.row.Pool]+1 < len(b.of(l.row.Pool))) && len(b.of(l.row.Pool)) > 1 {
			hit[l.row.Pool]++
			out = append(out, l)
		}
	}
	return out
}

// serverTrouble brings a trouble of backends about.
func (d *day) serverTrouble(e *entry) bool {
	set := func(share float64, on, off func(l *life)) {
		lives := d.victims(e, e.shareOr(share))
		d.w.Judge.Count("troubled."+e.verb, int64(len(lives)))
		d.trouble(e.forUs)
		for _, l := range lives {
			on(l)
		}
		d.w.after(e.forUs, func() {
			for _, l := range lives {
				off(l)
			}
		})
	}
	switch e.verb {
	case "srv_crash":
		set(0.15, func(l *life) { l.crash(e.is("dark")) }, func(l *life) {
			if !e.is("gone") {
				d.backends.start(l.shape, l.row.Pool, l.row.Zone)
				d.backends.publish()
			}
		})
	case "srv_slow":
		set(0.15, func(l *life) { l.slow = int64(e.xOr(4) * 1000) }, func(l *life) { l.slow = 0 })
	case "srv_grey":
		set(0.15, func(l *life) { l.grey = greyOf(e) }, func(l *life) { l.grey = grey{} })
	case "srv_lying_health":
		set(0.15, func(l *life) { l.grey, l.looksIll = lying(e), e.is("bad") }, func(l *life) { l.grey, l.looksIll = grey{}, false })
	case "idle_race":
		set(0.5, func(l *life) { l.forgetsUs = int64(e.xOr(300) * 1000) }, func(l *life) { l.forgetsUs = 0 })
	case "garble":
		set(0.5, func(l *life) {
			if e.is("extra") {
				l.surplus = e.xOr(0.02)
			} else {
				l.broken = e.xOr(0.02)
			}
		}, func(l *life) { l.surplus, l.broken = 0, 0 })
	case "answer_lost":
		set(0.5, func(l *life) { l.lost = e.xOr(0.03) }, func(l *life) { l.lost = 0 })
	case "replace_with_reuse":
		d.reuse(e)
	case "cold_return":
		d.trouble(e.forUs)
		d.w.Judge.Count("troubled.cold_return", 1)
		d.downZone(d.zoneOf(e), e.forUs, e.is("dark"))
	case "srv_flap":
		d.trouble(e.forUs)
		d.flap(e, d.victims(e, e.shareOr(0.15)), d.w.now+e.forUs)
	default:
		return false
	}
	return true
}

// flap lets backends go down and come up by turns.
func (d *day) flap(e *entry, lives []*life, until int64) {
	if d.w.now >= until {
		return
	}
	for i, l := range lives {
		l.crash(false)
		d.w.after(e.gapUs, func() {
			lives[i] = d.backends.start(l.shape, l.row.Pool, l.row.Zone)
			d.backends.publish()
		})
	}
	d.w.after(2*e.gapUs, func() { d.flap(e, slices.Clone(lives), until) })
}
