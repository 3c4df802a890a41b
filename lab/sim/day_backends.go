// The backends of a day: pools, incarnations and addresses, and the platform's backend list, which lags and is
// rate-limited.

package sim

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/lab/rules"
	"wallport/request/healthcheck"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Times and limits of the platform's backend list and of backends. The list shows a change after listLagUs, has pages
// of pageSize backends and serves listPerS pages a second. An address may be reused addressReuseUs after its backend
// ended, and a crashed backend leaves the list after crashDelistUs. A cold backend needs coldWorkFactor thousandths of
// the usual work time for warmUpUs. Pauses recur every pausePeriod.
const (
	listLagUs      = 800 * clock.Millisecond
	pageSize       = 50
	listPerS       = 44
	addressReuseUs = 2 * clock.Second
	crashDelistUs  = 3 * clock.Second
	warmUpUs       = 3 * clock.Second
	coldWorkFactor = 1600
	pausePeriod    = 4 * clock.Second
)

type backends struct {
	day       *day
	all       []*incarnation
	byAddr    map[string]*incarnation
	published []publishedList
	calls     []int64
	nextID    int
	nextAddr  int
	// free holds the addresses of backends that have ended.
	free []freeAddr
	mode string
	// preferReuse makes every new incarnation take a free address that another pool had, if there is one; otherwise
	// half of the incarnations do.
	preferReuse bool
}

type freeAddr struct {
	addr, zone, pool string
	at               clock.Micros
}

func (b *backends) init(d *day) {
	b.day, b.byAddr = d, map[string]*incarnation{}
}

// poolNames returns the names of the pools of a service: the service's own name, or one name for each of its
// shards.
func (p *poolShape) poolNames() []string {
	if p.shards == 0 {
		return []string{p.name}
	}
	out := make([]string, p.shards)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", p.name, i)
	}
	return out
}

func (s *siteShape) pool(name string) *poolShape {
	for i := range s.pools {
		if s.pools[i].name == name {
			return &s.pools[i]
		}
	}
	return nil
}

// begin starts the initial backends, which are warm.
func (b *backends) begin() {
	for i := range b.day.site.pools {
		if p := &b.day.site.pools[i]; !p.afterReshard {
			b.startPool(p)
		}
	}
	b.publish()
}

func (b *backends) startPool(p *poolShape) {
	for k, name := range p.poolNames() {
		for zi := range b.day.site.zones {
			// The zones are rotated from shard to shard, so that shards with fewer backends than zones are spread
			// over all zones.
			z := b.day.site.zones[(zi+k)%len(b.day.site.zones)]
			for range p.perZone[zi] {
				b.start(p, name, z.name)
			}
		}
	}
}

// start starts a new incarnation, possibly at an address that a backend of another pool had before.
func (b *backends) start(p *poolShape, pool, zone string) *incarnation {
	d := b.day
	b.nextID++
	inc := &incarnation{day: d, shape: p, warmAt: d.sim.now + warmUpUs, up: true, listed: true}
	inc.row = wire.Backend{ID: fmt.Sprintf("i-%04d", b.nextID), Zone: zone, Pool: pool, State: "ready", Incarnation: 1, Slots: p.slots}
	inc.row.Addr = b.address(pool, zone)
	inc.record = &rules.Backend{ID: inc.row.ID, Pool: pool, Zone: zone, StartedAt: d.sim.now, Ended: rules.Never, DrainingSince: rules.Never, SlowStartPerS: p.slowStartPerS}
	inc.speed = 90 + d.sim.rng.Int64N(21)
	inc.phase = d.sim.rng.Int64N(pausePeriod)
	if d.sim.now == 0 {
		inc.warmAt = 0
	} else {
		inc.record.SlowStart = rules.Spans{{From: d.sim.now, To: inc.warmAt}}
	}
	b.all = append(b.all, inc)
	b.byAddr[inc.row.Addr] = inc
	d.journal.Backends = append(d.journal.Backends, inc.record)
	return inc
}

