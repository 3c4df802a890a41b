// Hollow processes: many nodes or cores in one OS process. Each is a real kernel with the real plug-ins on the real
// driver and has its own port and channels, but no request path and no HTTP interfaces. Their cost is therefore the
// cost of the control plane.

package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
	"go.uber.org/zap"

	// The imported plug-ins register themselves.
	_ "wallport/cluster/loadreport"
	_ "wallport/control/configsync"
	_ "wallport/control/operations"
	_ "wallport/control/replica"
	_ "wallport/request/discovery"
	_ "wallport/request/healthcheck"
	_ "wallport/request/idempotency"
	_ "wallport/request/reshard"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

// HollowConfig configures the hollow processes of one host.
type HollowConfig struct {
	//lint:ignore SA5008 go-flags takes one choice a tag
	Role     string   `long:"role" default:"node" choice:"node" choice:"core" description:"their role"`
	Count    int      `long:"count" default:"50" description:"how many share this process"`
	First    int      `long:"first" description:"number of the first one"`
	Zones    int      `long:"zones" default:"4" description:"zones that they are spread over"`
	IP       string   `long:"ip" default:"127.0.0.1" description:"loopback address that they listen on; the system chooses the ports"`
	Seeds    []string `long:"seed" description:"mesh address of a core"`
	Platform string   `long:"platform" description:"URL of the platform's list"`
	Data     string   `long:"data" description:"folder for the cores' data folders"`
}

// Hollow is a host of hollow processes.
type Hollow struct {
	c     HollowConfig
	nodes []*hollowNode
	mu    sync.Mutex
	watch *watch
}

type hollowNode struct {
	name string
	p    *process.Process
	// builder is nil on a core.
	builder *snapshot.Builder
	ended   atomic.Bool
}

// Endpoint is the name and the mesh address of a hollow process.
type Endpoint struct{ Name, Mesh string }

// StartHollow starts all hollow processes of a host.
func StartHollow(c HollowConfig) (*Hollow, error) {
	h := &Hollow{c: c}
	for i := range c.Count {
		n, err := h.start(c.First + i)
		if err != nil {
			h.Stop()
			return nil, err
		}
		h.nodes = append(h.nodes, n)
	}
	return h, nil
}

// maxPortAttempts is the number of ports tried for one hollow process: another process may take a port before the
// hollow process listens on it.
const maxPortAttempts = 8

func (h *Hollow) start(i int) (*hollowNode, error) {
	c := h.c
	e := settings.Settings{
		Name: fmt.Sprintf("%s-%d", c.Role, i), Zone: fmt.Sprintf("z%d", i%c.Zones+1), Seeds: c.Seeds, PollsPer10s: 20,
		LogLevel: "error", FleetSecret: "scale",
	}
	if c.Role == "core" {
		e.DataDir = filepath.Join(c.Data, e.Name)
	} else {
		e.PlatformURL = c.Platform
	}
	var last error
	for range maxPortAttempts {
		var err error
		if e.Mesh, err = freeAddr(c.IP); err != nil {
			return nil, err
		}
		p, err := process.Start(process.Config{Settings: e, Role: c.Role, Log: zap.NewNop()})
		if err != nil {
			last = err
			continue
		}
		return &hollowNode{name: e.Name, p: p, builder: kernel.Find[*snapshot.Builder](p.Kernel)}, nil
	}
	return nil, oops.In("hollow").With("name", e.Name).Wrapf(last, "cannot start the hollow process")
}

// freeAddr returns an address with a free port that the system chose. Another process may take it before it is used.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Up returns the endpoints of all hollow processes.
func (h *Hollow) Up() (out []Endpoint) {
	for _, n := range h.nodes {
		out = append(out, Endpoint{n.name, n.p.Kernel.Boot.Settings.Mesh})
	}
	return out
}

// Stop stops the watch and all hollow processes, and waits for them.
func (h *Hollow) Stop() {
	h.mu.Lock()
	w := h.watch
	h.watch = nil
	h.mu.Unlock()
	if w != nil {
		w.finish()
	}
	var wg sync.WaitGroup
	for _, n := range h.nodes {
		if !n.ended.Swap(true) {
			wg.Go(n.p.Stop)
		}
	}
	wg.Wait()
}

// HostRequest is a request to a host of hollow processes, HostResponse its answer. If the host is another OS process,
// each is one line of JSON.
type (
	HostRequest struct {
		// Op is up, sample, watch, seen, edit, cut or kill.
		Op   string
		Name string          `json:",omitempty"`
		Body json.RawMessage `json:",omitempty"`
	}
	HostResponse struct {
		Err    string        `json:",omitempty"`
		Up     []Endpoint    `json:",omitempty"`
		Sample *Sample       `json:",omitempty"`
		Seen   []Observation `json:",omitempty"`
		Edited *EditResult   `json:",omitempty"`
	}
)

// Do executes a request and returns the answer.
func (h *Hollow) Do(a HostRequest) HostResponse {
	switch a.Op {
	case "up":
		return HostResponse{Up: h.Up()}
	case "sample":
		s := h.sample()
		return HostResponse{Sample: &s}
	case "watch":
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.watch == nil {
			h.watch = startWatch(h.nodes)
		}
		h.watch.addMember(a.Name)
		return HostResponse{}
	case "seen":
		h.mu.Lock()
		w := h.watch
		h.watch = nil
		h.mu.Unlock()
		if w == nil {
			return HostResponse{Err: "seen: no watch is running"}
		}
		return HostResponse{Seen: w.finish()}
	case "edit", "cut":
		return h.edit(a)
	case "kill":
		for _, n := range h.nodes {
			if n.name == a.Name && !n.ended.Swap(true) {
				n.p.Stop()
				return HostResponse{}
			}
		}
	}
	return HostResponse{Err: "unknown operation or no running process of that name: " + a.Op + " " + a.Name}
}
