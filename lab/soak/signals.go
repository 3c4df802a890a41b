// Signals, graceful stops and removals of the product's processes.

package soak

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// signal sends a signal to the running incarnation, if there is one, and records it.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if sig == syscall.SIGHUP && !handlesSignals(d.cmd.Process.Pid) {
		// The program is still being loaded and cannot have installed a handler, so SIGHUP would kill it.
		return
	}
	d.report("%s receives %v", d.name, sig)
	switch sig {
	case syscall.SIGSTOP:
		d.frozen, d.frozenAt = true, time.Now()
	case syscall.SIGCONT:
		d.frozen = false
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.stopRequested, d.killed = true, d.killed || sig == syscall.SIGKILL
	}
	d.cmd.Process.Signal(sig)
}

// handlesSignals reports whether a process has already arranged to handle or ignore any signal.
func handlesSignals(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, mask, _ := strings.Cut(line, ":\t")
		if (name == "SigIgn" || name == "SigCgt") && strings.Trim(mask, "0") != "" {
			return true
		}
	}
	return false
}

// kill kills the running incarnation.
func (d *daemon) kill() { d.signal(syscall.SIGKILL) }

// isRemoved reports whether the process's machine was removed permanently.
func (d *daemon) isRemoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removed
}

// setDown prevents or allows further starts of the process; a removed process never starts again.
func (d *daemon) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down || d.removed
}

// remove kills the process and removes its machine permanently.
func (d *daemon) remove() {
	d.mu.Lock()
	d.removed, d.down = true, true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// pid returns the process id of the running incarnation, 0 if there is none.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// frozenSince reports whether the process is suspended or was suspended after a given time.
func (d *daemon) frozenSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen || d.frozenAt.After(at)
}

// stop stops a process gracefully with SIGTERM and, as the platform does, kills it after graceS seconds. It returns
// true if the process exceeded that limit, unless the process was suspended during the stop.
func (d *daemon) stop() (overdue bool) {
	pid := d.pid()
	if pid == 0 {
		return false
	}
	began := time.Now()
	d.signal(syscall.SIGTERM)
	for end := time.Now().Add(graceS * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d.pid() != pid {
			return false
		}
	}
	d.signal(syscall.SIGKILL)
	return !d.frozenSince(began)
}

// close kills the process permanently and waits for its end.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	if d.everStarted() {
		<-d.ended
	}
}

// everStarted reports whether any incarnation of the process was started.
func (d *daemon) everStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnations > 0
}
