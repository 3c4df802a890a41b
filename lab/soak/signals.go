// Signals to the product's processes, graceful stops and removals.

package soak

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// signal sends a signal to the running incarnation, if any.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if sig == syscall.SIGHUP && !handlesSignals(d.cmd.Process.Pid) {
		// The loader is still at work: no program can be ready for a signal.
		return
	}
	d.report("%s gets %v", d.name, sig)
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

// runs reports whether a process is far enough to handle or ignore signals.
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

// gone reports whether the process's machine was removed.
func (d *daemon) isRemoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removed
}

// setDown keeps the process from starting again, or allows it.
func (d *daemon) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down || d.removed
}

// remove removes the process's machine for good.
func (d *daemon) remove() {
	d.mu.Lock()
	d.removed, d.down = true, true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// pid returns the process id of the running incarnation, 0 for none.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// frozenSince reports whether the process was frozen at any time since a moment.
func (d *daemon) frozenSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen || d.frozenAt.After(at)
}

// stop stops a process gracefully; it is killed after its time limit, as the platform does. It reports whether
// exceeding the limit was the process's own fault: one that is frozen meanwhile cannot end.
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

// close ends the process for good.
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

// began reports whether the process was ever to run.
func (d *daemon) everStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnations > 0
}
