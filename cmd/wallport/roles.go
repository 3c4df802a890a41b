// The two daemons and the check of their env files.

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	// The plug-ins register themselves.
	_ "wallport/cluster/loadreport"
	_ "wallport/control/configsync"
	_ "wallport/control/operations"
	_ "wallport/control/replica"
	"wallport/platform"
	_ "wallport/request/discovery"
	_ "wallport/request/healthcheck"
	"wallport/request/httpapi"
	_ "wallport/request/idempotency"
	_ "wallport/request/reshard"
	_ "wallport/request/snapshot"
	"wallport/runtime/asynclog"
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

type daemonCmd struct {
	settings.Settings
	OnPlatform  bool   `long:"on-platform" description:"take everything from the platform's settings file, which WALLPORT_CONFIG names"`
	MetricsPort uint16 `long:"metrics-port" description:"port of the machine's address on which a role on the platform tells its figures, at /metrics; 0 is none"`
}

type nodeCmd struct{ daemonCmd }
type coreCmd struct{ daemonCmd }

func (c *nodeCmd) Execute([]string) error { return c.run("node") }
func (c *coreCmd) Execute([]string) error { return c.run("core") }

func (c *daemonCmd) run(role string) error {
	if c.OnPlatform {
		return onPlatform(role, platformFlags{metricsPort: c.MetricsPort, meshListen: c.MeshListen})
	}
	return runDaemon(c.Settings, role)
}

type checkEnvCmd struct {
	Role       string `long:"role" choice:"node" choice:"core" default:"node" description:"the role it is for"`
	OnPlatform bool   `long:"on-platform" description:"FILE is the platform's settings file"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func (c *checkEnvCmd) Execute([]string) error {
	e := settings.Settings{EnvFile: c.Args.File, LogLevel: "info", PollsPer10s: 20}
	found := settings.Findings(nil)
	if c.OnPlatform {
		_, found = platform.ReadSettings(c.Args.File, c.Role)
	} else {
		found = settings.Load(&e, c.Role)
	}
	if len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	fmt.Println("no findings")
	return nil
}

func newLogger(level, name string) *zap.Logger {
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	conf.MessageKey = "event"
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		l = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(conf), asynclog.New(os.Stderr, lostLinesRecord), l)).With(zap.String("who", name))
}

// lostLinesRecord is the line that tells how many others were dropped since nobody read the log.
func lostLinesRecord(n int) []byte {
	return fmt.Appendf(nil, "level=warn event=log_lines_lost n=%d\n", n)
}

func runDaemon(e settings.Settings, role string) error {
	if found := settings.Load(&e, role); len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	log := newLogger(e.LogLevel, e.Name)
	defer log.Sync()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	p, err := process.Start(process.Config{Settings: e, Role: role, Log: log})
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	s, err := httpapi.Open(p)
	if err != nil {
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
	log.Info("started", zap.String("release", release), zap.String("role", role), zap.String("zone", e.Zone), zap.String("mesh", e.Mesh),
		zap.String("caller", e.Caller), zap.String("operator", e.Operator), zap.Bool("authorisation", e.OperatorToken != ""), zap.Bool("fleet_secret", e.FleetSecret != ""))
	if role == "node" && e.OperatorToken == "" {
		log.Warn("authorisation_off", zap.String("why", "no operator token is set; anyone who reaches the operator API may change the fleet"))
	}
	select {
	case <-signals:
		s.Drain()
		leaveGroups(p)
		s.Stop()
		p.Stop()
		log.Info("stopped")
		return nil
	case err := <-s.Failed():
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
}
