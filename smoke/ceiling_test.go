// Tests of the ceiling (the rate limit) of a request kind, and of the explain command, with real processes.

package smoke

import (
	"os"
	"path/filepath"

	"github.com/shoenig/test/must"
)

// ceiling lowers the ceiling of a request kind and checks that requests over the ceiling get status 429 and
// Retry-After. It then removes the ceiling and checks that a request succeeds.
func (r rig) ceiling() {
	file := filepath.Join(r.dir, "rows.json")
	rows := func(ceiling string) {
		text := `[{"op":"set","table":"rows","row":{"index":"scores","kind":"read","share":20,"ceiling":` + ceiling + `}}]`
		must.NoError(r.t, os.WriteFile(file, []byte(text), 0o600))
		code, out := r.admin("admin", "sheet", "edit", file)
		must.Eq(r.t, 0, code, must.Sprint(out))
	}
	rows("1")
	limited := 0
	for range 60 {
		status, head, got := r.call("GET", r.f.Nodes[0].Caller+"/v1/indexes/scores/records/rec-0001", "")
		if status == 200 {
			continue
		}
		limited++
		must.Eq(r.t, 429, status)
		must.Eq(r.t, "over_ceiling", got["name"].(string))
		must.Eq(r.t, "no", got["ran"].(string))
		must.Eq(r.t, "1", head.Get("Retry-After"))
	}
	must.Positive(r.t, limited)
	rows("0")
	status, _, _ := r.call("GET", r.f.Nodes[0].Caller+"/v1/indexes/scores/records/rec-0001", "")
	must.Eq(r.t, 200, status)
}

func (r rig) explain() {
	_, _, got := r.call("POST", r.f.Nodes[2].Caller+"/v1/indexes/scores/search", `{"query":"q","limit":3}`)
	id := got["inquiry"].(string)
	code, out := r.admin("explain", id)
	must.Eq(r.t, 0, code, must.Sprint(out))
	must.StrContains(r.t, out, `"picked"`)
	must.StrContains(r.t, out, `"let_in"`)
	code, out = r.admin("explain", "node-2-ffffff")
	must.Eq(r.t, 1, code)
	must.StrContains(r.t, out, "no longer kept")
	code, out = r.admin("explain", "nonsense")
	must.Eq(r.t, 3, code, must.Sprint(out))
	code, _ = r.admin("explain", "node-99-1")
	must.Eq(r.t, 1, code)
}
