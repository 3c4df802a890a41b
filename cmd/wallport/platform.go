// The two daemons on the users' platform: settings, memory, the platform's
// servers, and settings that change while the process runs.

package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wallport/platform"
	"wallport/request/httpapi"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

// Of the machine's memory the heap may take this share; the rest is for stacks,
// buffers of connections and bytes that have arrived unread.
const (
	heapShare = 0.6
	gcPercent = 200
)

// watchInterval is how often the settings file is looked at.
const watchInterval = time.Second

func limitRuntime(m settings.Machine) {
	runtime.GOMAXPROCS(1)
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(m.MemoryMB<<20)))
	}
	debug.SetGCPercent(gcPercent)
}

// platformFlags are what the command line adds to the platform's settings.
type platformFlags struct {
	metricsPort uint16
	// meshListen is where the mesh listens, where that is not the address that others reach.
	meshListen string
}

// onPlatform runs a role with the platform's settings until it is told to stop.
func onPlatform(role string, flags platformFlags) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := platform.SettingsPath()
	w := newSettingsWatch(path)
	place, found := platform.ReadSettings(path, role)
	if len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	place.Settings.MeshListen = flags.meshListen
	e := place.Settings
	w.seeds = e.Seeds
	limitRuntime(e.Machine)
	log := newLogger(e.LogLevel, e.Name)
	defer log.Sync()
	p, err := process.Start(process.Config{Settings: e, Role: role, Log: log, Fetchers: platform.Fetchers()})
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	s, err := httpapi.Open(p)
	if err != nil {
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
	openMetrics(p, s, e, flags.metricsPort)
	failed := make(chan error, 1)
	stop, err := openRole(p, s, place, role, failed)
	if err != nil {
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
	log.Info("started", zap.String("release", release), zap.String("role", role), zap.String("zone", e.Zone), zap.String("mesh", e.Mesh), zap.String("operator", e.Operator))
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.Drain()
				leaveGroups(p)
				stop()
				s.Stop()
				p.Stop()
				log.Info("stopped")
				return nil
			}
			w.changed()
			w.reread(p, role)
		case <-tick.C:
			if w.changed() {
				w.reread(p, role)
			}
		case err := <-s.Failed():
			p.Stop()
			return exitError{exitFailed, err.Error()}
		case err := <-failed:
			p.Stop()
			return exitError{exitFailed, err.Error()}
		}
	}
}

// openRole opens what the platform calls: on a node clients' server and readiness, on a core the control address.
func openRole(p *process.Process, operators *httpapi.Server, place platform.ProcessSettings, role string, failed chan<- error) (stop func(), err error) {
	if role == "core" {
		return openControl(p, place.Control, failed)
	}
	return openGateway(p, operators, place, failed)
}

// reread takes up what may change while a process runs: the seeds. A file with findings changes nothing.
func (w *settingsWatch) reread(p *process.Process, role string) {
	place, found := platform.ReadSettings(w.path, role)
	for _, f := range found {
		p.Log.Warn("settings_refused", zap.String("place", f.Location), zap.String("finding", f.Text))
	}
	if len(found) > 0 || slices.Equal(w.seeds, place.Settings.Seeds) {
		return
	}
	w.seeds = place.Settings.Seeds
	p.Log.Info("seeds_changed", zap.Strings("seeds", w.seeds))
	p.Post(kernel.SeedsChanged{Seeds: slices.Clone(w.seeds)})
}

// settingsWatch looks at the settings file's time and size, and keeps what was taken from it.
type settingsWatch struct {
	path string
	at   time.Time
	size int64
	// seeds are those that the process was last told.
	seeds []string
}

func newSettingsWatch(path string) *settingsWatch {
	w := &settingsWatch{path: path}
	w.changed()
	return w
}

func (w *settingsWatch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	was := *w
	w.at, w.size = info.ModTime(), info.Size()
	return !was.at.Equal(w.at) || was.size != w.size
}
