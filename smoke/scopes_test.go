// Test of the operators' token scopes: every endpoint is called under every scope.

package smoke

import (
	"os"
	"path/filepath"

	"github.com/shoenig/test/must"
)

const tokensFile = `{"tokens":[
 {"token":"token-read","who":"ops-view","scope":"read"},
 {"token":"token-rows","who":"choir-team","scope":"rows","indexes":["scores"]},
 {"token":"token-else","who":"other-team","scope":"rows","indexes":["letters"]},
 {"token":"token-all","who":"ops","scope":"all"}]}`

func (r rig) scopes() {
	base := r.f.OperatorAddrs["node-0"]
	rows := `{"edits":[{"op":"set","table":"bookings","row":{"id":"scoped","index":"scores","kind":"read","slice":1,"starts_us":"1","ends_us":"2"}}]}`
	// want holds the status under the scopes read, rows of the edited index, rows of another index, and all.
	for _, c := range []struct {
		method, path, body string
		want               [4]int
	}{
		{"GET", "/v1/sheet", "", [4]int{200, 200, 200, 200}},
		{"POST", "/v1/sheet/check", `{"rows":[]}`, [4]int{200, 200, 200, 200}},
		{"GET", "/v1/sheet/history", "", [4]int{200, 200, 200, 200}},
		{"GET", "/v1/members", "", [4]int{200, 200, 200, 200}},
		{"GET", "/v1/replicas", "", [4]int{200, 200, 200, 200}},
		{"GET", "/v1/servers", "", [4]int{200, 200, 200, 200}},
		{"GET", "/v1/explain/node-0-ffffff", "", [4]int{404, 404, 404, 404}},
		{"PATCH", "/v1/sheet", rows, [4]int{403, 200, 403, 200}},
		{"PUT", "/v1/sheet", `{}`, [4]int{403, 403, 403, 412}},
		{"POST", "/v1/sheet/return/9.9", "", [4]int{403, 403, 403, 400}},
		{"POST", "/v1/zones/z9/refill", "", [4]int{403, 403, 403, 200}},
		{"POST", "/v1/indexes/scores/cut", `{"cut":"c1","shards":9}`, [4]int{403, 403, 403, 400}},
		{"POST", "/v1/parts/0/rebuild", "", [4]int{403, 403, 403, 400}},
	} {
		for i, token := range []string{"token-read", "token-rows", "token-else", "token-all"} {
			stamp := "0.7"
			if c.method == "PATCH" || c.path == "/v1/sheet/return/9.9" {
				_, _, now := r.call("GET", base+"/v1/sheet", "")
				stamp = now["stamp"].(string)
			}
			status, _, got := r.call(c.method, base+c.path, c.body, "Authorization", "Bearer "+token, "If-Match", stamp)
			must.Eq(r.t, c.want[i], status, must.Sprintf("%s %s under %s: %v", c.method, c.path, token, got))
			if status == 403 {
				must.Eq(r.t, "out_of_scope", got["name"].(string))
				must.StrContains(r.t, got["message"].(string), "lacks")
			}
		}
	}
	code, out := r.admin("admin", "sheet", "history")
	must.Eq(r.t, 0, code)
	must.StrContains(r.t, out, "choir-team", must.Sprint("the history must name the owner of the token"))
	// A new tokens file is applied without a restart. An invalid file is ignored.
	file := filepath.Join(r.dir, "tokens.json")
	must.NoError(r.t, os.WriteFile(file, []byte(`{"tokens":[{"token":"x"}]}`), 0o600))
	must.NoError(r.t, os.WriteFile(file, []byte(`{"tokens":[{"token":"token-new","who":"ops","scope":"read"}]}`), 0o600))
	for {
		status, _, _ := r.call("GET", base+"/v1/members", "", "Authorization", "Bearer token-new")
		if status == 200 {
			break
		}
		must.Eq(r.t, 401, status, must.Sprint("until the new tokens are applied, the new token must be refused"))
	}
	status, _, _ := r.call("GET", base+"/v1/members", "", "Authorization", "Bearer token-all")
	must.Eq(r.t, 401, status, must.Sprint("a token that is not in the new file must be refused"))
}
