// The view is a snapshot as charts read it: each pool's backends with what
// this node learnt of them, and each route's plan. It is made once for each
// snapshot and then only read.

package dispatch

import (
	"sync"

	"wallport/control/routing"
	"wallport/request/snapshot"
)

// seat is a backend in a pool.
type seat struct {
	server *snapshot.Server
	b      *backend
	near   bool
}

// pool is a pool with those of its backends that may be asked.
type pool struct {
	*snapshot.Pool
	name   string
	seats  []seat
	budget *budget
}

// plan is a route with its pools; what a pool takes for this route is learnt in its stats.
type plan struct {
	route *routing.Route
	pools []*pool
	stats []*stats
}

type view struct {
	cp    *snapshot.Snapshot
	pools map[string]*pool
	plans sync.Map // *routing.Route -> *plan
}

// now is the view of the newest snapshot, nil while nothing can be served.
func (d *Desk) now() *view {
	cp := d.cfg.Table()
	if !cp.Ready() || cp.Routing == nil {
		return nil
	}
	if v := d.view.Load(); v != nil && v.cp == cp {
		return v
	}
	d.building.Lock()
	defer d.building.Unlock()
	if v := d.view.Load(); v != nil && (v.cp == cp || v.cp.At > cp.At) {
		return v
	}
	v := d.build(cp)
	d.view.Store(v)
	return v
}

func (d *Desk) build(cp *snapshot.Snapshot) *view {
	v := &view{cp: cp, pools: make(map[string]*pool, len(cp.Pools))}
	there := 0
	for name, p := range cp.Pools {
		q := &pool{Pool: p, name: name, seats: make([]seat, 0, len(p.Servers)), budget: d.budgetOf(name)}
		for _, s := range p.Servers {
			b := d.backendOf(s.ID)
			b.listed(cp, p, s, d.cfg.Now)
			there++
			if s.Health != snapshot.Draining && s.Health != snapshot.ZoneDrained {
				q.seats = append(q.seats, seat{server: s, b: b, near: s.Zone == cp.Zone})
			}
		}
		v.pools[name] = q
	}
	if d.builds++; d.builds%64 == 0 {
		d.forget(cp, there)
	}
	return v
}

// plan is the plan of a route of this view.
func (d *Desk) plan(v *view, r *routing.Route) *plan {
	if p, ok := v.plans.Load(r); ok {
		return p.(*plan)
	}
	p := &plan{route: r}
	add := func(name string) {
		q := v.pools[name]
		if q == nil {
			q = &pool{Pool: &snapshot.Pool{}, name: name, budget: d.budgetOf(name)}
		}
		p.pools = append(p.pools, q)
		p.stats = append(p.stats, d.statsOf(name, r))
	}
	switch {
	case r.Gathered():
		for _, name := range r.FanoutPools {
			add(name)
		}
	case len(r.PoolWeights) > 0:
		for _, w := range r.PoolWeights {
			add(w.Pool)
		}
	default:
		add(r.Pool)
	}
	v.plans.Store(r, p)
	return p
}

// serves reports whether a route may still send to a pool.
func serves(r *routing.Route, name string) bool {
	if r == nil {
		return false
	}
	for _, f := range r.FanoutPools {
		if f == name {
			return true
		}
	}
	for _, w := range r.PoolWeights {
		if w.Pool == name && w.Weight > 0 {
			return true
		}
	}
	return !r.Gathered() && len(r.PoolWeights) == 0 && r.Pool == name
}
