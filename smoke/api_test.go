// Tests of the APIs and of the operator's commands with a small fleet of real processes: the status and form of
// responses and the exit codes of commands, for valid and invalid input.

package smoke

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/lab/fleet"
)

const token = "s3cret"

type rig struct {
	t   *testing.T
	f   *fleet.Fleet
	bin string
	dir string
}

func (r rig) call(method, url, body string, head ...string) (int, http.Header, map[string]any) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	must.NoError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(head); i += 2 {
		req.Header.Set(head[i], head[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(r.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(r.t, err)
	out := map[string]any{}
	if bytes.HasPrefix(b, []byte("{")) {
		must.NoError(r.t, json.Unmarshal(b, &out), must.Sprint(string(b)))
	}
	return resp.StatusCode, resp.Header, out
}

// admin runs a wallport command with node-1 as its operator address, and returns the exit code and the output.
func (r rig) admin(args ...string) (int, string) {
	cmd := exec.Command(filepath.Join(r.bin, "wallport"), args...)
	cmd.Env = append(os.Environ(), "WALLPORT_OPERATOR="+r.f.OperatorAddrs["node-1"], "WALLPORT_OPERATOR_TOKEN="+token)
	out, err := cmd.CombinedOutput()
	var x *exec.ExitError
	if errors.As(err, &x) {
		return x.ExitCode(), string(out)
	}
	must.NoError(r.t, err)
	return 0, string(out)
}

func TestAPIs(t *testing.T) {
	if testing.Short() {
		t.Skip("tests with real processes are skipped in -short mode")
	}
	r := rig{t: t, bin: build(t), dir: t.TempDir()}
	tokens := filepath.Join(r.dir, "tokens.json")
	must.NoError(t, os.WriteFile(tokens, []byte(tokensFile), 0o600))
	r.f = fleet.New(fleet.Options{Shape: fleet.Shapes["small"], Dir: r.dir, Bin: r.bin, Token: token, Tokens: tokens, Secret: "fleet"})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	defer r.f.Down()
	must.NoError(t, r.f.Up(ctx))
	t.Run("caller", func(t *testing.T) { r.t = t; r.callerFaults() })
	t.Run("operator", func(t *testing.T) { r.t = t; r.operatorFaults() })
	t.Run("admin", func(t *testing.T) { r.t = t; r.commands() })
	t.Run("replicas", func(t *testing.T) { r.t = t; r.replicas() })
	t.Run("ceiling", func(t *testing.T) { r.t = t; r.ceiling() })
	t.Run("scopes", func(t *testing.T) { r.t = t; r.scopes() })
	t.Run("explain", func(t *testing.T) { r.t = t; r.explain() })
}

func (r rig) callerFaults() {
	base := r.f.Nodes[0].Caller + "/v1/indexes/"
	for _, c := range []struct {
		method, path, body, name string
		status                   int
	}{
		{"POST", "scores/search", `{`, "malformed", 400},
		{"POST", "scores/search", `{"limit":3}`, "malformed", 400},
		{"POST", "scores/search", `{"query":"q","limit":0}`, "malformed", 400},
		{"POST", "scores/search", `{"query":"q","deadline_us":5}`, "malformed", 400},
		{"POST", "nowhere/search", `{"query":"q"}`, "unknown", 404},
		{"GET", "scores/records/no-such-record", ``, "unknown", 404},
		{"POST", "scores/search", `{"query":"` + strings.Repeat("x", 200<<10) + `"}`, "oversize", 413},
		{"POST", "scores/records/rec-0001/parts/-1", `{}`, "malformed", 400},
	} {
		status, _, got := r.call(c.method, base+c.path, c.body)
		must.Eq(r.t, c.status, status, must.Sprintf("%s %s %v", c.method, c.path, got))
		must.Eq(r.t, c.name, got["name"].(string), must.Sprintf("%.80s", c.body))
		must.Eq(r.t, "no", got["ran"].(string))
	}
	status, _, got := r.call("POST", base+"scores/search", `{"query":"q","limit":3}`)
	must.Eq(r.t, 200, status)
	must.Eq(r.t, 3, len(got["records"].([]any)))
	must.Eq(r.t, "c1", got["cut"].(string))
}

func (r rig) operatorFaults() {
	base := r.f.OperatorAddrs["node-0"]
	status, _, got := r.call("PUT", base+"/v1/sheet", `{"services":[]}`)
	must.Eq(r.t, 400, status, must.Sprint("PUT /v1/sheet without If-Match must be refused"))
	must.StrContains(r.t, got["findings"].([]any)[0].(map[string]any)["place"].(string), "If-Match")
	status, _, got = r.call("PUT", base+"/v1/sheet", `{"services":[]}`, "If-Match", "0.7")
	must.Eq(r.t, 412, status)
	stamp := got["stamp"].(string)
	must.NotEq(r.t, "", stamp)
	status, _, got = r.call("PUT", base+"/v1/sheet", `{"rows":[{"index":"x","kind":"y","share":-1,"q":2}],"zeilen":[]}`, "If-Match", stamp)
	must.Eq(r.t, 400, status)
	must.Greater(r.t, 1, len(got["findings"].([]any)))
	for _, c := range []struct{ method, path, body, place string }{
		{"PUT", "/v1/sheet", `{"rows":[{"index":"a","index":"b"}]}`, "rows[0].index"},
		{"POST", "/v1/sheet/check", `{"rows":[],"rows":[]}`, "rows"},
		{"PATCH", "/v1/sheet", `{"edits":[{"op":"set","table":"rows","row":{"share":1,"share":2}}]}`, "edits[0].row.share"},
		{"POST", "/v1/indexes/scores/cut", `{"cut":"c8","shards":4,"shards":8}`, "shards"},
	} {
		status, _, got = r.call(c.method, base+c.path, c.body, "If-Match", stamp)
		must.Eq(r.t, 400, status, must.Sprint(c.body))
		must.Eq(r.t, c.place, got["findings"].([]any)[0].(map[string]any)["place"].(string))
	}
	status, _, now := r.call("GET", base+"/v1/sheet", "")
	must.Eq(r.t, 200, status)
	must.Eq(r.t, stamp, now["stamp"].(string), must.Sprint("refused edits must not change the configuration version"))
	for _, wrong := range []string{"", "Bearer ", "Bearer s3cre", "Bearer s3cret2", "s3cretx"} {
		for _, c := range []struct{ method, path, body string }{
			{"GET", "/v1/sheet", ""}, {"PUT", "/v1/sheet", `{}`}, {"POST", "/v1/zones/z1/empty", ""}, {"GET", "/v1/members", ""},
			{"POST", "/v1/indexes/scores/cut", `{"cut":"c9","shards":9}`}, {"GET", "/v1/explain/node-0-1", ""}, {"GET", "/v1/sheet/history", ""},
		} {
			status, _, got := r.call(c.method, base+c.path, c.body, "Authorization", wrong, "If-Match", stamp)
			must.Eq(r.t, 401, status, must.Sprintf("%q %s %v", wrong, c.path, got))
			must.Eq(r.t, "forbidden", got["name"].(string))
		}
	}
	status, _, _ = r.call("GET", base+"/condition", "")
	must.Eq(r.t, 200, status)
	status, _, _ = r.call("GET", base+"/metrics", "")
	must.Eq(r.t, 200, status)
}

func (r rig) commands() {
	file := filepath.Join(r.dir, "sheet.json")
	write := func(text string) { must.NoError(r.t, os.WriteFile(file, []byte(text), 0o600)) }
	expect := func(code int, contains string, args ...string) {
		r.t.Helper()
		got, out := r.admin(args...)
		must.Eq(r.t, code, got, must.Sprintf("%v: %s", args, out))
		must.StrContains(r.t, out, contains, must.Sprintf("%v", args))
	}
	good := string(r.f.Config())
	write(good)
	expect(0, "node-2", "admin", "members")
	expect(0, "c1-0-0", "admin", "servers")
	expect(0, "stamp=", "admin", "sheet", "get")
	expect(0, "no findings", "admin", "sheet", "check", file)
	expect(0, "in_force=3", "admin", "sheet", "put", file)
	expect(0, "no difference", "admin", "sheet", "diff", file)
	write(strings.Replace(good, `"capacity":1000`, `"capacity":2500`, 1))
	expect(0, "capacity=1000->2500", "admin", "sheet", "diff", file)
	expect(4, "lost_race", "admin", "sheet", "put", "--based-on", "0.1", file)
	expect(0, "in_force=3", "admin", "sheet", "put", "--edit-id", "once", file)
	expect(0, "in_force=3", "admin", "sheet", "put", "--edit-id", "once", file)
	expect(0, "capacity=1000->2500", "admin", "sheet", "history")
	expect(3, "not in the history", "admin", "sheet", "return", "9.9")
	_, history := r.admin("admin", "sheet", "history")
	first := strings.Fields(strings.TrimPrefix(history, "stamp="))[0]
	expect(0, "in_force=3", "admin", "sheet", "return", first)
	write(good)
	expect(0, "no difference", "admin", "sheet", "diff", file)
	expect(3, "the part has an owner", "admin", "rebuild", "0", "--the-old-disks-are-gone")
	expect(2, "the-old-disks-are-gone", "admin", "rebuild", "0")
	expect(3, "", "admin", "rebuild", "9", "--the-old-disks-are-gone")
	write(`[{"op":"set","table":"rows","row":{"index":"scores","kind":"read","share":90}}]`)
	expect(3, "add up to 170", "admin", "sheet", "edit", file)
	write(`{`)
	expect(3, "not JSON", "admin", "sheet", "put", file)
	expect(2, "no such file", "admin", "sheet", "put", file+".gone")
	expect(0, "in_force=3", "admin", "booking", "add", "--id", "class", "--index", "scores", "--kind", "search", "--slice", "40",
		"--from", "2030-01-02T08:00:00Z", "--to", "2030-01-02T12:00:00Z")
	expect(3, "take 101%", "admin", "booking", "add", "--id", "other", "--index", "scores", "--kind", "read", "--slice", "61",
		"--from", "2030-01-02T09:00:00Z", "--to", "2030-01-02T10:00:00Z")
	expect(3, "not after its start", "admin", "booking", "add", "--id", "back", "--index", "scores", "--kind", "read", "--slice", "1",
		"--from", "2030-01-02T09:00:00Z", "--to", "2030-01-02T08:00:00Z")
	expect(0, "in_force=3", "admin", "booking", "remove", "--id", "class")
	expect(3, "no such row", "admin", "booking", "remove", "--id", "class")
	expect(0, "in_force=3", "admin", "zone", "empty", "z1")
	expect(0, "emptied", "admin", "servers")
	expect(0, "in_force=3", "admin", "zone", "refill", "z1")
	expect(3, "another number of shards", "admin", "cut", "scores", "c1", "9")
	expect(2, "unknown flag", "admin", "members", "--colour")
	expect(1, "", "admin", "members", "--operator", "127.0.0.1:1")
	expect(3, "is needed", "node", "--zone", "z1")
	expect(0, "wallport ", "--version")
}
