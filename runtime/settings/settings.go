// Package settings is a process's own place: addresses, zone, seeds, data folder.
// It comes from flags and an optional file of key=value lines, is checked as a
// whole before any port is opened, and every finding names its place.
package settings

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
)

// Settings is the place of one process. Flags win over the file.
type Settings struct {
	EnvFile            string   `long:"env-file" description:"file of key=value lines, the keys being these flags' names"`
	Name               string   `long:"name" description:"name in logs and tables; made from the mesh address when absent"`
	Zone               string   `long:"zone" description:"zone of this machine"`
	Mesh               string   `long:"mesh" description:"IP:port of the mesh, as other processes reach it"`
	MeshListen         string   `long:"mesh-listen" description:"IP:port to listen on for the mesh, where it is not the one that others reach; connections to others leave from its IP"`
	Caller             string   `long:"caller" description:"IP:port of the caller API (node only)"`
	Operator           string   `long:"operator" description:"IP:port of the operator API, conditions and metrics"`
	Seeds              []string `long:"seed" description:"mesh IP:port of another process; three at most"`
	DataDir            string   `long:"data" description:"data folder (core only)"`
	PlatformURL        string   `long:"platform" description:"URL of the platform's list of backends (node only)"`
	OperatorToken      string   `long:"operator-token" description:"token that operators must send; empty turns authorisation off"`
	OperatorTokensFile string   `long:"operator-tokens" description:"file of operator tokens with scopes, read again when it changes (node only)"`
	FleetSecret        string   `long:"fleet-secret" description:"secret that all processes of one fleet share"`
	SecondFleetSecret  string   `long:"fleet-secret-too" description:"a second secret that is accepted from others, while the secret is being changed"`
	PollsPer10s        int64    `long:"polls-per-10s" description:"calls to the platform list allowed to the whole fleet in 10 s" default:"20"`
	UnsignedHeartbeats bool     `long:"unsigned-beats" description:"take signs of life that are not signed, while a fleet is upgraded from a release before 2"`
	LogLevel           string   `long:"log-level" description:"debug, info, warn or error" default:"info"`

	// What a platform tells, and no flag: BootstrapKnown says that it told whether all disks
	// are still empty, and Bootstrap that they are.
	Tolerance                 Tolerance `no-flag:"true"`
	Bootstrap, BootstrapKnown bool      `no-flag:"true"`

	// Region is this machine's, Regions those of all zones, where a platform tells them.
	Region  string            `no-flag:"true"`
	Regions map[string]string `no-flag:"true"`

	// ListInterval is the time between two readings of the platform's list, in microseconds;
	// 0 leaves it to the allowance of calls.
	ListInterval int64 `no-flag:"true"`
	// QuorumMember tells that the machine is one of the few whose loss is counted.
	QuorumMember bool `no-flag:"true"`
	// PassiveHealth leaves servers in order unprobed: what requests meet decides, and only a
	// server that this process keeps away from is probed for its way back.
	PassiveHealth bool      `no-flag:"true"`
	Machine       Machine   `no-flag:"true"`
	Bounds        Bounds    `no-flag:"true"`
	Retries       Retries   `no-flag:"true"`
	SlowStart     SlowStart `no-flag:"true"`
}

// ListenAddress is where the mesh listens.
func (e Settings) ListenAddress() string {
	if e.MeshListen != "" {
		return e.MeshListen
	}
	return e.Mesh
}

// SourceIP is the IP from which connections to other processes leave; not valid where the system
// is to choose it.
func (e Settings) SourceIP() netip.Addr {
	listen, err := netip.ParseAddrPort(e.MeshListen)
	if err != nil || listen.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return listen.Addr()
}

// Finding is one fault with its place.
type Finding struct{ Location, Text string }

// Findings are all the faults of a reading.
type Findings []Finding

// Error lists every finding, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Location + ": " + v.Text
	}
	return strings.Join(lines, "\n")
}

