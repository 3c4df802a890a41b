package config

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
	"wallport/runtime/wire"
)

const validConfiguration = `{
 "services":[{"index":"a","capacity":100,"required_share":75,"deadline_us":"500000","max_deadline_us":1000000,"hedge_us":40000,"ramp_us":1000000}],
 "rows":[{"index":"a","kind":"search","share":70},{"index":"a","kind":"read","share":30,"ceiling":50}],
 "bookings":[{"id":"b1","index":"a","kind":"search","slice":60,"starts_us":100,"ends_us":200}]}`

// findingPaths returns the paths of findings, separated by spaces.
func findingPaths(found []wire.Finding) string {
	var paths []string
	for _, finding := range found {
		paths = append(paths, finding.Path)
	}
	return strings.Join(paths, " ")
}

func TestValidConfigurationHasNoFindings(t *testing.T) {
	s, found := Read([]byte(validConfiguration))
	must.SliceEmpty(t, found)
	must.SliceEmpty(t, Check(s))
	again, found := Read(JSON(s))
	must.SliceEmpty(t, found)
	must.Eq(t, s.String(), again.String())
}

func TestReadFindsAllFaultsAtOnce(t *testing.T) {
	cases := map[string]string{
		`[]`:                                   "sheet",
		`{"services":1}`:                       "services",
		`{"servces":[]}`:                       "servces",
		`{"rows":[{"share":"x"},{"k":1}]}`:     "rows[0].share rows[1].k",
		`{"rows":[{"index":"a","index":"b"}]}`: "rows[0].index",
		`{"rows":[3],"bookings":[{"id":{}}]}`:  "rows[0] bookings[0].id",
		`{"rows":[]} x`:                        "sheet",
		`{"rows":[`:                            "sheet",
		``:                                     "sheet",
	}
	for text, want := range cases {
		_, found := Read([]byte(text))
		must.Eq(t, want, findingPaths(found), must.Sprint(text))
	}
}

func TestCheckFindsAllFaultsAtOnce(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{`"share":70`, `"share":60`, "services[0].index"},
		{`"ceiling":50`, `"ceiling":-1`, "rows[1].ceiling"},
		{`"kind":"read"`, `"kind":"search"`, "rows[1] services[0].index"},
		{`"kind":"read"`, `"kind":"write"`, "rows[1].kind"},
		{`"ends_us":200`, `"ends_us":100`, "bookings[0].ends_us"},
		{`"slice":60`, `"slice":0`, "bookings[0].slice"},
		{`"required_share":75`, `"required_share":101`, "services[0].required_share"},
		{`"max_deadline_us":1000000`, `"max_deadline_us":1000`, "services[0].max_deadline_us"},
		{`"capacity":100`, `"capacity":-5`, "services[0].capacity"},
		{`"hedge_us":40000`, `"hedge_us":0`, "services[0].hedge_us"},
		{`"ramp_us":1000000`, `"ramp_us":-1`, "services[0].ramp_us"},
		{`{"index":"a","kind":"search","share":70}`, `{"index":"z","kind":"search","share":70}`, "rows[0].index services[0].index"},
		{`"bookings":[`, `"bookings":[{"id":"b1","index":"a","kind":"read","slice":50,"starts_us":150,"ends_us":300},`, "bookings[1].id bookings[0].slice"},
		{`"bookings":[`, `"bookings":[{"id":"b0","index":"a","kind":"read","slice":40,"starts_us":150,"ends_us":300},`, ""},
		{`"bookings":[`, `"bookings":[{"id":"b0","index":"a","kind":"read","slice":90,"starts_us":200,"ends_us":300},`, ""},
	}
	for _, c := range cases {
		must.StrContains(t, validConfiguration, c.from)
		s, found := Read([]byte(strings.Replace(validConfiguration, c.from, c.to, 1)))
		must.SliceEmpty(t, found)
		must.Eq(t, c.want, findingPaths(Check(s)), must.Sprint(c.to))
	}
}

