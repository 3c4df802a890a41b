package state

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/wire"
)

const configurationText = `{"services":[{"index":"a","capacity":%d,"required_share":75,"deadline_us":"500000","max_deadline_us":1000000,"hedge_us":40000,"ramp_us":1000000}],
 "rows":[{"index":"a","kind":"search","share":70},{"index":"a","kind":"read","share":30,"ceiling":50}],"bookings":[]}`

func (p *configPartition) applyConfiguration(base wire.Version, capacity int, id string) wire.EditReply {
	p.t.Helper()
	return p.apply(&wire.Edit{Op: "put", Strict: true, Base: base, Body: fmt.Appendf(nil, configurationText, capacity), EditID: id})
}

// routePatch returns an edit, based on revision base, that sets the time-out of one route.
func routePatch(base, revision, timeout int64) *routingpb.RoutingEdit {
	r := route("a", "/a/", "p")
	r.TimeoutUs = timeout
	return &routingpb.RoutingEdit{Base: base, Revision: revision, Upsert: &routingpb.RoutingTable{Routes: []*routingpb.Route{r}}}
}

// For every pair of different edits that set the same revision, the first is applied and the second is refused.
func TestRoutingRevisionIsAppliedOnce(t *testing.T) {
	other := putTable(1, 7)
	other.Whole.Routes[0].TimeoutUs = 9
	edits := map[string]*routingpb.RoutingEdit{
		"whole": putTable(1, 7), "another whole": other, "patch": routePatch(1, 7, 5), "another patch": routePatch(1, 7, 6),
		"whole on another base": putTable(5, 7), "patch on another base": routePatch(5, 7, 5), "withdrawal": {Base: 1, Revision: 7, WithdrawRoutes: []string{"b"}},
	}
	for first, a := range edits {
		for second, b := range edits {
			if first == second || a.Base != 1 {
				continue
			}
			p := &configPartition{t: t}
			must.Eq(t, "ok", p.applyRouting(putTable(0, 1)).Code)
			must.Eq(t, "ok", p.applyRouting(a).Code)
			after := p.value
			must.Eq(t, "lost_race", p.applyRouting(b).Code, must.Sprint(first, ", then ", second))
			must.Eq(t, after, p.value)
			must.Eq(t, "ok", p.applyRouting(a).Code, must.Sprint(first, " again"))
		}
	}
}

// An edit whose revision equals its base is refused, because revisions must increase.
func TestRoutingEditMustRaiseTheRevisionItIsBasedOn(t *testing.T) {
	p := &configPartition{t: t}
	must.Eq(t, "ok", p.applyRouting(putTable(0, 7)).Code)
	must.Eq(t, "invalid", p.applyRouting(routePatch(7, 7, 5)).Code)
	must.Eq(t, "ok", p.applyRouting(routePatch(7, 8, 5)).Code)
}

func TestRepeatedEditIsKnownAfterThousandsOfOthers(t *testing.T) {
	p := &configPartition{t: t}
	first := p.applyRouting(putTable(0, 1))
	drain := p.applyZone("empty", "z", "first")
	patch := p.applyRouting(routePatch(1, 2, 5))
	for i := int64(2); i < 1002; i++ {
		must.Eq(t, "ok", p.applyRouting(putTable(i, i+1)).Code)
		must.Eq(t, "ok", p.applyZone("empty", fmt.Sprint("z", i%7), fmt.Sprint("edit-", i)).Code)
	}
	before := p.value
	for _, repeat := range []struct {
		name               string
		original, repeated wire.EditReply
	}{
		{"whole", first, p.applyRouting(putTable(0, 1))},
		{"patch", patch, p.applyRouting(routePatch(1, 2, 5))},
		{"edit id", drain, p.applyZone("empty", "z", "first")},
	} {
		must.Eq(t, "ok", repeat.repeated.Code, must.Sprint(repeat.name))
		must.Eq(t, repeat.original.Version, repeat.repeated.Version, must.Sprint(repeat.name))
	}
	must.Eq(t, "conflict", p.applyZone("refill", "z", "first").Code)
	must.Eq(t, before, p.value, must.Sprint("a repeated edit must change nothing"))
}

