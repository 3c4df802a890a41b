// The processes' settings files, in the form in which the platform writes them.

package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// settingsPath returns the path of a process's settings file.
func (p *layout) settingsPath(machine int, role string) string {
	return filepath.Join(p.dir, fmt.Sprintf("settings-%d-%s.toml", machine, role))
}

// settings returns the text of a process's settings file; list is the address of the platform's list of backends.
func (p *layout) settings(machine int, role string, seeds []int, list string, bootstrap bool) string {
	quoted := make([]string, len(seeds))
	for i, n := range seeds {
		quoted[i] = fmt.Sprintf("%q", p.at(n, portControl))
	}
	data := ""
	if role == roleCore {
		data = p.dataDir(machine)
	}
	var zones strings.Builder
	for z := range zoneCount {
		fmt.Fprintf(&zones, "%s = \"here\"\n", zoneOf(z))
	}
	return fmt.Sprintf(`node_name = "edge-%d"
role = %q
ip = %q
zone = %q
region = "here"
ephemeral_ports = [%d,%d]
seed_nodes = [%s]
bootstrap = %t
quorum_member = %t
data_dir = %q
a_field_that_nobody_knows = { a = 1 }
[zones]
%s[bind_addresses]
http = %q
readiness = %q
control = %q
[limits]
memory_mb = 284
cpu_share = 0.72
max_fds = 4100
[fault_tolerance]
machines = 1
zones = 1
[timers]
contact_ms = %d
grace_s = %d
drain_timeout_ms = %d
config_apply_ms = %d
evacuate_ms = %d
retry_budget = %v
retry_window_s = %d
retry_allowance = %d
[platform_api]
address = %q
rate_per_s = %v
max_lag_ms = %d
`, machine, role, p.machineIP(machine), zoneOf(machine), p.first, p.first+portCoreOperator, strings.Join(quoted, ","), bootstrap, role == roleCore,
		data, zones.String(), p.at(machine, portHTTP), p.at(machine, portReadiness), p.at(machine, portControl),
		contactMs, graceS, drainMs, applyMs, evacuateMs, retryRate, windowS, retryAllowance, list, listRate, listLagMs)
}

// writeSettings replaces a process's settings file atomically or, if torn, overwrites it with the first half of the
// text.
func (p *layout) writeSettings(machine int, role, text string, torn bool) error {
	path := p.settingsPath(machine, role)
	if torn {
		return os.WriteFile(path, []byte(text[:len(text)/2]), 0o600)
	}
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
