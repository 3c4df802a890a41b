// Package soak runs the product's processes on one machine, over real sockets and configured as on the users'
// platform, and injects overlapping faults that are drawn from a seed. [Run] takes [Options], starts the processes and
// stand-ins for backends, platform, clients and operators, and returns a [Report]. The platform's rules (package
// rules) check what clients, backends and operators observed; a violated invariant of a process is always a finding.
// The package owns the processes, their settings, data and logs in Options.Dir, and a loopback network.
package soak
