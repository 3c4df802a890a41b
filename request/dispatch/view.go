// The view is a snapshot as charts read it: each pool's backends with what
// this node learnt of them, and each route's plan. It is made once for each
// snapshot and then only read.

package dispatch

import (
	"sync"

	"wallport/control/routing"
	"wallport/request/snapshot"
)

// endpoint is a backend in a pool.
type endpoint struct {
	server   *snapshot.Backend
	backend  *backend
	sameZone bool
}

// pool is a pool with those of its backends that may be asked.
type pool struct {
	*snapshot.Pool
	name        string
	endpoints   []endpoint
	retryBudget *retryBudget
}

// routePlan is a route with its pools; what a pool takes for this route is learnt in its stats.
type routePlan struct {
	route   *routing.Route
	pools   []*pool
	latency []*latencyStats
}

type view struct {
	snapshot *snapshot.Snapshot
	pools    map[string]*pool
	plans    sync.Map // *routing.Route -> *plan
}

// currentView is the view of the newest snapshot, nil while nothing can be served.
func (d *Dispatcher) currentView() *view {
	snap := d.cfg.Snapshot()
	if !snap.Ready() || snap.Routing == nil {
		return nil
	}
	if v := d.current.Load(); v != nil && v.snapshot == snap {
		return v
	}
	d.building.Lock()
	defer d.building.Unlock()
	if v := d.current.Load(); v != nil && (v.snapshot == snap || v.snapshot.At > snap.At) {
		return v
	}
	v := d.buildView(snap)
	d.current.Store(v)
	return v
}

func (d *Dispatcher) buildView(snap *snapshot.Snapshot) *view {
	v := &view{snapshot: snap, pools: make(map[string]*pool, len(snap.Pools))}
	there := 0
	for name, p := range snap.Pools {
		q := &pool{Pool: p, name: name, endpoints: make([]endpoint, 0, len(p.Backends)), retryBudget: d.retryBudgetOf(name)}
		for _, s := range p.Backends {
			b := d.backendOf(s.ID)
			b.updateListing(snap, p, s, d.cfg.StartedAt)
			there++
			if s.Health != snapshot.Draining && s.Health != snapshot.ZoneDrained {
				q.endpoints = append(q.endpoints, endpoint{server: s, backend: b, sameZone: s.Zone == snap.Zone})
			}
		}
		v.pools[name] = q
	}
	if d.builds++; d.builds%64 == 0 {
		d.forgetBackends(snap, there)
	}
	return v
}

// planFor is the plan of a route of this view.
func (d *Dispatcher) planFor(v *view, r *routing.Route) *routePlan {
	if p, ok := v.plans.Load(r); ok {
		return p.(*routePlan)
	}
	p := &routePlan{route: r}
	add := func(name string) {
		q := v.pools[name]
		if q == nil {
			q = &pool{Pool: &snapshot.Pool{}, name: name, retryBudget: d.retryBudgetOf(name)}
		}
		p.pools = append(p.pools, q)
		p.latency = append(p.latency, d.latencyOf(name, r))
	}
	switch {
	case r.FansOut():
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
	return !r.FansOut() && len(r.PoolWeights) == 0 && r.Pool == name
}