// Refusals are not recorded: a refused edit that is sent again is validated against the state in force at that time.
func TestRefusedEditIsValidatedAgain(t *testing.T) {
	p := &configPartition{t: t}
	must.Eq(t, "ok", p.applyRouting(putTable(0, 1)).Code)
	routeToLatePool := func(base, revision int64) *routingpb.RoutingEdit {
		return &routingpb.RoutingEdit{Base: base, Revision: revision, Upsert: &routingpb.RoutingTable{Routes: []*routingpb.Route{route("c", "/c/", "late")}}}
	}
	must.Eq(t, "invalid", p.applyRouting(routeToLatePool(1, 9)).Code, must.Sprint("an edit with an unknown pool must be refused"))
	ahead := routePatch(2, 10, 5)
	must.Eq(t, "lost_race", p.applyRouting(ahead).Code, must.Sprint("an edit based on a revision that does not exist yet must be refused"))
	late := &routingpb.RoutingTable{Pools: []*routingpb.Pool{{Name: "late"}}}
	must.Eq(t, "ok", p.applyRouting(&routingpb.RoutingEdit{Base: 1, Revision: 2, Upsert: late}).Code)
	must.Eq(t, "ok", p.applyRouting(ahead).Code)
	must.Eq(t, "ok", p.applyRouting(routeToLatePool(10, 11)).Code)

	refused := p.applyConfiguration(wire.Version{Term: 8, Seq: 8}, 100, "sheet")
	must.Eq(t, "lost_race", refused.Code)
	must.Eq(t, "ok", p.applyConfiguration(wire.Version{}, 100, "sheet").Code, must.Sprint("a refused edit must be applied if it is sent again with the current base"))
}

// An edit that a network partition delays until newer edits have been applied must not take effect.
func TestLateEditIsStale(t *testing.T) {
	p := &configPartition{t: t}
	must.Eq(t, "ok", p.applyRouting(putTable(0, 1)).Code)
	base := p.zoneVersion("z")
	late := wire.Edit{Op: "empty", Name: "z", EditID: "late", Base: base}
	must.Eq(t, "ok", p.applyZone("refill", "z", "newer").Code, must.Sprint("an edit that changes nothing must be acknowledged"))
	must.Eq(t, wire.CodeStale, p.apply(&late).Code)
	must.SliceEmpty(t, p.drainedZones())
	must.Eq(t, "ok", p.applyZone("empty", "other", "drain of another zone").Code)
	must.Eq(t, wire.CodeStale, p.apply(&late).Code)
	must.Eq(t, []string{"other"}, p.drainedZones())

	firstLate, secondLate := routePatch(1, 2, 5), routePatch(1, 3, 6)
	must.Eq(t, "ok", p.applyRouting(routePatch(1, 4, 7)).Code)
	must.Eq(t, "lost_race", p.applyRouting(firstLate).Code)
	must.Eq(t, "lost_race", p.applyRouting(secondLate).Code)
	must.Eq(t, 7, p.routingTable().Routes[0].TimeoutUs)
}

// A delayed duplicate of an applied edit is acknowledged but changes nothing.
func TestLateDuplicateOfAppliedEditChangesNothing(t *testing.T) {
	p := &configPartition{t: t}
	edit := wire.Edit{Op: "empty", Name: "z", EditID: "one", Base: p.zoneVersion("z")}
	must.Eq(t, "ok", p.apply(&edit).Code)
	must.Eq(t, "ok", p.applyZone("refill", "z", "two").Code)
	must.Eq(t, "ok", p.apply(&edit).Code)
	must.SliceEmpty(t, p.drainedZones())
}

// Zones that are no longer listed share one version, the floor, which is not older than any edit of them.
func TestLateEditOfZoneBelowTheFloorIsStale(t *testing.T) {
	p := &configPartition{t: t}
	late := wire.Edit{Op: "empty", Name: "z", EditID: "late", Base: p.zoneVersion("z")}
	must.Eq(t, "ok", p.applyZone("refill", "z", "").Code)
	for i := range maxZoneVersions + 5 {
		must.Eq(t, "ok", p.applyZone("refill", fmt.Sprint("zone-", i), "").Code)
	}
	must.Len(t, maxZoneVersions, p.editLog().Zones)
	must.Eq(t, wire.CodeStale, p.apply(&late).Code)
	must.Eq(t, "ok", p.applyZone("empty", "z", "now").Code)
}