// address returns a new address, or the free address of a former backend of another pool in the same zone.
func (b *backends) address(pool, zone string) string {
	i := slices.IndexFunc(b.free, func(f freeAddr) bool { return f.zone == zone && f.pool != pool && f.at <= b.day.sim.now })
	if i >= 0 && (b.preferReuse || b.day.sim.rng.IntN(2) == 0) {
		addr := b.free[i].addr
		b.free = slices.Delete(b.free, i, i+1)
		b.day.sim.Checker.Count("addresses_reused", 1)
		return addr
	}
	b.nextAddr++
	return fmt.Sprintf("10.128.%d.%d:8080", b.nextAddr/250, b.nextAddr%250)
}

// publish records the current backends; the platform's list shows them after listLagUs.
func (b *backends) publish() {
	now := b.day.sim.now
	list := wire.BackendList{Complete: true, Backends: []wire.Backend{}}
	for _, inc := range b.all {
		if !inc.listed {
			continue
		}
		row := inc.row
		row.WarmUpRemaining = inc.warmAt
		list.Backends = append(list.Backends, row)
	}
	b.published = append(b.published, publishedList{now, list})
}

// serveList returns the status and the body of the platform's response to a request for the complete list. The
// request costs as many calls as the list has pages; the status is 429 if these calls exceed the rate limit.
func (b *backends) serveList() (int, []byte) {
	sim := b.day.sim
	for len(b.calls) > 0 && sim.now-b.calls[0] >= clock.Second {
		b.calls = b.calls[1:]
	}
	var out wire.BackendList
	for _, l := range b.published {
		if sim.now-l.at >= listLagUs || l.at == 0 {
			out = l.list
		}
	}
	out.Backends = slices.Clone(out.Backends)
	out.Calls = int64(len(out.Backends)/pageSize + 1)
	sim.Checker.Count("platform_calls", out.Calls)
	if len(b.calls)+int(out.Calls) > listPerS {
		sim.Checker.Count("platform_shed", 1)
		return 429, nil
	}
	for range out.Calls {
		b.calls = append(b.calls, sim.now)
	}
	if b.mode == "fail" {
		return 500, nil
	}
	for i := range out.Backends {
		out.Backends[i].WarmUpRemaining = max(0, out.Backends[i].WarmUpRemaining-sim.now)
	}
	body, err := json.Marshal(&out)
	if err != nil {
		return 500, nil
	}
	return 200, body
}

// fetch answers a plug-in's fetch of the platform's list or of a backend's health report.
func (d *day) fetch(p *process, f kernel.Fetch) {
	answer := p.answerFetch(f)
	addr, platform := hostOf(f.URL)
	if platform {
		d.listReader = p.machine
		status, body := d.backends.serveList()
		answer(1000+d.sim.rng.Int64N(1000), kernel.Fetched{Status: status, Body: body})
		return
	}
	d.sim.Checker.Count("probes", 1)
	inc := d.backends.byAddr[addr]
	rtt := 2 * d.latency(p.settings.Zone, zoneOf(inc, p))
	switch {
	case inc != nil && (inc.silent || d.unreachable(p.machine, inc)):
	case inc == nil || !inc.up:
		answer(rtt, kernel.Fetched{Err: "connection refused"})
	default:
		inc.healthCheck(func(status int) {
			r := healthcheck.Response{ID: inc.row.ID, Incarnation: 1, Usage: int64(inc.running + len(inc.queue)), SlowStart: max(0, inc.warmAt-d.sim.now)}
			body, err := json.Marshal(&r)
			if err == nil {
				answer(rtt, kernel.Fetched{Status: status, Body: body})
			}
		})
	}
}

func zoneOf(inc *incarnation, p *process) string {
	if inc == nil {
		return p.settings.Zone
	}
	return inc.row.Zone
}

// of returns the incarnations of a service, or of one of its pools, that are running and not draining; "*" selects all
// services.
func (b *backends) of(service string) (out []*incarnation) {
	for _, inc := range b.all {
		if inc.up && !inc.draining && (service == "*" || inc.row.Pool == service || inc.shape.name == service) {
			out = append(out, inc)
		}
	}
	return out
}
