package config

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestConflictsNamesConcurrentlyChangedRows(t *testing.T) {
	base, found := Read([]byte(validConfiguration))
	must.SliceEmpty(t, found)
	cases := []struct{ concurrent, edit, conflicts string }{
		{`[{"op":"set","table":"rows","row":{"index":"a","kind":"search","share":60}}]`, `[{"op":"set","table":"rows","row":{"index":"a","kind":"read","share":40}}]`, ""},
		{`[{"op":"set","table":"rows","row":{"index":"a","kind":"search","share":60}}]`, `[{"op":"set","table":"rows","row":{"index":"a","kind":"search","share":50}}]`, "rows a search"},
		{`[{"op":"remove","table":"bookings","row":{"id":"b1"}}]`, `[{"op":"remove","table":"bookings","row":{"id":"b1"}}]`, "bookings b1"},
		{`[{"op":"set","table":"bookings","row":{"id":"b2","index":"a"}}]`, `[{"op":"set","table":"bookings","row":{"id":"b2"}},{"op":"set","table":"bookings","row":{"id":"b2"}}]`, "bookings b2"},
		{`[{"op":"set","table":"bookings","row":{"id":"b2"}}]`, `[{"op":"set","table":"bookings","row":{"id":"b3"}}]`, ""},
		{`[{"op":"set","table":"rows","row":{"index":"a","kind":"search","share":70}}]`, `[{"op":"set","table":"rows","row":{"index":"a","kind":"search","share":50}}]`, ""},
		{`[]`, `{`, ""},
	}
	for _, c := range cases {
		now, found := Apply(base, []byte(c.concurrent))
		must.SliceEmpty(t, found, must.Sprint(c.concurrent))
		must.Eq(t, c.conflicts, findingPaths(Conflicts(base, now, []byte(c.edit))), must.Sprint(c))
	}
}