// Load fills what the flags left open from the file and checks the whole.
func Load(e *Settings, role string) Findings {
	var out Findings
	if e.EnvFile != "" {
		out = append(out, e.readFile()...)
	}
	out = append(out, e.validate(role)...)
	if e.Name == "" {
		e.Name = role + "-" + e.Mesh
	}
	return out
}

func (e *Settings) fields() map[string]*string {
	return map[string]*string{
		"name": &e.Name, "zone": &e.Zone, "mesh": &e.Mesh, "mesh-listen": &e.MeshListen, "caller": &e.Caller, "operator": &e.Operator,
		"data": &e.DataDir, "platform": &e.PlatformURL, "operator-token": &e.OperatorToken, "operator-tokens": &e.OperatorTokensFile, "fleet-secret": &e.FleetSecret, "fleet-secret-too": &e.SecondFleetSecret,
	}
}

func (e *Settings) readFile() Findings {
	f, err := os.Open(e.EnvFile)
	if err != nil {
		return Findings{{e.EnvFile, err.Error()}}
	}
	defer f.Close()
	var out Findings
	seen := map[string]int{}
	fromFile := len(e.Seeds) == 0
	fields := e.fields()
	sc := bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		place := fmt.Sprintf("%s:%d", e.EnvFile, n)
		k, v, ok := strings.Cut(line, "=")
		k, v = strings.TrimSpace(k), strings.TrimSpace(v)
		if !ok {
			out = append(out, Finding{place, "not a key=value line"})
			continue
		}
		if k == "seed" {
			if fromFile {
				e.Seeds = append(e.Seeds, v)
			}
			continue
		}
		p, known := fields[k]
		if !known {
			out = append(out, Finding{place, "unknown key " + k})
			continue
		}
		if was := seen[k]; was > 0 {
			out = append(out, Finding{place, fmt.Sprintf("%s was given on line %d already", k, was)})
			continue
		}
		seen[k] = n
		if *p == "" {
			*p = v
		}
	}
	if err := sc.Err(); err != nil {
		out = append(out, Finding{e.EnvFile, err.Error()})
	}
	return out
}

func (e *Settings) validate(role string) Findings {
	var out Findings
	need := map[string]string{"mesh": e.Mesh, "operator": e.Operator}
	if role == "node" {
		need["caller"] = e.Caller
	}
	for k, v := range need {
		if v == "" {
			out = append(out, Finding{k, "is needed"})
		} else if _, err := netip.ParseAddrPort(v); err != nil {
			out = append(out, Finding{k, "not an IP:port: " + v})
		}
	}
	if e.MeshListen != "" {
		if _, err := netip.ParseAddrPort(e.MeshListen); err != nil {
			out = append(out, Finding{"mesh-listen", "not an IP:port: " + e.MeshListen})
		}
	}
	if e.Zone == "" {
		out = append(out, Finding{"zone", "is needed"})
	}
	if len(e.Seeds) > 3 {
		out = append(out, Finding{"seed", "more than three"})
	}
	for _, s := range e.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			out = append(out, Finding{"seed", "not an IP:port: " + s})
		}
	}
	if role == "core" && e.DataDir == "" {
		out = append(out, Finding{"data", "a core needs a data folder"})
	}
	if role == "core" && e.Caller != "" {
		out = append(out, Finding{"caller", "a core has no caller API"})
	}
	if e.PlatformURL != "" && !strings.HasPrefix(e.PlatformURL, "http://") {
		out = append(out, Finding{"platform", "not an http:// URL: " + e.PlatformURL})
	}
	if e.SecondFleetSecret != "" && e.FleetSecret == "" {
		out = append(out, Finding{"fleet-secret-too", "needs a fleet-secret beside it"})
	}
	if e.PollsPer10s < 1 {
		out = append(out, Finding{"polls-per-10s", "must be at least 1"})
	}
	switch e.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		out = append(out, Finding{"log-level", "not one of debug, info, warn, error: " + e.LogLevel})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Location < out[j].Location })
	return out
}
