package main

import (
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wallport/platform"
	"wallport/request/httpapi"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

const (
	// heapShare is the fraction of the machine's memory that the heap may use. The remaining memory is for stacks,
	// buffers of connections, and received bytes that have not been read yet.
	heapShare = 0.6
	gcPercent = 200
	// watchInterval is the interval at which the settings file is checked for changes.
	watchInterval = time.Second
)

// limitRuntime limits this process to one processor, and its memory to heapShare of the machine's memory if that is known.
func limitRuntime(machine settings.Machine) {
	runtime.GOMAXPROCS(1)
	if machine.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(machine.MemoryMB<<20)))
	}
	debug.SetGCPercent(gcPercent)
}

// platformFlags are the command-line flags that add to the platform's settings.
type platformFlags struct {
	metricsPort uint16
	// meshListen is the listen address of the mesh if it differs from the address at which others reach it.
	meshListen string
}

// platformDaemon is a role that runs with the platform's settings.
type platformDaemon struct {
	role    string
	path    string
	watch   *platform.SettingsWatch
	process *process.Process
	server  *httpapi.Server
	// seeds are the mesh seeds that were last passed to the process.
	seeds []string
	// closeRoleListeners closes what openRoleListeners opened: the gateway of a node or the control address of a core.
	closeRoleListeners func()
	failed             chan error
}

// runOnPlatform runs a role with the platform's settings until the process receives SIGTERM or SIGINT, or until a listener
// fails.
func runOnPlatform(role string, flags platformFlags) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := platform.SettingsPath()
	// The watch starts before the file is read, so that no change after the read is missed.
	watch := platform.NewSettingsWatch(path)
	configured, found := platform.ReadSettings(path, role)
	if len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	configured.Settings.MeshListen = flags.meshListen
	limitRuntime(configured.Settings.Machine)
	log := newLogger(configured.Settings.LogLevel, configured.Settings.Name)
	defer log.Sync()
	d := &platformDaemon{role: role, path: path, watch: watch, seeds: configured.Settings.Seeds, failed: make(chan error, 1)}
	if err := d.start(configured, flags, log); err != nil {
		return exitError{exitFailed, err.Error()}
	}
	log.Info("started", zap.String("release", release), zap.String("role", role), zap.String("zone", configured.Settings.Zone),
		zap.String("mesh", configured.Settings.Mesh), zap.String("operator", configured.Settings.Operator))
	return d.run(signals)
}

// start starts the process and opens its listeners.
func (d *platformDaemon) start(configured platform.ProcessSettings, flags platformFlags, log *zap.Logger) (err error) {
	d.process, err = process.Start(process.Config{Settings: configured.Settings, Role: d.role, Log: log, Fetchers: platform.Fetchers()})
	if err != nil {
		return err
	}
	if d.server, err = httpapi.Open(d.process); err != nil {
		d.process.Stop()
		return err
	}
	openMetrics(d.process, d.server, configured.Settings, flags.metricsPort)
	if d.closeRoleListeners, err = d.openRoleListeners(configured); err != nil {
		d.process.Stop()
		return err
	}
	return nil
}

// openRoleListeners opens the listeners for the platform: on a node those for clients and readiness checks, on a core the
// one for the control address. They are open until stop is called.
func (d *platformDaemon) openRoleListeners(configured platform.ProcessSettings) (stop func(), err error) {
	if d.role == settings.RoleCore {
		control := &platform.Control{Call: d.process.Call, Log: platform.AuditLog(d.process.Log)}
		return control.Serve(configured.Control, d.process.Log, d.failed)
	}
	return openGateway(d.process, d.server, configured, d.failed)
}

// run handles signals, changes of the settings file and failures of listeners until the daemon ends.
func (d *platformDaemon) run(signals <-chan os.Signal) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				d.stop()
				return nil
			}
			d.watch.Changed()
			d.reloadSettings()
		case <-ticker.C:
			if d.watch.Changed() {
				d.reloadSettings()
			}
		case err := <-d.server.Failed():
			d.process.Stop()
			return exitError{exitFailed, err.Error()}
		case err := <-d.failed:
			d.process.Stop()
			return exitError{exitFailed, err.Error()}
		}
	}
}

// stop carries out a planned stop: the process drains and leaves its replica groups before its listeners close.
func (d *platformDaemon) stop() {
	d.server.Drain()
	leaveGroups(d.process)
	d.closeRoleListeners()
	d.server.Stop()
	d.process.Stop()
	d.process.Log.Info("stopped")
}

// reloadSettings reads the settings file again and applies the seeds, the only setting that may change while a process
// runs. A file with findings changes nothing.
func (d *platformDaemon) reloadSettings() {
	configured, found := platform.ReadSettings(d.path, d.role)
	for _, finding := range found {
		d.process.Log.Warn("settings_refused", zap.String("place", finding.Location), zap.String("finding", finding.Text))
	}
	if len(found) > 0 || slices.Equal(d.seeds, configured.Settings.Seeds) {
		return
	}
	d.seeds = configured.Settings.Seeds
	d.process.Log.Info("seeds_changed", zap.Strings("seeds", d.seeds))
	d.process.Post(kernel.SeedsChanged{Seeds: slices.Clone(d.seeds)})
}

// openMetrics serves the metrics on a port of the machine's address; with port 0 it does nothing. If the port cannot be
// opened, the error is only logged, because the operators' address serves the metrics too.
func openMetrics(p *process.Process, server *httpapi.Server, set settings.Settings, port uint16) {
	if port == 0 {
		return
	}
	mesh, err := netip.ParseAddrPort(set.Mesh)
	if err == nil {
		err = server.OpenMetrics(net.JoinHostPort(mesh.Addr().String(), strconv.Itoa(int(port))))
	}
	if err != nil {
		p.Log.Warn("metrics_not_open", zap.Uint16("port", port), zap.Error(err))
	}
}
