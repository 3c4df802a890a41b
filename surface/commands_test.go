package surface

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startTimeout bounds the wait for a fleet's files. It is generous: only a core that hangs reaches it.
const startTimeout = time.Minute

// run returns the output of a command, which runs without the test's environment. The command may exit with an error.
func run(t *testing.T, bin string, args ...string) string {
	t.Helper()
	c := exec.Command(bin, args...)
	c.Env = []string{"LC_ALL=C"}
	out, err := c.CombinedOutput()
	if err != nil {
		must.NotNil(t, c.ProcessState, must.Sprint(err))
	}
	return strings.TrimRight(string(out), "\n")
}

var commandsListed = regexp.MustCompile(`(?s)Available commands:\n(.*)$`)

// help returns the help page of a command, followed by those of its sub-commands.
func help(t *testing.T, bin string, words ...string) []string {
	t.Helper()
	page := run(t, bin, append(slices.Clone(words), "--help")...)
	out := []string{"== " + strings.Join(append([]string{filepath.Base(bin)}, words...), " "), page}
	if m := commandsListed.FindStringSubmatch(page); m != nil {
		for _, line := range strings.Split(m[1], "\n") {
			if f := strings.Fields(line); strings.HasPrefix(line, "  ") && len(f) > 0 {
				out = append(out, help(t, bin, append(slices.Clone(words), f[0])...)...)
			}
		}
	}
	return out
}

func TestCommandsAreUnchanged(t *testing.T) {
	if testing.Short() {
		t.Skip("tests with real processes are skipped in -short mode")
	}
	bin := t.TempDir()
	for _, p := range []string{"wallport", "lab"} {
		c := exec.Command("go", "build", "-o", filepath.Join(bin, p), "./cmd/"+p)
		c.Dir = root(t)
		out, err := c.CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	product := filepath.Join(bin, "wallport")
	for _, p := range []string{"wallport", "lab"} {
		t.Run("help of "+p, func(t *testing.T) { goldenLines(t, "help_"+p+".txt", help(t, filepath.Join(bin, p))) })
	}
	t.Run("keys of an env file", func(t *testing.T) { goldenSet(t, "env_keys.txt", envKeys(t, product)) })
	t.Run("settings that are needed", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "settings.toml")
		must.NoError(t, os.WriteFile(file, nil, 0o600))
		var lines []string
		for _, role := range []string{"node", "core"} {
			found := run(t, product, "check-env", "--on-platform", "--role", role, file)
			lines = append(lines, "== "+role, strings.ReplaceAll(found, file+": ", ""))
		}
		goldenLines(t, "settings_needed.txt", lines)
	})
	t.Run("files and figures of a fleet", func(t *testing.T) { fleet(t, product) })
}

// envKeys returns a line for each flag of a node: its name and whether an env file may set it.
func envKeys(t *testing.T, bin string) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "env")
	var out []string
	for _, m := range regexp.MustCompile(`(?m)^ +--([a-z0-9-]+)`).FindAllStringSubmatch(run(t, bin, "node", "--help"), -1) {
		must.NoError(t, os.WriteFile(file, []byte(m[1]+"=1\n"), 0o600))
		known := !strings.Contains(run(t, bin, "check-env", file), "unknown key "+m[1])
		out = append(out, fmt.Sprintf("%s %t", m[1], known))
	}
	return out
}

// freePorts returns n loopback addresses whose ports were free during the call.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

var digits = regexp.MustCompile(`[0-9]+`)

// fleet starts three cores, waits until they have written a version (part-N.stamp-N-N) and a vote (part-N.promise) of a
// partition, and compares the names of all files. It also compares the names of the metrics that a core exports from
// its start.
func fleet(t *testing.T, bin string) {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	const cores = 3
	at, dir := freePorts(t, 2*cores), t.TempDir()
	for i := range cores {
		c := exec.CommandContext(ctx, bin, "core", "--zone", fmt.Sprint("z", i), "--mesh", at[i], "--operator", at[cores+i], "--seed", at[0], "--data", filepath.Join(dir, fmt.Sprint(i)))
		must.NoError(t, c.Start())
		t.Cleanup(func() {
			c.Process.Kill()
			c.Wait()
		})
	}
	var names []string
	for tick := time.NewTicker(50 * time.Millisecond); ; {
		names = filesOf(t, dir)
		if slices.Contains(names, "part-N.stamp-N-N") && slices.Contains(names, "part-N.promise") {
			break
		}
		select {
		case <-ctx.Done():
			t.Fatalf("no version and vote of a partition were written within %s; got the files %v", startTimeout, names)
		case <-tick.C:
		}
	}
	// A core writes a probe file if its disk was slow. Whether the file exists therefore depends on the machine, and
	// its name is always added.
	goldenSet(t, "files.txt", append(names, "probe"))
	resp, err := http.Get("http://" + at[cores] + "/metrics")
	must.NoError(t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	goldenSet(t, "metrics_page.txt", regexp.MustCompile(`(?m)^wallport_(?:invariant_|frames_(?:in|out)|frame_bytes_|open_|steps|inquiries_read)\S*`).FindAllString(string(page), -1))
}

// filesOf returns the names of the files in the folders below dir, with N in place of each number.
func filesOf(t *testing.T, dir string) []string {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(dir, "*", "*"))
	must.NoError(t, err)
	var out []string
	for _, f := range list {
		if name := digits.ReplaceAllString(filepath.Base(f), "N"); !strings.HasSuffix(name, ".aside") {
			out = append(out, name)
		}
	}
	return out
}
