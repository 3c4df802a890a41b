package process

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// freeAddr returns a loopback address with a port that is currently free.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T, e settings.Settings) *Process {
	t.Helper()
	p, err := Start(Config{Settings: e, Role: "node", Log: zap.NewNop()})
	must.NoError(t, err)
	t.Cleanup(p.Stop)
	return p
}

// until polls until a condition holds. It fails the test after 2 minutes, a time that passes only if a process hangs.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for !ok() {
		must.NoError(t, ctx.Err(), must.Sprint("condition not met within 2 minutes: "+what))
		runtime.Gosched()
	}
}

func (p *Process) peers() (n int) {
	p.Do(func(int64) { n = kernel.Find[*mesh.Mesh](p.Kernel).Peers() })
	return n
}

func TestProcessesConnect(t *testing.T) {
	a := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	b := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s", Seeds: []string{a.Kernel.Boot.Settings.Mesh}})
	until(t, "both have one peer", func() bool { return a.peers() == 1 && b.peers() == 1 })
}

func TestProcessesConnectThroughMeshListen(t *testing.T) {
	listenAddr := freeAddr(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	announced := listener.Addr().String()
	a := start(t, settings.Settings{Mesh: announced, MeshListen: listenAddr, FleetSecret: "s"})
	sources := make(chan string, 8)
	go forwardTo(listener, listenAddr, sources)
	t.Cleanup(func() { listener.Close() })
	b := start(t, settings.Settings{Mesh: freeAddr(t), MeshListen: "127.0.0.2:0", FleetSecret: "s", Seeds: []string{announced}})
	until(t, "both have one peer", func() bool { return a.peers() == 1 && b.peers() == 1 })
	host, _, err := net.SplitHostPort(<-sources)
	must.NoError(t, err)
	must.Eq(t, "127.0.0.2", host, must.Sprint("connections must leave from the IP that the mesh listens on"))
}

// forwardTo forwards connections to an address and sends their source addresses to a channel.
func forwardTo(l net.Listener, to string, sources chan<- string) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case sources <- from.RemoteAddr().String():
		default:
		}
		target, err := net.Dial("tcp", to)
		if err != nil {
			from.Close()
			continue
		}
		go func() { io.Copy(target, from); target.Close() }()
		go func() { io.Copy(from, target); from.Close() }()
	}
}

func TestOtherFleetSecretIsRejected(t *testing.T) {
	a := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "s"})
	b := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "other", Seeds: []string{a.Kernel.Boot.Settings.Mesh}})
	until(t, "the process with the other secret is rejected", func() bool { return a.Kernel.Counts.Of("channels_forbidden").Load() > 1 })
	must.Eq(t, 0, a.peers())
	must.Eq(t, 0, b.peers())
}

func TestFleetSecretRotatesWithoutDowntime(t *testing.T) {
	// Both secrets are accepted during the rotation, so the processes can be moved from the old secret to the new
	// secret one by one.
	steps := [][2]settings.Settings{
		{{FleetSecret: "old", SecondFleetSecret: "new"}, {FleetSecret: "old"}},
		{{FleetSecret: "new", SecondFleetSecret: "old"}, {FleetSecret: "old", SecondFleetSecret: "new"}},
		{{FleetSecret: "new"}, {FleetSecret: "new", SecondFleetSecret: "old"}},
	}
	for _, s := range steps {
		s[0].Mesh, s[1].Mesh = freeAddr(t), freeAddr(t)
		a := start(t, s[0])
		s[1].Seeds = []string{s[0].Mesh}
		b := start(t, s[1])
		until(t, "both processes connect", func() bool { return a.peers() == 1 && b.peers() == 1 })
	}
	// A process that was not given the new secret is rejected.
	a := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "new"})
	b := start(t, settings.Settings{Mesh: freeAddr(t), FleetSecret: "old", Seeds: []string{a.Kernel.Boot.Settings.Mesh}})
	until(t, "the process with the other secret is rejected", func() bool { return a.Kernel.Counts.Of("channels_forbidden").Load() > 1 })
	must.Eq(t, 0, a.peers())
	must.Eq(t, 0, b.peers())
}

func TestForeignBytesCloseOnlyTheirConnection(t *testing.T) {
	a := start(t, settings.Settings{Mesh: freeAddr(t)})
	c, err := net.Dial("tcp", a.Kernel.Boot.Settings.Mesh)
	must.NoError(t, err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	must.NoError(t, err)
	until(t, "the failed handshake is counted", func() bool { return a.Kernel.Counts.Of("channels_failed").Load() == 1 })
	c.Close()
	b := start(t, settings.Settings{Mesh: freeAddr(t), Seeds: []string{a.Kernel.Boot.Settings.Mesh}})
	until(t, "other processes still connect", func() bool { return b.peers() == 1 })
}

func TestDataDirKeepsWritesAndIsLocked(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	d, files, err := openDisk(dir)
	must.NoError(t, err)
	must.MapEmpty(t, files)
	must.NoError(t, d.write(kernel.Write{File: "a", Data: []byte("1")}))
	must.NoError(t, d.write(kernel.Write{File: "a", Data: []byte("2")}))
	must.NoError(t, d.write(kernel.Write{File: "b", Data: []byte("3")}))
	must.NoError(t, d.write(kernel.Write{File: "b"}))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "c.aside"), []byte("half"), 0o600))
	_, _, err = openDisk(dir)
	must.ErrorContains(t, err, "in use by another process")
	d.close()
	d, files, err = openDisk(dir)
	must.NoError(t, err)
	must.Eq(t, map[string][]byte{"a": []byte("2")}, files)
	must.FileNotExists(t, filepath.Join(dir, "c.aside"))
	d.close()
	must.NoError(t, os.RemoveAll(dir))
	must.Error(t, d.write(kernel.Write{File: "a", Data: []byte("4")}), must.Sprint("a write to a deleted data folder must fail"))
}
