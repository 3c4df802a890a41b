package state

import (
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/wire"
)

func route(name, prefix, pool string) *routingpb.Route {
	return &routingpb.Route{Name: name, Host: "h.example", Prefix: prefix, TimeoutUs: 1, Pool: pool, Source: []byte("{" + name + "}")}
}

func testTable() *routingpb.RoutingTable {
	return &routingpb.RoutingTable{
		Routes: []*routingpb.Route{route("a", "/a/", "p"), route("b", "/b/", "q")},
		Pools:  []*routingpb.Pool{{Name: "p", Source: []byte("{p}")}, {Name: "q"}},
	}
}

func putTable(base, rev int64) *routingpb.RoutingEdit {
	return &routingpb.RoutingEdit{Base: base, Revision: rev, Whole: testTable()}
}

func TestPutRoutingTableAndRepeat(t *testing.T) {
	p := &configPartition{t: t}
	r := p.applyRouting(putTable(0, 3))
	must.Eq(t, "ok", r.Code)
	must.Eq(t, 3, p.routingTable().Revision)
	must.Eq(t, "{a}", string(p.routingTable().Routes[0].Source))
	must.Eq(t, "ok", p.applyRouting(putTable(3, 9)).Code)
	again := p.applyRouting(putTable(0, 3))
	must.Eq(t, "ok", again.Code, must.Sprint("an edit that was applied before must be acknowledged again"))
	must.Eq(t, r.Version, again.Version)
	must.Eq(t, 9, p.routingTable().Revision)
	other := putTable(0, 3)
	other.Whole.Routes[0].TimeoutUs = 2
	must.Eq(t, "lost_race", p.applyRouting(other).Code, must.Sprint("a different edit with the same base and revision must be refused"))
	must.Eq(t, "lost_race", p.applyRouting(putTable(1, 3)).Code)
}

func TestSecondRoutingEditOfARevisionLosesTheRace(t *testing.T) {
	p := &configPartition{t: t}
	must.Eq(t, "ok", p.applyRouting(putTable(0, 1)).Code)
	must.Eq(t, "ok", p.applyRouting(putTable(1, 5)).Code)
	r := p.applyRouting(putTable(1, 6))
	must.Eq(t, "lost_race", r.Code)
	must.StrContains(t, r.Findings[0].Text, "revision 5")
	must.Eq(t, "lost_race", p.applyRouting(putTable(8, 9)).Code)
}

func TestRoutingRevisionsIncrease(t *testing.T) {
	p := &configPartition{t: t}
	must.Eq(t, "invalid", p.applyRouting(putTable(0, 0)).Code)
	must.Eq(t, "ok", p.applyRouting(putTable(0, 4)).Code)
	must.Eq(t, "invalid", p.applyRouting(putTable(4, 4)).Code)
	must.Eq(t, "invalid", p.applyRouting(putTable(4, 3)).Code)
	must.Eq(t, "ok", p.applyRouting(putTable(4, 40)).Code)
}

func TestPatchAddsReplacesAndWithdrawsByName(t *testing.T) {
	p := &configPartition{t: t}
	p.applyRouting(putTable(0, 1))
	r := p.applyRouting(&routingpb.RoutingEdit{
		Base: 1, Revision: 2,
		Upsert: &routingpb.RoutingTable{
			Routes: []*routingpb.Route{route("c", "/c/", "r"), route("a", "/a2/", "r")},
			Pools:  []*routingpb.Pool{{Name: "r", Source: []byte("{r}")}},
		},
		WithdrawRoutes: []string{"b", "unknown"}, WithdrawPools: []string{"q"},
	})
	must.Eq(t, "ok", r.Code)
	got := p.routingTable()
	must.Eq(t, "a /a2/, c /c/", routeNames(got.Routes))
	must.Eq(t, "{r}", string(got.Pools[1].Source))
	must.Eq(t, "{p}", string(got.Pools[0].Source))
	r = p.applyRouting(&routingpb.RoutingEdit{Base: 2, Revision: 3, WithdrawPools: []string{"p"}})
	must.Eq(t, "ok", r.Code, must.Sprint("a pool that no route refers to may be withdrawn"))
	r = p.applyRouting(&routingpb.RoutingEdit{Base: 3, Revision: 4, WithdrawPools: []string{"r"}})
	must.Eq(t, "invalid", r.Code, must.Sprint("the resulting table must be checked as a whole"))
	must.Len(t, 2, r.Findings)
	must.Eq(t, "ok", p.applyRouting(&routingpb.RoutingEdit{Base: 3, Revision: 4, Upsert: &routingpb.RoutingTable{Limits: &routingpb.Limits{MaxBodyBytes: 7}}}).Code)
	must.Eq(t, 7, p.routingTable().Limits.MaxBodyBytes)
}

func routeNames(rs []*routingpb.Route) string {
	var out []string
	for _, r := range rs {
		out = append(out, r.Name+" "+r.Prefix)
	}
	return strings.Join(out, ", ")
}