func TestApplyIsAllOrNothing(t *testing.T) {
	s, _ := Read([]byte(validConfiguration))
	before := s.String()
	out, found := Apply(s, []byte(`[{"op":"set","table":"rows","row":{"index":"a","kind":"read","share":20}},
		{"op":"set","table":"rows","row":{"index":"a","kind":"part","share":10}},
		{"op":"remove","table":"bookings","row":{"id":"b1"}}]`))
	must.SliceEmpty(t, found)
	must.SliceEmpty(t, Check(out))
	must.Eq(t, 3, len(out.Rows))
	must.Eq(t, 0, len(out.Bookings))
	must.Eq(t, before, s.String(), must.Sprint("Apply must not change the configuration that it is given"))
	_, found = Apply(s, []byte(`[{"op":"set","table":"rows","row":{"index":"a","kind":"read","share":20}},
		{"op":"remove","table":"bookings","row":{"id":"nope"}},{"op":"paint","table":"rows","row":{}},{"op":"set","table":"rows","row":{"q":1}}]`))
	must.Eq(t, "edits[1].row edits[2] edits[3].row.q", findingPaths(found))
	_, found = Apply(new(configpb.Sheet), []byte(`{}`))
	must.Eq(t, "edits", findingPaths(found))
}

func TestVersionText(t *testing.T) {
	s, ok := ParseVersion(0, `"3.14"`)
	must.True(t, ok)
	must.Eq(t, wire.Version{Term: 3, Seq: 14}, s)
	must.Eq(t, "3.14", VersionText(s))
	_, ok = ParseVersion(0, "x")
	must.False(t, ok)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validConfiguration))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, found := Read(b); len(found) == 0 {
			Check(s)
		}
	})
}

func TestDuplicateNames(t *testing.T) {
	cases := map[string]string{
		validConfiguration: "",
		`{"services":[{"index":"a","index":"b"}],"services":[]}`:   "services[0].index services",
		`{"edits":[{"op":"set","row":{"k":1,"k":{"x":1,"x":2}}}]}`: "edits[0].row.k edits[0].row.k.x",
		`[{"a":1},{"a":1}]`: "",
		`{"a":1,"a":`:       "a",
		`x`:                 "",
		``:                  "",
	}
	for text, want := range cases {
		must.Eq(t, want, findingPaths(DuplicateNames([]byte(text))), must.Sprint(text))
	}
}

// TestNumbersOfASheetAtTheirEnds guards against a number that is accepted as another, or whose finding has no place: each
// number of a sheet is either in it as it was written, or a finding names its field.
func TestNumbersOfASheetAtTheirEnds(t *testing.T) {
	for _, field := range []struct{ path, text, accepted string }{
		{"services[0].capacity", `"capacity":100`, "1 100 1000000 9223372036854775807"},
		{"services[0].required_share", `"required_share":75`, "1 100"},
		{"services[0].deadline_us", `"deadline_us":"500000"`, "1000000"},
		{"services[0].max_deadline_us", `"max_deadline_us":1000000`, "1000000"},
		{"services[0].hedge_us", `"hedge_us":40000`, "1000000"},
		{"services[0].ramp_us", `"ramp_us":1000000`, "0 1 100 1000000"},
		{"rows[1].ceiling", `"ceiling":50`, "0 1 100 1000000 9223372036854775807"},
		{"bookings[0].slice", `"slice":60`, "1 100"},
		{"bookings[0].starts_us", `"starts_us":100`, "0 1 100"},
		{"bookings[0].ends_us", `"ends_us":200`, "1000000 9223372036854775807"},
	} {
		name := field.path[strings.IndexByte(field.path, '.')+1:]
		for _, number := range []string{"0", "-1", "1", "100", "1000000", "1.5", "1e30", "-9223372036854775808", "9223372036854775807", "9223372036854775808"} {
			s, found := Read([]byte(strings.Replace(validConfiguration, field.text, `"`+name+`":`+number, 1)))
			found = append(found, Check(s)...)
			if slices.Contains(strings.Fields(field.accepted), number) {
				must.SliceEmpty(t, found, must.Sprint(field.path, number))
				if number != "0" {
					must.StrContains(t, string(JSON(s)), number)
				}
				continue
			}
			must.SliceNotEmpty(t, found, must.Sprint(field.path, number))
			table := field.path[:strings.IndexByte(field.path, '.')]
			must.StrHasPrefix(t, table, found[0].Path, must.Sprint(field.path, number))
		}
	}
}
