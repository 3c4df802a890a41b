// The configurations of a day: the initial configuration and the changes that operators make to it.

package sim

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/lab/rules"
	"wallport/runtime/clock"
)

const maxIdleRoutes = 24

func idleName(n int) string { return fmt.Sprintf("idle-%d", n) }

// initialConfig returns the configuration that is sent before the traffic starts.
func (c *commands) initialConfig() *routingpb.RoutingTable {
	s := &c.day.site
	t := &routingpb.RoutingTable{Limits: &routingpb.Limits{
		MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutUs: 3 * clock.Second, IdleTimeoutUs: 15 * clock.Second, Source: []byte("limits"),
	}}
	for i := range s.pools {
		p := &s.pools[i]
		for _, name := range p.poolNames() {
			t.Pools = append(t.Pools, &routingpb.Pool{
				Name: name, HealthPath: "/health", MaxConnections: p.connections, SlowStartUs: 3 * clock.Second, RampPerS: p.slowStartPerS, Source: []byte(name),
			})
		}
	}
	for i := range s.kinds {
		kind := &s.kinds[i]
		r := &routingpb.Route{
			Name: kind.name, Host: host, Prefix: prefixOf(kind.name), Repeatable: kind.repeatable, TimeoutUs: kind.deadlineUs, TargetLatencyUs: kind.targetUs,
			Priority: kind.priority, MaxBackends: proto.Int32(kind.backends), ResultLimit: kind.records, MinCoverage: kind.coverage, Source: []byte(kind.name),
		}
		if p := s.pool(kind.pool); p.shards > 0 {
			r.FanoutPools = p.poolNames()
		} else {
			r.Pool = kind.pool
		}
		t.Routes = append(t.Routes, r)
	}
	for range 2 {
		t.Routes = append(t.Routes, c.newIdleRoute())
	}
	return t
}

// unshardedPools returns the names of the pools that are not shards.
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
		if kind := &d.site.kinds[i]; kind.repeatable && kind.records == 0 {
			return kind
		}
	}
	return &d.site.kinds[0]
}

// newIdleRoute returns a new idle route: a route that gets no traffic but probes.
func (c *commands) newIdleRoute() *routingpb.Route {
	kind, pools := c.day.idleKind(), c.day.unshardedPools()
	name := idleName(c.nextIdle)
	c.nextIdle++
	return &routingpb.Route{
		Name: name, Host: host, Prefix: prefixOf(name), Repeatable: true, TimeoutUs: kind.deadlineUs, TargetLatencyUs: kind.targetUs,
		Priority: 2, MaxBackends: proto.Int32(2), Pool: pools[c.day.sim.rng.IntN(len(pools))], Source: []byte(name),
	}
}

// idleNames returns the names of idle routes to probe: the last eight that were added, which may have been removed
// since, and one that has never existed.
func (c *commands) idleNames() (out []string) {
	for n := max(0, c.nextIdle-8); n <= c.nextIdle; n++ {
		out = append(out, idleName(n))
	}
	return out
}

// begin sends the initial configuration 500 ms after the start, and starts the reads.
func (c *commands) begin() {
	c.day.sim.at(500*clock.Millisecond, func() {
		c.enqueue(func() {
			c.revision = 1 + c.day.sim.rng.Int64N(5)
			t := c.initialConfig()
			t.Revision = c.revision
			version := &rules.Version{Revision: t.Revision, Table: t, Uncontested: true}
			c.sendVersion(&routingpb.RoutingEdit{Revision: t.Revision, Whole: withoutRevision(t)}, version, draft{}, c.runNext)
		})
	})
	c.day.sim.at(c.day.end()-4*clock.Second, c.readBack)
	c.day.sim.after(confirmedReadUs, c.readConfirmed)
}

func withoutRevision(t *routingpb.RoutingTable) *routingpb.RoutingTable {
	c := proto.Clone(t).(*routingpb.RoutingTable)
	c.Revision = 0
	return c
}

func (c *commands) finish() {
	c.day.sim.Checker.Count("orders_open", int64(c.inFlight))
}

