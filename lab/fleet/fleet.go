// Starts and configures the processes of a fleet.

package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"wallport/lab/platform"
	"wallport/lab/relay"
	"wallport/runtime/wire"
)

// Options are the programs, folders and credentials of a fleet.
type Options struct {
	Shape Shape
	Dir   string
	Bin   string
	// EarlierBin is the folder of an earlier release's programs; if set, cores and nodes start from it instead of Bin.
	EarlierBin string
	Log        io.Writer
	// Token is the operator token of the nodes.
	Token string
	// Tokens is the path of a file of scoped operator tokens for the nodes.
	Tokens string
	// Secret is the shared secret of the fleet's processes.
	Secret string
	// Relays puts a relay in front of the mesh address of each core and node, so that they can be partitioned.
	Relays bool
}

// Process is one process of the fleet.
type Process struct {
	Name     string
	args     []string
	cmd      *exec.Cmd
	done     chan struct{}
	Data     string
	mesh     string
	operator string
	zone     string
	// stopping reports that the process was sent SIGTERM or SIGKILL.
	stopping bool
}

// Fleet is a running fleet.
type Fleet struct {
	options       Options
	mu            sync.Mutex
	processes     map[string]*Process
	Nodes         []platform.Node
	OperatorAddrs map[string]string
	Platform      string
	backends      []wire.Backend
	seeds         []string
	client        *http.Client
	drainingSince map[string]int64
	stopped       map[string]bool
	operators     *operators
	network       *relay.Network
	// commandedZones are the zones that operators drain and restore in the scenario.
	commandedZones []string
	// uniqueAddressCount counts the loopback addresses that uniqueAddress has returned.
	uniqueAddressCount int
}

// New returns a fleet without processes.
func New(o Options) *Fleet {
	f := &Fleet{
		options: o, processes: map[string]*Process{}, OperatorAddrs: map[string]string{}, drainingSince: map[string]int64{}, stopped: map[string]bool{}, network: relay.New(),
		client: &http.Client{Timeout: 12 * time.Second},
	}
	f.operators = newOperators(f)
	return f
}

// commonIP is the loopback address of processes that have no unique address.
const commonIP = "127.0.0.1"

// ports returns n different free addresses, as ip:port, on a loopback IP.
func ports(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Start starts a process, appends its output to its log file and reaps it in the background.
func (f *Fleet) Start(p *Process) error {
	logf, err := os.OpenFile(filepath.Join(f.options.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logf.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = logf, logf
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done, p.stopping = done, false
	cmd := p.cmd
	go func() { cmd.Wait(); close(done) }()
	f.mu.Lock()
	f.processes[p.Name] = p
	f.mu.Unlock()
	return nil
}

// Up starts the platform, cores, nodes and backends, and returns once every node answers a search.
func (f *Fleet) Up(ctx context.Context) error {
	s := f.options.Shape
	addrs, err := ports(commonIP, 1+2*s.Cores+3*s.Nodes+s.PerShard*s.Shards)
	if err != nil {
		return err
	}
	next := func() string { a := addrs[0]; addrs = addrs[1:]; return a }
	plat := next()
	f.Platform = "http://" + plat
	if err := f.Start(&Process{Name: "platform", args: []string{filepath.Join(f.options.Bin, "lab"), "platform", "--addr", plat}}); err != nil {
		return err
	}
	coreMesh := make([]string, s.Cores)
	for i := range coreMesh {
		coreMesh[i] = next()
	}
	f.seeds = coreMesh[:min(3, s.Cores)]
	for i, mesh := range coreMesh {
		name := fmt.Sprintf("core-%d", i)
		if err := f.daemon("core", name, s.Zone(i), mesh, next(), "--data", filepath.Join(f.options.Dir, name)); err != nil {
			return err
		}
	}
	for i := range s.Nodes {
		n := platform.Node{Name: fmt.Sprintf("node-%d", i), Zone: s.Zone(i), Caller: next()}
		mesh, oper := next(), next()
		f.Nodes = append(f.Nodes, n)
		f.OperatorAddrs[n.Name] = oper
		if err := f.daemon("node", n.Name, n.Zone, mesh, oper, "--caller", n.Caller, "--platform", f.Platform+"/list"); err != nil {
			return err
		}
	}
	if err := f.Backends("c1", s.Shards, s.PerShard*s.Shards, addrs); err != nil {
		return err
	}
	if err := f.notifyPlatform(ctx); err != nil {
		return err
	}
	return f.configure(ctx)
}

// daemon starts a core or a node.
func (f *Fleet) daemon(role, name, zone, mesh, oper string, more ...string) error {
	bin := f.options.Bin
	if f.options.EarlierBin != "" {
		bin = f.options.EarlierBin
	}
	args := []string{filepath.Join(bin, "wallport"), role, "--name", name, "--zone", zone, "--mesh", mesh, "--operator", oper}
	if f.options.Relays {
		listenAddr, err := f.uniqueAddress()
		if err != nil {
			return err
		}
		if err := f.network.AddRelay(name, mesh, listenAddr); err != nil {
			return err
		}
		args = append(args, "--mesh-listen", listenAddr)
	}
	for _, s := range f.seeds {
		args = append(args, "--seed", s)
	}
	if f.options.Secret != "" {
		args = append(args, "--fleet-secret", f.options.Secret)
	}
	if role == "node" && f.options.Token != "" {
		args = append(args, "--operator-token", f.options.Token)
	}
	if role == "node" && f.options.Tokens != "" {
		args = append(args, "--operator-tokens", f.options.Tokens)
	}
	p := &Process{Name: name, args: append(args, more...), mesh: mesh, operator: oper, zone: zone}
	if role == "core" {
		p.Data = filepath.Join(f.options.Dir, name)
	}
	return f.Start(p)
}

// uniqueAddress returns a free address, as ip:port, on a loopback IP that no other core or node uses: relays identify
// processes by their IP.
func (f *Fleet) uniqueAddress() (string, error) {
	f.mu.Lock()
	f.uniqueAddressCount++
	ip := fmt.Sprintf("127.1.%d.%d", f.uniqueAddressCount/250, 1+f.uniqueAddressCount%250)
	f.mu.Unlock()
	free, err := ports(ip, 1)
	if err != nil {
		return "", err
	}
	return free[0], nil
}

// Backends starts n backends of a shard map, on addrs or, if addrs has fewer than n addresses, on free ports.
func (f *Fleet) Backends(shardMap string, shards, n int, addrs []string) error {
	s := f.options.Shape
	if len(addrs) < n {
		var err error
		if addrs, err = ports(commonIP, n); err != nil {
			return err
		}
	}
	for i := range n {
		v := s.Backend(i, shardMap, shards, addrs[i])
		f.mu.Lock()
		f.backends = append(f.backends, v)
		f.mu.Unlock()
		err := f.Start(&Process{Name: v.ID, args: []string{
			filepath.Join(f.options.Bin, "lab"), "backend", "--id", v.ID, "--addr", v.Addr, "--index", v.Index, "--cut", v.ShardMap,
			"--shard", fmt.Sprint(v.Shard), "--shards", fmt.Sprint(shards), "--journal", filepath.Join(f.options.Dir, v.ID+".ran"),
		}})
		if err != nil {
			return err
		}
	}
	return nil
}
