package snapshot

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/runtime/wire"
)

func reportEntry(origin, backend, state string, withdrawn bool) mesh.Stored {
	body := wire.Encode(&wire.HealthReport{State: state})
	return mesh.Stored{Origin: origin, Entry: &wire.Entry{Type: mesh.EntryHealthReport, ID: backend, Tombstone: withdrawn, Body: body}}
}

func states(of []healthReport) (out []string) {
	for _, o := range of {
		out = append(out, o.origin+" "+o.State)
	}
	return out
}

func TestHealthReportsAreKeptByBackend(t *testing.T) {
	all := healthReports{}
	all.apply(reportEntry("b", "s1", "lost", false))
	all.apply(reportEntry("a", "s1", "ok", false))
	all.apply(reportEntry("a", "s2", "slow", false))
	must.Eq(t, []string{"a ok", "b lost"}, states(all["s1"]))
	all.apply(reportEntry("b", "s1", "ok", false))
	must.Eq(t, []string{"a ok", "b ok"}, states(all["s1"]))
	all.apply(reportEntry("b", "s1", "ok", true))
	must.Eq(t, []string{"a ok"}, states(all["s1"]))
	all.apply(reportEntry("c", "s3", "ok", true))
	must.MapNotContainsKey(t, all, "s3")
	all.forget("a")
	must.MapEmpty(t, all)
}

func TestUnreadableHealthReportIsIgnored(t *testing.T) {
	all := healthReports{}
	all.apply(reportEntry("a", "s1", "lost", false))
	v := reportEntry("a", "s1", "", false)
	v.Entry.Body = []byte("x")
	all.apply(v)
	must.MapEmpty(t, all)
}
