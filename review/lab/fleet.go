package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roles of a machine's processes, as named in the deploy file.
const (
	roleNode = "node"
	roleCore = "core"
)

// metricsPort is the port for the metrics of each role's process.
var metricsPort = map[string]string{roleNode: "9464", roleCore: "9465"}

// Offsets of a machine's ports from fleet.port.
const (
	offsetReadiness = 21
	offsetHTTP      = 23
	offsetControl   = 27
	offsetPlatform  = 29
	offsetBackend   = 30
)

// fleet is a small deployment of the project's own processes. Each machine has its own loopback address.
type fleet struct {
	rec      *record
	binary   string
	dir      string
	prefix   string // the first three octets of every address, with the final dot
	port     int    // the lowest of the ports, which are free on every machine
	zones    []string
	machines int

	mu        sync.Mutex
	processes map[string]*process
	// unexpectedExits counts how often each process exited without being killed by the fleet.
	unexpectedExits map[string]int
	// stopped is set when all processes are being stopped. No process is started afterwards.
	stopped bool
}

// process is a process that the fleet has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	killed bool
}

// newFleet returns a fleet with one zone for each machine, on free addresses and ports.
func newFleet(rec *record, binary, dir string, machines int) (*fleet, error) {
	f := &fleet{rec: rec, binary: binary, dir: dir, machines: machines, processes: map[string]*process{}, unexpectedExits: map[string]int{}}
	for i := range machines {
		f.zones = append(f.zones, fmt.Sprintf("z%d", i+1))
	}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 60+rand.IntN(180), 1+rand.IntN(250))
		f.port = 21000 + 40*rand.IntN(250)
		if f.portsAreFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free address range and ports found in 50 tries")
}

func (f *fleet) portsAreFree() bool {
	for i := range 2 * f.machines {
		for _, port := range []int{f.port, f.port + 1, f.port + offsetReadiness, f.port + offsetHTTP, f.port + offsetControl, 9464, 9465} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(i), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) ip(machine int) string { return fmt.Sprintf("%s%d", f.prefix, machine+1) }

// zone returns the zone of a machine. Machines that join later, beyond the initial number, are assigned to the zones
// round robin.
func (f *fleet) zone(machine int) string { return f.zones[machine%len(f.zones)] }

func (f *fleet) address(machine, offset int) string {
	return fmt.Sprintf("%s:%d", f.ip(machine), f.port+offset)
}

// platformAddress returns the address for the platform's member list.
func (f *fleet) platformAddress() string {
	return fmt.Sprintf("%s200:%d", f.prefix, f.port+offsetPlatform)
}

// backendAddress returns the address for backend n.
func (f *fleet) backendAddress(n int) string {
	return fmt.Sprintf("%s%d:%d", f.prefix, 100+n, f.port+offsetBackend)
}

func (f *fleet) dataDir(machine int) string {
	return filepath.Join(f.dir, fmt.Sprintf("data-%d", machine))
}

// settings writes the settings file of a process for its next start, and returns the path.
func (f *fleet) settings(machine int, role string, bootstrap bool) (string, error) {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	var seeds []string
	for i := range min(3, f.machines) {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(i, offsetControl)))
	}
	p("node_name = \"edge-%s-%d\"\nrole = %q\nhardware_class = \"edge\"", f.zone(machine), 1+machine/len(f.zones), role)
	serves := `"edge"`
	if role == roleCore {
		serves = `"control_plane"`
		p("data_dir = %q", f.dataDir(machine))
	}
	p("serves = [%s]\nip = %q\nzone = %q\nregion = \"here\"", serves, f.ip(machine), f.zone(machine))
	p("ephemeral_ports = [%d,%d]\nseed_nodes = [%s]", f.port, f.port+15, strings.Join(seeds, ","))
	p("bootstrap = %t\nquorum_member = true\ndiscovery = \"platform\"\nentry_mode = \"virtual_ip\"\nkeepalive_ms = 1200", bootstrap)
	p("active_rules = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n[zones]")
	for _, zone := range f.zones {
		p("%s = \"here\"", zone)
	}
	p("[bind_addresses]\nhttp = %q\nreadiness = %q\ncontrol = %q", f.address(machine, offsetHTTP), f.address(machine, offsetReadiness), f.address(machine, offsetControl))
	p("[limits]\ncpu_share = 0.72\ncpu_cores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64")
	p("[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0")
	p("[timers]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 4000\nack_timeout_ms = 5000\nsync_time_s = 4\ndrain_timeout_ms = 3000\ngrace_s = 6")
	p("loss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\nmax_stretch_ms = 12000\nretry_budget = 0.2\nretry_window_s = 10")
	p("retry_allowance = 60\nramp_overrun = 1.5\nramp_tolerance = 5\nevacuate_ms = 5000\nrecovery_s = 12")
	p("[platform_api]\naddress = %q\nrate_per_s = 44.0\nduties = []\nmax_lag_ms = 800", f.platformAddress())
	path := filepath.Join(f.dir, fmt.Sprintf("settings-%d-%s.toml", machine, role))
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// start starts a process of a machine with the command of the deploy file.
func (f *fleet) start(machine int, role string, bootstrap bool) error {
	path, err := f.settings(machine, role, bootstrap)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", role, machine)
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(f.binary, role, "--on-platform", "--metrics-port", metricsPort[role])
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WALLPORT_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errors.New("the fleet is being stopped: no process is started")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	f.processes[name] = p
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		killed := p.killed
		if !killed {
			f.unexpectedExits[name]++
		}
		f.mu.Unlock()
		if !killed {
			f.rec.event("%s exits by itself: %v", name, err)
		}
		close(p.exited)
	}()
	f.rec.event("%s starts, bootstrap = %t", name, bootstrap)
	return nil
}

// startMachine starts both processes of a machine.
func (f *fleet) startMachine(machine int, bootstrap bool) error {
	return errors.Join(f.start(machine, roleCore, bootstrap), f.start(machine, roleNode, bootstrap))
}

func (f *fleet) process(machine int, role string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[fmt.Sprintf("%s-%d", role, machine)]
}

// exits returns how often a process has exited without being killed by the fleet.
func (f *fleet) exits(machine int, role string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unexpectedExits[fmt.Sprintf("%s-%d", role, machine)]
}

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(machine int, role string) {
	p := f.process(machine, role)
	f.mu.Lock()
	p.killed = true
	f.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	f.rec.event("%s is killed", p.name)
}

// wipe removes a machine's data folder.
func (f *fleet) wipe(machine int) error {
	f.rec.event("machine %d loses its disk", machine)
	return os.RemoveAll(f.dataDir(machine))
}

// fullestDisk returns the one of the given machines that has the most bytes in its data folder.
func (f *fleet) fullestDisk(machines ...int) int {
	best, bestSize := machines[0], int64(-1)
	for _, machine := range machines {
		size := int64(0)
		entries, _ := os.ReadDir(f.dataDir(machine))
		for _, entry := range entries {
			if info, err := entry.Info(); err == nil {
				size += info.Size()
			}
		}
		f.rec.event("machine %d has %d bytes on its disk", machine, size)
		if size > bestSize {
			best, bestSize = machine, size
		}
	}
	return best
}

// stopAll kills every process that was started, and waits up to 5 s for each.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.stopped = true
	all := make([]*process, 0, len(f.processes))
	for _, p := range f.processes {
		p.killed = true
		all = append(all, p)
	}
	f.mu.Unlock()
	for _, p := range all {
		p.cmd.Process.Signal(syscall.SIGKILL)
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
}
