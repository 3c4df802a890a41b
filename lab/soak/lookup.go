// Looks up the run's processes by role and machine, and stops them gracefully.

package soak

import "fmt"

// daemonOf returns the process of a role on a machine, and panics if there is none.
func (r *run) daemonOf(role string, machine int) *daemon {
	for _, d := range r.daemons {
		if d.role == role && d.machine == machine {
			return d
		}
	}
	panic("no process of this role on this machine")
}

func (r *run) node(machine int) *daemon { return r.daemonOf(roleNode, machine) }

// ofMachine returns the processes of a machine.
func (r *run) ofMachine(n int) (out []*daemon) {
	for _, d := range r.daemons {
		if d.machine == n {
			out = append(out, d)
		}
	}
	return out
}

// stopGracefully stops a process gracefully and records it if it exceeds its time limit.
func (r *run) stopGracefully(d *daemon) {
	if d.stop() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.overdue = append(r.overdue, fmt.Sprintf("%s did not end within %d s of its SIGTERM", d.name, graceS))
	}
}
