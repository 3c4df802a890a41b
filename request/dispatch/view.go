package dispatch

import (
	"slices"
	"sync"

	"wallport/control/routing"
	"wallport/request/snapshot"
)

// view joins a routing snapshot with this node's measurements of its backends. It is built once for each snapshot and
// is read-only afterwards, apart from its cache of route plans.
type view struct {
	snapshot *snapshot.Snapshot
	pools    map[string]*pool
	plans    sync.Map // *routing.Route -> *routePlan
}

// pool is a pool of the routing table with its eligible backends, which are neither draining nor in a drained zone.
type pool struct {
	*snapshot.Pool
	name        string
	endpoints   []endpoint
	retryBudget *retryBudget
}

// endpoint is a backend as a member of one pool.
type endpoint struct {
	listed   *snapshot.Backend
	backend  *backend
	sameZone bool
}

// routePlan holds a route's pools and, at the same indexes, their latency statistics for this route.
type routePlan struct {
	pools   []*pool
	latency []*latencyStats
}

// currentView returns the view of the newest snapshot, or nil while no request can be served.
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

// viewsBetweenCleanups is how many views are built between two calls of forgetBackends.
const viewsBetweenCleanups = 64

func (d *Dispatcher) buildView(snap *snapshot.Snapshot) *view {
	v := &view{snapshot: snap, pools: make(map[string]*pool, len(snap.Pools))}
	listed := 0
	for name, p := range snap.Pools {
		joined := &pool{Pool: p, name: name, endpoints: make([]endpoint, 0, len(p.Backends)), retryBudget: d.retryBudgetOf(name)}
		for _, s := range p.Backends {
			b := d.backendOf(s.ID)
			b.update(snap, p, s, d.cfg.StartedAt)
			listed++
			if s.Health != snapshot.Draining && s.Health != snapshot.ZoneDrained {
				joined.endpoints = append(joined.endpoints, endpoint{listed: s, backend: b, sameZone: s.Zone == snap.Zone})
			}
		}
		v.pools[name] = joined
	}
	if d.builds++; d.builds%viewsBetweenCleanups == 0 {
		d.forgetBackends(snap, listed)
	}
	return v
}

// planFor returns the plan of a route in this view, creating it at first use.
func (d *Dispatcher) planFor(v *view, r *routing.Route) *routePlan {
	if plan, ok := v.plans.Load(r); ok {
		return plan.(*routePlan)
	}
	plan := &routePlan{}
	add := func(name string) {
		p := v.pools[name]
		if p == nil {
			p = &pool{Pool: &snapshot.Pool{}, name: name, retryBudget: d.retryBudgetOf(name)}
		}
		plan.pools = append(plan.pools, p)
		plan.latency = append(plan.latency, d.latencyOf(name, r))
	}
	switch {
	case r.FansOut():
		for _, name := range r.Shards {
			add(name)
		}
	case len(r.Shares) > 0:
		for _, share := range r.Shares {
			add(share.Pool)
		}
	default:
		add(r.Pool)
	}
	v.plans.Store(r, plan)
	return plan
}

// serves reports whether a route may still send to a pool.
func serves(r *routing.Route, pool string) bool {
	if r == nil {
		return false
	}
	if slices.Contains(r.Shards, pool) {
		return true
	}
	for _, share := range r.Shares {
		if share.Pool == pool {
			return true
		}
	}
	return !r.FansOut() && len(r.Shares) == 0 && r.Pool == pool
}