func TestEditZoneRefusesInvalidZones(t *testing.T) {
	p := &configPartition{t: t}
	for i := range maxDrainedZones {
		must.Eq(t, "ok", p.applyZone("empty", fmt.Sprint("zone-", i), "").Code)
	}
	before := p.value
	for _, zone := range []string{"", string(make([]byte, maxZoneNameBytes+1)), "a\x00b", "a\nb", "\xff", "one more"} {
		r := p.applyZone("empty", zone, "bad")
		must.Eq(t, "invalid", r.Code, must.Sprintf("%q", zone))
		must.Eq(t, "zone", r.Findings[0].Path)
	}
	must.Eq(t, before, p.value)
	must.Eq(t, "ok", p.applyZone("empty", "zone-0", "bad").Code, must.Sprint("a valid edit must be applied although refused edits had the same id"))
}

// Edits that a release before 3 recorded in the body are still recognized after the migration.
func TestBodyOfEarlierReleaseIsMigrated(t *testing.T) {
	configuration, err := proto.Marshal(testTable())
	must.NoError(t, err)
	at := wire.Version{Term: 1, Seq: 4}
	drain := wire.Edit{Op: "empty", Name: "z", EditID: "old"}
	table := testTable()
	table.Revision = 1
	body, err := proto.Marshal(table)
	must.NoError(t, err)
	p := &configPartition{t: t, seq: 9, value: Value{Body: wire.Encode(&wire.ConfigBody{
		DrainedZones: []string{"z"}, Routing: body, Config: configuration, ConfigVersion: at,
		LegacyEdits:     []wire.LegacyEdit{{EditID: "old", Sum: legacyEditSum(&drain), Version: at}},
		LegacyHistory:   []wire.PastConfig{{Version: at, By: "someone"}},
		LegacyRevisions: []wire.LegacyRevision{{Number: 1, Sum: routing.LegacyDigest(putTable(0, 1)), Version: at}},
	})}}
	check := func() {
		must.Eq(t, at, p.applyRouting(putTable(0, 1)).Version)
		must.Eq(t, at, p.apply(&drain).Version)
		must.Eq(t, "conflict", p.apply(&wire.Edit{Op: "refill", Name: "z", EditID: "old"}).Code)
		other := putTable(0, 1)
		other.Whole.Routes[0].TimeoutUs = 2
		must.Eq(t, "lost_race", p.applyRouting(other).Code)
		r := AnswerRead(wire.Versioned{Body: p.value.Body, EditLog: p.value.EditLog}, &wire.Edit{Op: wire.OpHistory})
		editLog, err := ReadEditLog(r.Body)
		must.NoError(t, err)
		must.Eq(t, "someone", editLog.History[0].By)
	}
	check()
	must.Eq(t, "ok", p.applyRouting(putTable(1, 2)).Code)
	check()
	c := p.body()
	must.True(t, c.LegacyEdits == nil && c.LegacyHistory == nil && c.LegacyRevisions == nil, must.Sprint("the legacy fields must be moved to the edit log"))
}

// The size of the body depends on the state in force, not on the number of edits, and the edit log is bounded.
func TestValueStaysBoundedAfterThousandsOfEdits(t *testing.T) {
	edit := putTable(0, 1)
	for i := range 10 {
		r := route(fmt.Sprint("r", i), fmt.Sprintf("/x%d/", i), "p")
		r.Source = make([]byte, 200)
		edit.Whole.Routes = append(edit.Whole.Routes, r)
	}
	p := &configPartition{t: t}
	first := 0
	for i := range int64(5000) {
		edit.Base, edit.Revision = i, i+1
		must.Eq(t, "ok", p.applyRouting(edit).Code)
		if i == 9 {
			first = len(p.value.Body)
		}
		if i == 9 || i == 99 || i == 999 || i == 4999 {
			t.Logf("%d changes: body %d bytes, edit log %d bytes", i+1, len(p.value.Body), len(p.value.EditLog))
		}
	}
	must.Less(t, first+16, len(p.value.Body))
	must.Less(t, 100_000, len(p.value.EditLog))
}

func TestHistoryIsBoundedInBytesAndNumber(t *testing.T) {
	big := make([]byte, maxHistoryBytes/2+1)
	var history []wire.PastConfig
	for i := range 5 {
		history = boundHistory(append(history, wire.PastConfig{Version: wire.Version{Seq: uint64(i)}, Config: big}))
		must.Len(t, 1, history)
		must.Eq(t, uint64(i), history[0].Version.Seq, must.Sprint("the configuration in force must be kept"))
	}
	for i := range maxHistory + 3 {
		history = boundHistory(append(history, wire.PastConfig{Version: wire.Version{Seq: uint64(i)}}))
	}
	must.Len(t, maxHistory, history)
}