func TestInvalidRoutingTablesAreRefused(t *testing.T) {
	for name, invalidate := range map[string]func(*routingpb.RoutingTable, *routingpb.Route){
		"unknown pool":             func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Pool = "x" },
		"unknown weighted pool":    func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 1.0, "x", 0.0) },
		"unknown fan-out pool":     func(_ *routingpb.RoutingTable, r *routingpb.Route) { setFanout(r, "p", "x") },
		"same host and prefix":     func(t *routingpb.RoutingTable, r *routingpb.Route) { r.Host, r.Prefix = "H.example", "/b/" },
		"same route name":          func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Name = "b" },
		"same pool name":           func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools[1].Name, t.Routes[1].Pool = "p", "p" },
		"no name":                  func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Name = "" },
		"no host":                  func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Host = "" },
		"no leading slash":         func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Prefix = "a/" },
		"no trailing slash":        func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Prefix = "/a" },
		"weights of 0":             func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 0.0, "q", 0.0) },
		"negative weight":          func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 2.0, "q", -1.0) },
		"weight not a number":      func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 1.0, "q", math.NaN()) },
		"timeout of 0":             func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.TimeoutUs = 0 },
		"no pool":                  func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Pool = "" },
		"pool and weighted pools":  func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 1.0); r.Pool = "p" },
		"coverage not a number":    func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.MinCoverage = math.NaN() },
		"infinite coverage":        func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.MinCoverage = math.Inf(1) },
		"coverage below 0":         func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.MinCoverage = -0.1 },
		"negative max_backends":    func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.MaxBackends = proto.Int32(-1) },
		"negative target latency":  func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.TargetLatencyUs = -1 },
		"negative result limit":    func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.ResultLimit = -1 },
		"negative priority":        func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Priority = -1 },
		"negative max_connections": func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools[0].MaxConnections = -1 },
		"negative slow start":      func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools[0].SlowStartUs = -1 },
		"negative ramp":            func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools[0].RampPerS = -1 },
		"negative limits":          func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Limits = &routingpb.Limits{IdleTimeoutUs: -1} },
		"fan-out, not repeatable":  func(_ *routingpb.RoutingTable, r *routingpb.Route) { setFanout(r, "p", "q"); r.Repeatable = false },
		"pool without a name":      func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools = append(t.Pools, &routingpb.Pool{}) },
		"infinite ramp":            func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Pools[0].RampPerS = math.Inf(1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := &configPartition{t: t}
			e := putTable(0, 1)
			invalidate(e.Whole, e.Whole.Routes[0])
			r := p.applyRouting(e)
			must.Eq(t, "invalid", r.Code)
			must.Len(t, 1, r.Findings)
			must.NotEq(t, "", r.Findings[0].Path)
			must.Nil(t, p.routingTable())
		})
	}
}

func TestUnsetRoutingFieldsAreAccepted(t *testing.T) {
	for name, change := range map[string]func(*routingpb.RoutingTable, *routingpb.Route){
		"a weight of 0":                      func(_ *routingpb.RoutingTable, r *routingpb.Route) { setPoolWeights(r, "p", 0.0, "q", 3.0) },
		"fan-out":                            func(_ *routingpb.RoutingTable, r *routingpb.Route) { setFanout(r, "p", "q") },
		"full coverage":                      func(_ *routingpb.RoutingTable, r *routingpb.Route) { setFanout(r, "p"); r.MinCoverage = 1 },
		"a pool that no route names":         func(t *routingpb.RoutingTable, r *routingpb.Route) { r.Pool = "q" },
		"the same prefix, other host":        func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Host, r.Prefix = "other.example", "/b/" },
		"a prefix inside another":            func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Prefix = "/b/c/" },
		"the prefix /":                       func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.Prefix = "/" },
		"no routes":                          func(t *routingpb.RoutingTable, _ *routingpb.Route) { t.Routes = nil },
		"a target latency above the timeout": func(_ *routingpb.RoutingTable, r *routingpb.Route) { r.TargetLatencyUs = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			e := putTable(0, 1)
			change(e.Whole, e.Whole.Routes[0])
			must.Eq(t, "ok", (&configPartition{t: t}).applyRouting(e).Code)
		})
	}
}

func TestRoutingFindingsAreReportedTogether(t *testing.T) {
	p := &configPartition{t: t}
	e := putTable(0, 1)
	e.Whole.Routes[0].TimeoutUs, e.Whole.Routes[1].Pool, e.Whole.Pools[0].MaxConnections = 0, "x", -1
	must.Len(t, 3, p.applyRouting(e).Findings)
	must.Eq(t, "invalid", p.apply(&wire.Edit{Op: "routing", Body: []byte("\xff\xff")}).Code)
}

func TestAppliedRoutingEditsAreBounded(t *testing.T) {
	p := &configPartition{t: t}
	for i := range int64(maxRoutingEdits + 5) {
		must.Eq(t, "ok", p.applyRouting(putTable(i, i+1)).Code)
	}
	must.Len(t, maxRoutingEdits, p.editLog().RoutingEdits)
	must.Eq(t, "lost_race", p.applyRouting(putTable(0, 1)).Code)
	must.Eq(t, "ok", p.applyRouting(putTable(100, 101)).Code)
}

func TestDrainingAZoneTwiceIsAccepted(t *testing.T) {
	p := &configPartition{t: t}
	p.applyRouting(putTable(0, 1))
	for _, id := range []string{"one", "one", "two", ""} {
		must.Eq(t, "ok", p.applyZone("empty", "z", id).Code)
	}
	must.Eq(t, "ok", p.applyZone("refill", "z", "three").Code)
	must.Eq(t, "ok", p.applyZone("empty", "z", "two").Code, must.Sprint("a repeated older edit must be acknowledged"))
	must.SliceEmpty(t, p.drainedZones())
	must.Eq(t, 1, p.routingTable().Revision)
}

func setPoolWeights(r *routingpb.Route, kv ...any) {
	r.Pool = ""
	for i := 0; i < len(kv); i += 2 {
		r.PoolWeights = append(r.PoolWeights, &routingpb.PoolWeight{Pool: kv[i].(string), Weight: kv[i+1].(float64)})
	}
}

func setFanout(r *routingpb.Route, pools ...string) {
	r.Pool, r.FanoutPools, r.Repeatable = "", pools, true
}
