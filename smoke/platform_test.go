// Test of a core and a node as real processes with the settings of the users'
// platform. The test serves the member list and a backend itself. It covers the
// first configuration, a request, a zone's evacuation, changed and invalid
// settings, and the graceful stop.

package smoke

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ports finds n consecutive free ports and returns the first.
func ports(t *testing.T, n int) int {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		first := l.Addr().(*net.TCPAddr).Port
		open := []net.Listener{l}
		for i := 1; i < n; i++ {
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			l.Close()
		}
		if len(open) == n {
			return first
		}
	}
	t.Fatal("found no consecutive free ports in 100 tries")
	return 0
}

func settings(first int, list, seeds, data string) string {
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	return fmt.Sprintf(`node_name = "edge-z1-1"
ip = "127.0.0.1"
zone = "z1"
ephemeral_ports = [%d,%d]
seed_nodes = [%s]
bootstrap = true
data_dir = %q
[bind_addresses]
http = %q
readiness = %q
control = %q
[limits]
memory_mb = 284
[fault_tolerance]
machines = 0
[timers]
grace_s = 6
retry_budget = 0.2
retry_window_s = 10
retry_allowance = 60
[platform_api]
address = %q
rate_per_s = 44.0
`, first, first+3, seeds, data, at(4), at(5), at(6), list)
}

// output is a buffer for the output of a process, safe for concurrent use.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// waitFor polls a condition until it holds. Its timeout of two minutes is generous: only a process that hangs reaches
// it.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("condition not met within two minutes: " + what)
		}
	}
}

func send(method, url, match, body string) (int, http.Header, string) {
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	req.Header.Set("If-Match", match)
	req.Header.Set("Attempt-Id", "a1")
	req.Header.Set("Time-Budget", "5000")
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(b)
}

func TestOnThePlatform(t *testing.T) {
	if testing.Short() {
		t.Skip("tests with real processes are skipped in -short mode")
	}
	bin, dir := build(t), t.TempDir()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Member-Id", "i-1")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if r.URL.Path != "/a/fails" {
			w.Header().Set("Answer-Seal", "seal-of-"+r.URL.Path)
		}
		io.WriteString(w, "from the backend")
	}))
	defer backend.Close()
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"members":[{"member_id":"i-1","pool":"p","address":%q,"zone":"z1","capacity":4,"admin_state":"in_service","slow_start_ms":0}],"next_token":null}`, backend.Listener.Addr())
	}))
	defer list.Close()
	first := ports(t, 7)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", first+i) }
	file := filepath.Join(dir, "settings.toml")
	write := func(seeds, more string) {
		text := settings(first, list.Listener.Addr().String(), seeds, filepath.Join(dir, "data")) + more
		must.NoError(t, os.WriteFile(file+".new", []byte(text), 0o600))
		must.NoError(t, os.Rename(file+".new", file))
	}
	seed := fmt.Sprintf("%q", at(6))
	write(seed, "")
	var procs []*exec.Cmd
	var outs []*output
	for _, role := range []string{"core", "node"} {
		o := &output{}
		cmd := exec.Command(filepath.Join(bin, "wallport"), role, "--on-platform")
		cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), "WALLPORT_CONFIG="+file), o, o
		must.NoError(t, cmd.Start())
		defer cmd.Process.Kill()
		procs, outs = append(procs, cmd), append(outs, o)
	}
	config := `{"revision":3,"routing_table":[{"name":"r","virtual_host":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":500,"priority":0,"pool":"p","max_retries":2,"new":1}],` +
		`"pools":[{"name":"p","health_probe":"/health","max_connections":80,"slow_start_s":3.0,"ramp_per_s":0.0}]}`
	waitFor(t, "the first configuration is acknowledged", func() bool {
		status, _, _ := send("PUT", at(6)+"/-/config", "0", config)
		return status == 200
	})
	status, _, got := send("GET", at(6)+"/-/config", "", "")
	must.Eq(t, 200, status)
	must.Eq(t, config+"\n", got)
	status, _, _ = send("PUT", at(6)+"/-/config", "0", strings.Replace(config, "5000", "4000", 1))
	must.Eq(t, 412, status)
	waitFor(t, "the node is ready", func() bool { status, _, _ := send("GET", at(5)+"/-/readiness", "", ""); return status == 200 })
	var head http.Header
	waitFor(t, "a request is served", func() bool {
		status, head, got = send("GET", at(4)+"/a/x?y=1", "", "")
		return status == 200
	})
	must.Eq(t, "from the backend", got)
	must.Eq(t, "seal-of-/a/x", head.Get("Answer-Seal"))
	checkFailureIsExplained(t, at(4), at(2), outs[1])
	for _, method := range []string{"POST", "DELETE"} {
		status, _, _ = send(method, at(6)+"/-/evacuate/z1", "", "")
		must.Eq(t, 200, status)
	}

	write(seed, "[broken\n")
	waitFor(t, "core and node refuse the invalid settings", func() bool {
		return strings.Contains(outs[0].String(), "settings_refused") && strings.Contains(outs[1].String(), "settings_refused")
	})
	cmd := exec.Command(filepath.Join(bin, "wallport"), "check-env", "--on-platform", file)
	text, err := cmd.CombinedOutput()
	must.Error(t, err)
	must.Eq(t, 3, cmd.ProcessState.ExitCode())
	must.StrContains(t, string(text), file+":")
	write(seed+`,"127.0.0.2:9"`, "")
	for _, p := range procs {
		must.NoError(t, p.Process.Signal(syscall.SIGHUP))
	}
	waitFor(t, "core and node apply the new seeds", func() bool {
		return strings.Contains(outs[0].String(), "seeds_changed") && strings.Contains(outs[1].String(), "seeds_changed")
	})
	text, err = exec.Command(filepath.Join(bin, "wallport"), "check-env", "--on-platform", "--role", "core", file).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(text)))
	status, _, _ = send("GET", at(5)+"/-/readiness", "", "")
	must.Eq(t, 200, status, must.Sprint("the node must stay ready after invalid and changed settings"))

	for i, p := range procs {
		must.NoError(t, p.Process.Signal(syscall.SIGTERM))
		must.NoError(t, p.Wait(), must.Sprint(outs[i].String()))
		must.StrContains(t, outs[i].String(), "event=stopped")
	}
}