// nextRevision returns the next revision, 1 to 3 higher than the highest so far.
func (c *commands) nextRevision() int64 {
	c.revision = max(c.revision, c.base.Revision) + 1 + c.day.sim.rng.Int64N(3)
	return c.revision
}

// draft is a change to a configuration: new or changed routes and pools, and the names of routes to withdraw.
type draft struct {
	routes   []*routingpb.Route
	pools    []*routingpb.Pool
	withdraw []string
	invalid  bool
	// number is the revision, 0 for the next one. truncated drops the last byte of the encoded edit. complete
	// makes the edit carry the whole table and not only the changes.
	number    int64
	truncated bool
	complete  bool
	pin       pin
}

// change sends a change of the given kind, based on the newest acknowledged version.
func (c *commands) change(how string) { c.changeAt(how, pin{}) }

func (c *commands) changeAt(how string, at pin) {
	c.enqueue(func() {
		df := c.draft(how)
		df.pin = at
		c.put(c.base, df, how != "invalid", c.runNext)
	})
}

// race sends n changes based on the same version within 30 ms.
func (c *commands) race(n int) { c.raceAt(n, pin{}) }

// raceAt is like race, but sends the changes first to the machine of the pin, if it has one. In every second race all
// changes use the same revision.
func (c *commands) raceAt(n int, at pin) {
	c.enqueue(func() {
		base, number := c.base, int64(0)
		kinds := []string{"idle", "route", "timeout", "weights"}
		c.races++
		if c.races%2 == 0 {
			number, kinds = c.nextRevision(), []string{"route", "timeout", "weights", "timeout"}
			c.day.sim.Checker.Count("races_under_one_number", 1)
		}
		for i := range n {
			c.inFlight++
			how := kinds[(i+c.day.sim.rng.IntN(2))%4]
			df := c.draft(how)
			df.number, df.pin = number, at
			c.day.sim.after(c.day.sim.rng.Int64N(30*clock.Millisecond), func() {
				c.inFlight--
				c.put(base, df, false, c.runNext)
			})
		}
	})
}

func (c *commands) put(base *rules.Version, df draft, alone bool, done func()) {
	rev := df.number
	if rev == 0 {
		rev = c.nextRevision()
	}
	e, t := c.editOf(base, df, rev)
	c.sendVersion(e, &rules.Version{Revision: rev, Base: base.Revision, Table: t, Invalid: df.invalid, Uncontested: alone}, df, done)
}

// editOf returns an edit that makes a draft's changes under a new revision, either with a complete table or with only
// the changed routes, and the resulting table.
func (c *commands) editOf(base *rules.Version, df draft, revision int64) (*routingpb.RoutingEdit, *routingpb.RoutingTable) {
	table := apply(base.Table, df)
	table.Revision = revision
	edit := &routingpb.RoutingEdit{Base: base.Revision, Revision: revision}
	if c.day.sim.rng.IntN(2) == 0 || df.complete {
		edit.Whole = withoutRevision(table)
	} else {
		edit.Upsert, edit.WithdrawRoutes = &routingpb.RoutingTable{Routes: df.routes, Pools: df.pools}, df.withdraw
	}
	return edit, table
}

// apply returns the table that must result when a draft is applied to a table.
func apply(base *routingpb.RoutingTable, df draft) *routingpb.RoutingTable {
	t := proto.Clone(base).(*routingpb.RoutingTable)
	for _, r := range df.routes {
		if i := slices.IndexFunc(t.Routes, func(v *routingpb.Route) bool { return v.Name == r.Name }); i >= 0 {
			t.Routes[i] = r
		} else {
			t.Routes = append(t.Routes, r)
		}
	}
	for _, p := range df.pools {
		i := slices.IndexFunc(t.Pools, func(v *routingpb.Pool) bool { return v.Name == p.Name })
		t.Pools[i] = p
	}
	t.Routes = slices.DeleteFunc(t.Routes, func(v *routingpb.Route) bool { return slices.Contains(df.withdraw, v.Name) })
	return t
}
