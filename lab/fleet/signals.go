// Signals, restarts and stops the processes of a fleet, each by its own process id.

package fleet

import (
	"fmt"
	"syscall"
)

// Signal sends a signal to a process of the fleet by its name.
func (f *Fleet) Signal(name string, sig syscall.Signal) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	p.stopping = p.stopping || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	return p.cmd.Process.Signal(sig)
}

// Restart starts a process again with the same arguments after it was sent SIGTERM or SIGKILL and has ended. It does
// nothing for other processes.
func (f *Fleet) Restart(name string) error {
	f.mu.Lock()
	p := f.processes[name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	if !p.stopping {
		return nil
	}
	<-p.done
	return f.Start(p)
}

// Down closes the relays, kills every process and waits until all have ended.
func (f *Fleet) Down() {
	f.network.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		<-p.done
	}
}
