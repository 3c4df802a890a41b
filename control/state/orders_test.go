// One number for two orders, one order sent twice, orders that come late, and
// what is known of them after thousands more.

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

const sheetText = `{"services":[{"index":"a","capacity":%d,"required_share":75,"deadline_us":"500000","max_deadline_us":1000000,"hedge_us":40000,"ramp_us":1000000}],
 "rows":[{"index":"a","kind":"search","share":70},{"index":"a","kind":"read","share":30,"ceiling":50}],"bookings":[]}`

func (p *part0) sheet(base wire.Version, capacity int, id string) wire.EditReply {
	p.t.Helper()
	return p.judge(&wire.Edit{Op: "put", Strict: true, Base: base, Body: fmt.Appendf(nil, sheetText, capacity), EditID: id})
}

// patched changes one route, built on a revision.
func patched(base, revision, timeout int64) *routingpb.RoutingEdit {
	r := route("a", "/a/", "p")
	r.TimeoutUs = timeout
	return &routingpb.RoutingEdit{Base: base, Revision: revision, Upsert: &routingpb.RoutingTable{Routes: []*routingpb.Route{r}}}
}

// Every pair of different orders under one number: one is taken, and the other one never.
func TestOneNumberIsTakenOnce(t *testing.T) {
	other := whole(1, 7)
	other.Whole.Routes[0].TimeoutUs = 9
	orders := map[string]*routingpb.RoutingEdit{
		"whole": whole(1, 7), "another whole": other, "patch": patched(1, 7, 5), "another patch": patched(1, 7, 6),
		"whole on another base": whole(5, 7), "patch on another base": patched(5, 7, 5), "withdrawal": {Base: 1, Revision: 7, WithdrawRoutes: []string{"b"}},
	}
	for first, a := range orders {
		for second, b := range orders {
			if first == second || a.Base != 1 {
				continue
			}
			p := &part0{t: t}
			must.Eq(t, "ok", p.send(whole(0, 1)).Code)
			must.Eq(t, "ok", p.send(a).Code)
			after := p.value
			must.Eq(t, "lost_race", p.send(b).Code, must.Sprint(first, ", then ", second))
			must.Eq(t, after, p.value)
			must.Eq(t, "ok", p.send(a).Code, must.Sprint(first, " again"))
		}
	}
}

// What has the taken number and is built on it is refused as well: the number is not above the current one.
func TestOneNumberOnItself(t *testing.T) {
	p := &part0{t: t}
	must.Eq(t, "ok", p.send(whole(0, 7)).Code)
	must.Eq(t, "invalid", p.send(patched(7, 7, 5)).Code)
	must.Eq(t, "ok", p.send(patched(7, 8, 5)).Code)
}

func TestOrderIsKnownAfterADayOfOthers(t *testing.T) {
	p := &part0{t: t}
	first := p.send(whole(0, 1))
	id := p.zone("empty", "z", "first")
	patch := p.send(patched(1, 2, 5))
	for i := int64(2); i < 1002; i++ {
		must.Eq(t, "ok", p.send(whole(i, i+1)).Code)
		must.Eq(t, "ok", p.zone("empty", fmt.Sprint("z", i%7), fmt.Sprint("edit-", i)).Code)
	}
	before := p.value
	for _, v := range []struct {
		name        string
		first, then wire.EditReply
	}{
		{"whole", first, p.send(whole(0, 1))},
		{"patch", patch, p.send(patched(1, 2, 5))},
		{"edit id", id, p.zone("empty", "z", "first")},
	} {
		must.Eq(t, "ok", v.then.Code, must.Sprint(v.name))
		must.Eq(t, v.first.Version, v.then.Version, must.Sprint(v.name))
	}
	must.Eq(t, "conflict", p.zone("refill", "z", "first").Code)
	must.Eq(t, before, p.value, must.Sprint("a repeat changes nothing"))
}

