// The configurations of a day: the first one, the changes that operators make
// to it, and those that are no good.

package sim

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/lab/rules"
)

const idleRoutesMost = 24

func idleName(n int) string { return fmt.Sprintf("idle-%d", n) }

// firstConfig is the configuration that is sent before the traffic.
func (o *commands) firstConfig() *routingpb.RoutingTable {
	s := &o.day.site
	t := &routingpb.RoutingTable{Limits: &routingpb.Limits{
		MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutUs: 3_000_000, IdleTimeoutUs: 15_000_000, Source: []byte("limits"),
	}}
	for i := range s.pools {
		p := &s.pools[i]
		for _, name := range p.poolNames() {
			t.Pools = append(t.Pools, &routingpb.Pool{
				Name: name, HealthPath: "/health", MaxConnections: p.connections, SlowStartUs: 3_000_000, RampPerS: p.slowStartPerS, Source: []byte(name),
			})
		}
	}
	for i := range s.kinds {
		k := &s.kinds[i]
		r := &routingpb.Route{
			Name: k.name, Host: host, Prefix: prefixOf(k.name), Repeatable: k.repeatable, TimeoutUs: k.deadlineUs, TargetLatencyUs: k.targetUs,
			Priority: k.priority, MaxBackends: k.backends, ResultLimit: k.records, MinCoverage: k.coverage, Source: []byte(k.name),
		}
		if p := s.pool(k.pool); p.shards > 0 {
			r.FanoutPools = p.poolNames()
		} else {
			r.Pool = k.pool
		}
		t.Routes = append(t.Routes, r)
	}
	for range 2 {
		t.Routes = append(t.Routes, o.newIdleRoute())
	}
	return t
}

// unshardedPools are the pools that are no shards.
func (d *day) unshardedPools() (out []string) {
	for i := range d.site.pools {
		if p := &d.site.pools[i]; p.shards == 0 {
			out = append(out, p.name)
		}
	}
	return out
}

func (d *day) idleKind() *requestShape {
	for i := range d.site.kinds {
		if k := &d.site.kinds[i]; k.repeatable && k.records == 0 {
			return k
		}
	}
	return &d.site.kinds[0]
}

// newIdleRoute is a new route that only probes ask for.
func (o *commands) newIdleRoute() *routingpb.Route {
	k, pools := o.day.idleKind(), o.day.unshardedPools()
	name := idleName(o.nextIdle)
	o.nextIdle++
	return &routingpb.Route{
		Name: name, Host: host, Prefix: prefixOf(name), Repeatable: true, TimeoutUs: k.deadlineUs, TargetLatencyUs: k.targetUs,
		Priority: 2, MaxBackends: 2, Pool: pools[o.day.world.rng.IntN(len(pools))], Source: []byte(name),
	}
}

// idleNames are routes to ask for: those that were ever there, and one that never was.
func (o *commands) idleNames() (out []string) {
	for n := max(0, o.nextIdle-8); n <= o.nextIdle; n++ {
		out = append(out, idleName(n))
	}
	return out
}

// begin sends the first configuration, before the traffic.
func (o *commands) begin() {
	o.day.world.at(500_000, func() {
		o.enqueue(func() {
			o.revision = 1 + o.day.world.rng.Int64N(5)
			t := o.firstConfig()
			t.Revision = o.revision
			v := &rules.Version{Revision: t.Revision, Table: t, Alone: true}
			o.sendVersion(&routingpb.RoutingEdit{Revision: t.Revision, Whole: withoutRevision(t)}, v, draft{}, o.runNext)
		})
	})
	o.day.world.at(o.day.end()-4_000_000, o.readBack)
	o.day.world.after(confirmedReadUs, o.readConfirmed)
}

func withoutRevision(t *routingpb.RoutingTable) *routingpb.RoutingTable {
	c := proto.Clone(t).(*routingpb.RoutingTable)
	c.Revision = 0
	return c
}

func (o *commands) finish() {
	o.day.world.Checker.Count("orders_open", int64(o.open))
}

// nextRevision is the number of a version to come: they go up in uneven steps.
func (o *commands) nextRevision() int64 {
	o.revision = max(o.revision, o.base.Revision) + 1 + o.day.world.rng.Int64N(3)
	return o.revision
}

// draft is a change of the newest version: the items that are new, and names that go.
type draft struct {
	routes   []*routingpb.Route
	withdraw []string
	invalid  bool
	// number is the version's, 0 for the next one; truncated takes the last byte off what is sent.
	number    int64
	truncated bool
	complete  bool
	pin       pin
}

// change sends one on top of the newest version that was acknowledged.
func (o *commands) change(how string) { o.changeAt(how, pin{}) }

func (o *commands) changeAt(how string, at pin) {
	o.enqueue(func() {
		df := o.draft(how)
		df.pin = at
		o.put(o.base, df, how != "invalid", o.runNext)
	})
}

// race sends so many on top of the same version, at about the same time.
func (o *commands) race(n int) { o.raceAt(n, pin{}) }

// raceAt does so at one machine, or anywhere; in every second race all rivals pick the same number.
func (o *commands) raceAt(n int, at pin) {
	o.enqueue(func() {
		base, number := o.base, int64(0)
		hows := []string{"idle", "route", "timeout", "weights"}
		o.races++
		if o.races%2 == 0 {
			number, hows = o.nextRevision(), []string{"route", "timeout", "weights", "timeout"}
			o.day.world.Checker.Count("races_under_one_number", 1)
		}
		for i := range n {
			o.open++
			how := hows[(i+o.day.world.rng.IntN(2))%4]
			df := o.draft(how)
			df.number, df.pin = number, at
			o.day.world.after(o.day.world.rng.Int64N(30_000), func() {
				o.open--
				o.put(base, df, false, o.runNext)
			})
		}
	})
}

func (o *commands) put(base *rules.Version, df draft, alone bool, done func()) {
	rev := df.number
	if rev == 0 {
		rev = o.nextRevision()
	}
	t := apply(base.Table, df)
	t.Revision = rev
	e := &routingpb.RoutingEdit{Base: base.Revision, Revision: rev}
	if o.day.world.rng.IntN(2) == 0 || df.complete {
		e.Whole = withoutRevision(t)
	} else {
		e.Upsert, e.WithdrawRoutes = &routingpb.RoutingTable{Routes: df.routes}, df.withdraw
	}
	o.sendVersion(e, &rules.Version{Revision: rev, Base: base.Revision, Table: t, Invalid: df.invalid, Alone: alone}, df, done)
}

// apply is the operator's own idea of what a change comes to.
func apply(on *routingpb.RoutingTable, df draft) *routingpb.RoutingTable {
	t := proto.Clone(on).(*routingpb.RoutingTable)
	for _, r := range df.routes {
		if i := slices.IndexFunc(t.Routes, func(v *routingpb.Route) bool { return v.Name == r.Name }); i >= 0 {
			t.Routes[i] = r
		} else {
			t.Routes = append(t.Routes, r)
		}
	}
	t.Routes = slices.DeleteFunc(t.Routes, func(v *routingpb.Route) bool { return slices.Contains(df.withdraw, v.Name) })
	return t
}
