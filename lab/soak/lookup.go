// The run's processes by role and machine, and their graceful stops.

package soak

import "fmt"

func (r *run) daemonOf(role string, machine int) *daemon {
	for _, d := range r.daemons {
		if d.role == role && d.machine == machine {
			return d
		}
	}
	panic("no such process")
}

func (r *run) node(machine int) *daemon { return r.daemonOf(roleNode, machine) }

func (r *run) ofMachine(n int) (out []*daemon) {
	for _, d := range r.daemons {
		if d.machine == n {
			out = append(out, d)
		}
	}
	return out
}

// stopGracefully stops a process gracefully and records one that exceeds its time limit.
func (r *run) stopGracefully(d *daemon) {
	if d.stop() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.overdue = append(r.overdue, fmt.Sprintf("%s did not end within %d s of its SIGTERM", d.name, graceS))
	}
}