// A refusal is not remembered: what became valid, or won after all, is judged by what is in force.
func TestRejectedOrderIsJudgedAnew(t *testing.T) {
	p := &part0{t: t}
	must.Eq(t, "ok", p.send(whole(0, 1)).Code)
	needs := func(base, revision int64) *routingpb.RoutingEdit {
		return &routingpb.RoutingEdit{Base: base, Revision: revision, Upsert: &routingpb.RoutingTable{Routes: []*routingpb.Route{route("c", "/c/", "late")}}}
	}
	must.Eq(t, "invalid", p.send(needs(1, 9)).Code, must.Sprint("no such pool"))
	ahead := patched(2, 10, 5)
	must.Eq(t, "lost_race", p.send(ahead).Code, must.Sprint("built on what is not there yet"))
	late := &routingpb.RoutingTable{Pools: []*routingpb.Pool{{Name: "late"}}}
	must.Eq(t, "ok", p.send(&routingpb.RoutingEdit{Base: 1, Revision: 2, Upsert: late}).Code)
	must.Eq(t, "ok", p.send(ahead).Code)
	must.Eq(t, "ok", p.send(needs(10, 11)).Code)

	sheet := p.sheet(wire.Version{Term: 8, Seq: 8}, 100, "sheet")
	must.Eq(t, "lost_race", sheet.Code)
	must.Eq(t, "ok", p.sheet(wire.Version{}, 100, "sheet").Code, must.Sprint("the same id, sent again on the right base"))
}

// An order that a cut held up while others were taken.
func TestLateOrderDoesNothing(t *testing.T) {
	p := &part0{t: t}
	must.Eq(t, "ok", p.send(whole(0, 1)).Code)
	base := p.zoneVersion("z")
	late := wire.Edit{Op: "empty", Name: "z", EditID: "late", Base: base}
	must.Eq(t, "ok", p.zone("refill", "z", "newer").Code, must.Sprint("it changes nothing and is acknowledged"))
	must.Eq(t, wire.CodeStale, p.judge(&late).Code)
	must.SliceEmpty(t, p.drained())
	must.Eq(t, "ok", p.zone("empty", "other", "of another zone").Code)
	must.Eq(t, wire.CodeStale, p.judge(&late).Code)
	must.Eq(t, []string{"other"}, p.drained())

	lateTable, lateItems := patched(1, 2, 5), patched(1, 3, 6)
	must.Eq(t, "ok", p.send(patched(1, 4, 7)).Code)
	must.Eq(t, "lost_race", p.send(lateTable).Code)
	must.Eq(t, "lost_race", p.send(lateItems).Code)
	must.Eq(t, 7, p.table().Routes[0].TimeoutUs)
}

// A late copy of an order that was taken changes nothing either, though it is acknowledged.
func TestLateCopyOfAnOrderThatWasTaken(t *testing.T) {
	p := &part0{t: t}
	order := wire.Edit{Op: "empty", Name: "z", EditID: "one", Base: p.zoneVersion("z")}
	must.Eq(t, "ok", p.judge(&order).Code)
	must.Eq(t, "ok", p.zone("refill", "z", "two").Code)
	must.Eq(t, "ok", p.judge(&order).Code)
	must.SliceEmpty(t, p.drained())
}

// Zones that were forgotten share a version that is not before any order about them.
func TestLateOrderAboutAForgottenZone(t *testing.T) {
	p := &part0{t: t}
	late := wire.Edit{Op: "empty", Name: "z", EditID: "late", Base: p.zoneVersion("z")}
	must.Eq(t, "ok", p.zone("refill", "z", "").Code)
	for i := range zoneVersionsMost + 5 {
		must.Eq(t, "ok", p.zone("refill", fmt.Sprint("zone-", i), "").Code)
	}
	must.Len(t, zoneVersionsMost, p.ledger().Zones)
	must.Eq(t, wire.CodeStale, p.judge(&late).Code)
	must.Eq(t, "ok", p.zone("empty", "z", "now").Code)
}

func TestBadOrdersAboutZones(t *testing.T) {
	p := &part0{t: t}
	for i := range drainedMost {
		must.Eq(t, "ok", p.zone("empty", fmt.Sprint("zone-", i), "").Code)
	}
	before := p.value
	for _, zone := range []string{"", string(make([]byte, zoneNameMost+1)), "a\x00b", "a\nb", "\xff", "one more"} {
		r := p.zone("empty", zone, "bad")
		must.Eq(t, "invalid", r.Code, must.Sprintf("%q", zone))
		must.Eq(t, "zone", r.Findings[0].Path)
	}
	must.Eq(t, before, p.value)
	must.Eq(t, "ok", p.zone("empty", "zone-0", "bad").Code, must.Sprint("the next order is taken"))
}

