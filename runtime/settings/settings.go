// Package settings defines the start settings of a process: its addresses, zone, seeds and data folder,
// and what a platform states about the machine and the fleet.
//
// The settings come from flags and an optional file of key=value lines, where flags take precedence, or
// from a platform's own settings file (package platform). They are validated together before any port
// is opened: [Load] returns every finding with its location, not only the first. The package has no state.
package settings

import (
	"net/netip"
	"sort"
	"strings"

	"wallport/runtime/clock"
)

// The roles of a process.
const (
	RoleNode = "node"
	RoleCore = "core"
)

// maxSeeds bounds the seeds of a process.
const maxSeeds = 3

// Settings are the settings of one process. Fields without a flag come from a platform and are zero if
// there is none.
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

	// Tolerance is the loss that the fleet must tolerate. Bootstrap states that all disks are still
	// empty; it is meaningful only if BootstrapKnown is set.
	Tolerance                 Tolerance `no-flag:"true"`
	Bootstrap, BootstrapKnown bool      `no-flag:"true"`

	// Region is the region of this machine. Regions maps every zone to its region.
	Region  string            `no-flag:"true"`
	Regions map[string]string `no-flag:"true"`

	// ListInterval is the time between two readings of the platform's list of backends; 0 derives it
	// from PollsPer10s.
	ListInterval clock.Micros `no-flag:"true"`
	// QuorumMember reports whether this is one of the few machines whose loss counts against Tolerance.
	QuorumMember bool `no-flag:"true"`
	// PassiveHealth limits health checks to backends that this process ejected. The health of all other
	// backends is derived from the outcomes of requests.
	PassiveHealth bool      `no-flag:"true"`
	Machine       Machine   `no-flag:"true"`
	Bounds        Bounds    `no-flag:"true"`
	Retries       Retries   `no-flag:"true"`
	SlowStart     SlowStart `no-flag:"true"`
}

// ListenAddress returns the address on which the mesh listens.
func (s Settings) ListenAddress() string {
	if s.MeshListen != "" {
		return s.MeshListen
	}
	return s.Mesh
}

// SourceIP returns the source IP of connections to other processes. It returns the zero, invalid address
// if the operating system is to choose one.
func (s Settings) SourceIP() netip.Addr {
	listen, err := netip.ParseAddrPort(s.MeshListen)
	if err != nil || listen.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return listen.Addr()
}

// Voters returns the number of voting replicas that a partition's group should have.
func (s *Settings) Voters() int {
	if !s.BootstrapKnown {
		return 3
	}
	return 2*max(0, s.Tolerance.Machines) + 1
}

// Finding is one error in the settings. Location is the file and line, the key or the field of the error.
type Finding struct{ Location, Text string }

// Findings are all errors found in the settings. The error text lists them, one per line.
type Findings []Finding

func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.Location + ": " + v.Text
	}
	return strings.Join(lines, "\n")
}

// Load completes settings that were read from flags with those of the file in EnvFile, if any, and
// validates the result for a role. If Name is empty, it sets a name made of the role and the mesh
// address. It returns no findings if the settings are valid.
func Load(s *Settings, role string) Findings {
	var found Findings
	if s.EnvFile != "" {
		found = append(found, s.readFile()...)
	}
	found = append(found, s.validate(role)...)
	if s.Name == "" {
		s.Name = role + "-" + s.Mesh
	}
	return found
}

// validate returns the findings, sorted by location.
func (s *Settings) validate(role string) Findings {
	found := s.validateAddresses(role)
	add := func(location, text string) { found = append(found, Finding{location, text}) }
	if s.Zone == "" {
		add("zone", "is needed")
	}
	if role == RoleCore && s.DataDir == "" {
		add("data", "a core needs a data folder")
	}
	if role == RoleCore && s.Caller != "" {
		add("caller", "a core has no caller API")
	}
	if s.PlatformURL != "" && !strings.HasPrefix(s.PlatformURL, "http://") {
		add("platform", "not an http:// URL: "+s.PlatformURL)
	}
	if s.SecondFleetSecret != "" && s.FleetSecret == "" {
		add("fleet-secret-too", "requires fleet-secret to be set")
	}
	if s.PollsPer10s < 1 {
		add("polls-per-10s", "must be at least 1")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		add("log-level", "not one of debug, info, warn, error: "+s.LogLevel)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Location < found[j].Location })
	return found
}

func (s *Settings) validateAddresses(role string) (found Findings) {
	check := func(location, addr string) {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			found = append(found, Finding{location, "not an IP:port: " + addr})
		}
	}
	required := map[string]string{"mesh": s.Mesh, "operator": s.Operator}
	if role == RoleNode {
		required["caller"] = s.Caller
	}
	for location, addr := range required {
		if addr == "" {
			found = append(found, Finding{location, "is needed"})
			continue
		}
		check(location, addr)
	}
	if s.MeshListen != "" {
		check("mesh-listen", s.MeshListen)
	}
	if len(s.Seeds) > maxSeeds {
		found = append(found, Finding{"seed", "more than three seeds"})
	}
	for _, seed := range s.Seeds {
		check("seed", seed)
	}
	return found
}
