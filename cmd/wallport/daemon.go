package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	// Imported for registration: each package registers its plug-in.
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
	"wallport/runtime/process"
	"wallport/runtime/settings"
)

// daemonCmd contains the flags of a role: its settings, or OnPlatform to read them from the platform's settings
// file instead.
type daemonCmd struct {
	settings.Settings
	OnPlatform  bool   `long:"on-platform" description:"take everything from the platform's settings file, which WALLPORT_CONFIG names"`
	MetricsPort uint16 `long:"metrics-port" description:"port of the machine's address on which a role on the platform tells its figures, at /metrics; 0 is none"`
}

type nodeCmd struct{ daemonCmd }
type coreCmd struct{ daemonCmd }

func (c *nodeCmd) Execute([]string) error { return c.run(settings.RoleNode) }
func (c *coreCmd) Execute([]string) error { return c.run(settings.RoleCore) }

func (c *daemonCmd) run(role string) error {
	if c.OnPlatform {
		return runOnPlatform(role, platformFlags{metricsPort: c.MetricsPort, meshListen: c.MeshListen})
	}
	return runDaemon(c.Settings, role)
}

// checkEnvCmd checks an env file or the platform's settings file and prints the findings.
type checkEnvCmd struct {
	Role       string `long:"role" choice:"node" choice:"core" default:"node" description:"the role it is for"`
	OnPlatform bool   `long:"on-platform" description:"FILE is the platform's settings file"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func (c *checkEnvCmd) Execute([]string) error {
	set := settings.Settings{EnvFile: c.Args.File, LogLevel: "info", PollsPer10s: 20}
	found := settings.Findings(nil)
	if c.OnPlatform {
		_, found = platform.ReadSettings(c.Args.File, c.Role)
	} else {
		found = settings.Load(&set, c.Role)
	}
	if len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	fmt.Println("no findings")
	return nil
}

// runDaemon runs a role with the settings of the command line and of the env file, if one is named. It returns when the
// process receives SIGTERM or SIGINT, or when a listener fails.
func runDaemon(set settings.Settings, role string) error {
	if found := settings.Load(&set, role); len(found) > 0 {
		return exitError{exitInvalid, found.Error()}
	}
	log := newLogger(set.LogLevel, set.Name)
	defer log.Sync()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	p, err := process.Start(process.Config{Settings: set, Role: role, Log: log})
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	server, err := httpapi.Open(p)
	if err != nil {
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
	log.Info("started", zap.String("release", release), zap.String("role", role), zap.String("zone", set.Zone), zap.String("mesh", set.Mesh),
		zap.String("caller", set.Caller), zap.String("operator", set.Operator), zap.Bool("authorisation", set.OperatorToken != ""), zap.Bool("fleet_secret", set.FleetSecret != ""))
	if role == settings.RoleNode && set.OperatorToken == "" {
		log.Warn("authorisation_off", zap.String("reason", "no operator token is set; anyone who can reach the operator API can change the fleet"))
	}
	select {
	case <-signals:
		server.Drain()
		leaveGroups(p)
		server.Stop()
		p.Stop()
		log.Info("stopped")
		return nil
	case err := <-server.Failed():
		p.Stop()
		return exitError{exitFailed, err.Error()}
	}
}
