// Package soak runs the product's own processes on one machine, over real sockets, in the users' platform's
// set-up, and injects overlapping faults that are drawn from a seed. Input are [Options]; [Run] starts the
// processes and the stand-ins of backends, platform, clients and operators, and returns a [Report]. The
// platform's rules (package rules) check what clients, backends and operators observed; the processes' own
// invariants are fatal. The package owns the processes, their settings, data and logs in Options.Dir, and a
// loopback network.
package soak
