package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// load loads settings from a file with the given text, on top of the settings that flags would have set.
func load(t *testing.T, role, text string, e Settings) (Settings, Findings) {
	t.Helper()
	e.EnvFile = filepath.Join(t.TempDir(), "env")
	must.NoError(t, os.WriteFile(e.EnvFile, []byte(text), 0o600))
	if e.LogLevel == "" {
		e.LogLevel, e.PollsPer10s = "info", 20
	}
	found := Load(&e, role)
	return e, found
}

const good = "mesh=10.0.0.1:4001\noperator=10.0.0.1:9001\ncaller=10.0.0.1:8080\nzone=z1\nseed=10.0.0.2:4001\n# a comment\nseed=10.0.0.3:4001\n"

func TestFlagsOverrideFile(t *testing.T) {
	e, found := load(t, "node", good, Settings{Zone: "z9"})
	must.SliceEmpty(t, found)
	must.Eq(t, "z9", e.Zone)
	must.Eq(t, []string{"10.0.0.2:4001", "10.0.0.3:4001"}, e.Seeds)
	must.Eq(t, "node-10.0.0.1:4001", e.Name)
}

func TestLoadReportsAllFindings(t *testing.T) {
	_, found := load(t, "core", "mesh=nowhere\nzone=z1\nzone=z2\ncolour=red\nnonsense\nseed=a\nseed=b\nseed=c\nseed=d\nplatform=ftp://x\ncaller=1.2.3.4:5\n", Settings{})
	var got []string
	for _, f := range found {
		got = append(got, filepath.Base(f.Location))
	}
	must.Eq(t, "env:3 env:4 env:5 caller data mesh operator platform seed seed seed seed seed", strings.Join(got, " "))
	_, found = load(t, "node", "", Settings{EnvFile: "gone", LogLevel: "loud"})
	must.Positive(t, len(found))
}

func TestMeshListenAddress(t *testing.T) {
	e, found := load(t, "node", good, Settings{})
	must.SliceEmpty(t, found)
	must.Eq(t, "10.0.0.1:4001", e.ListenAddress())
	must.False(t, e.SourceIP().IsValid(), must.Sprint("the operating system must choose the source address"))
	e, found = load(t, "node", good+"mesh-listen=192.168.7.1:4002\n", Settings{})
	must.SliceEmpty(t, found)
	must.Eq(t, "192.168.7.1:4002", e.ListenAddress())
	must.Eq(t, "192.168.7.1", e.SourceIP().String())
	e, _ = load(t, "node", good+"mesh-listen=0.0.0.0:4001\n", Settings{})
	must.Eq(t, "0.0.0.0:4001", e.ListenAddress())
	must.False(t, e.SourceIP().IsValid())
	_, found = load(t, "node", good+"mesh-listen=here\n", Settings{})
	must.Eq(t, Findings{{"mesh-listen", "not an IP:port: here"}}, found)
}