// A configuration as releases before 3 wrote it: all that was known of orders is known on.
func TestBodyOfAnEarlierRelease(t *testing.T) {
	order, err := proto.Marshal(tableOf())
	must.NoError(t, err)
	at := wire.Version{Term: 1, Seq: 4}
	taken := wire.Edit{Op: "empty", Name: "z", EditID: "old"}
	table := tableOf()
	table.Revision = 1
	body, err := proto.Marshal(table)
	must.NoError(t, err)
	p := &part0{t: t, seq: 9, value: Value{Body: wire.Encode(&wire.ConfigBody{
		DrainedZones: []string{"z"}, Routing: body, Config: order, ConfigVersion: at,
		LegacyEdits:     []wire.LegacyEdit{{EditID: "old", Sum: legacyEditSum(&taken), Version: at}},
		LegacyHistory:   []wire.PastConfig{{Version: at, By: "someone"}},
		LegacyRevisions: []wire.LegacyRevision{{Number: 1, Sum: routing.LegacyDigest(whole(0, 1)), Version: at}},
	})}}
	check := func() {
		must.Eq(t, at, p.send(whole(0, 1)).Version)
		must.Eq(t, at, p.judge(&taken).Version)
		must.Eq(t, "conflict", p.judge(&wire.Edit{Op: "refill", Name: "z", EditID: "old"}).Code)
		other := whole(0, 1)
		other.Whole.Routes[0].TimeoutUs = 2
		must.Eq(t, "lost_race", p.send(other).Code)
		r := Answer(wire.Versioned{Body: p.value.Body, EditLog: p.value.Ledger}, &wire.Edit{Op: wire.OpHistory})
		ledger, err := ReadLedger(r.Body)
		must.NoError(t, err)
		must.Eq(t, "someone", ledger.History[0].By)
	}
	check()
	must.Eq(t, "ok", p.send(whole(1, 2)).Code)
	check()
	c, err := ReadConfig(p.value.Body)
	must.NoError(t, err)
	must.True(t, c.LegacyEdits == nil && c.LegacyHistory == nil && c.LegacyRevisions == nil, must.Sprint("moved to the ledger"))
}

// The body has the size of what is in force, however many changes there were; the ledger is bounded.
func TestSizesAfterManyChanges(t *testing.T) {
	e := whole(0, 1)
	for i := range 10 {
		r := route(fmt.Sprint("r", i), fmt.Sprintf("/x%d/", i), "p")
		r.Source = make([]byte, 200)
		e.Whole.Routes = append(e.Whole.Routes, r)
	}
	p := &part0{t: t}
	first := 0
	for i := range int64(5000) {
		e.Base, e.Revision = i, i+1
		must.Eq(t, "ok", p.send(e).Code)
		if i == 9 {
			first = len(p.value.Body)
		}
		if i == 9 || i == 99 || i == 999 || i == 4999 {
			t.Logf("%d changes: body %d bytes, ledger %d bytes", i+1, len(p.value.Body), len(p.value.Ledger))
		}
	}
	must.Less(t, first+16, len(p.value.Body))
	must.Less(t, 100_000, len(p.value.Ledger))
}

func TestHistoryIsBoundedInBytes(t *testing.T) {
	big := make([]byte, historyBytesMost/2+1)
	var history []wire.PastConfig
	for i := range 5 {
		history = boundHistory(append(history, wire.PastConfig{Version: wire.Version{Seq: uint64(i)}, Config: big}))
		must.Len(t, 1, history)
		must.Eq(t, uint64(i), history[0].Version.Seq, must.Sprint("the one in force stays"))
	}
	for i := range historyMost + 3 {
		history = boundHistory(append(history, wire.PastConfig{Version: wire.Version{Seq: uint64(i)}}))
	}
	must.Len(t, historyMost, history)
}
